#include <pimentofold/queueing/admissionqueue.h>

#include <algorithm>
#include <tuple>

#include <pimentofold/queueing/waitestimate.h>

namespace pimentofold {

namespace {

/// With more services than this, all are removed when no flow waits. Only their measured rates are lost.
constexpr std::size_t maxIdleServices = 1000;
/// A flow counts as late when less than this many usual service times are left until its goal, since service times vary.
constexpr Time goalMargin = 2;

std::size_t indexOfService(AdmissionQueue &queue, std::string_view service)
{
    const auto it = std::ranges::find(queue.services, service, &QueuedService::name);
    if (it != queue.services.end()) {
        return static_cast<std::size_t>(it - queue.services.begin());
    }
    queue.services.emplace_back().name = service;
    return queue.services.size() - 1;
}

std::vector<std::size_t> servicesOf(AdmissionQueue &queue, const EdgeRoute &route)
{
    std::vector<std::size_t> indices;
    for (const WeightedService &it : route.weightedServices) {
        const std::size_t index = it.weight > 0 ? indexOfService(queue, it.service) : queue.services.size();
        if (it.weight > 0 && std::ranges::find(indices, index) == indices.end()) {
            indices.push_back(index);
        }
    }
    return indices;
}

void addWaiting(AdmissionQueue &queue, const std::vector<std::size_t> &services, int n)
{
    for (const std::size_t it : services) {
        queue.services[it].waitingFlows += n;
    }
}

void countRoutes(AdmissionQueue &queue)
{
    for (QueuedService &it : queue.services) {
        it.waitingRoutes = 0;
    }
    for (const auto &[address, route] : queue.routes) {
        for (const std::size_t it : route.services) {
            ++queue.services[it].waitingRoutes;
        }
    }
}

/// Takes over the route's present properties, which may have changed since the class's first flow.
void updateClass(AdmissionQueue &queue, WaitingClass &waiting, const EdgeRoute &route)
{
    waiting.urgency = route.urgency;
    waiting.responseTimeGoal = route.responseTimeGoal;
    waiting.timeout = route.timeout;
    std::vector<std::size_t> services = servicesOf(queue, route);
    if (services != waiting.services) {
        addWaiting(queue, waiting.services, -static_cast<int>(waiting.flows.size()));
        addWaiting(queue, services, static_cast<int>(waiting.flows.size()));
        waiting.services = std::move(services);
    }
}

/// @return the class of a waiting flow
ClassKey classOf(const WaitingFlow &waiting)
{
    return {waiting.flow.key.service, waiting.flow.dataCentre};
}

void removeFromShare(auto &shares, const auto &key)
{
    const auto it = shares.find(key);
    if (--it->second.waiting == 0) {
        shares.erase(it);
    }
}

bool isSkipped(const AdmissionQueue &queue, const WaitingClass &waiting)
{
    return std::ranges::all_of(waiting.services, [&](std::size_t it) { return queue.services[it].skipped; });
}

/// @return how close a share is to its floor: 1 or more when the next placement is due to it
double overdueOf(const QueueShare &share, int interval)
{
    return interval == 0 ? 0 : static_cast<double>(share.passed + 1) / interval;
}

/// Position of a class's next flow in the order of placement. Lower ones come first.
struct Rank {
    bool isNotBothDue = true; ///< not both the route and the data centre are below their floors
    double overdue = 0; ///< negative; 0 when neither is below its floor
    bool late = false;
    int urgency = 0;
    Time openedAt = 0;

    // False positive: clang-tidy reports the 0 in the generated comparison as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Rank &, const Rank &) = default;
};

Rank rankOf(const AdmissionQueue &queue, const ClassKey &key, const WaitingClass &waiting, const QueuedFlow &flow, bool late)
{
    const QueueShare &route = queue.routes.at(key.route);
    const double routeOverdue = overdueOf(route, floorInterval(queue, route.services));
    const double dataCentreOverdue = overdueOf(queue.dataCentres.at(key.dataCentre), dataCentreFloorInterval(queue));
    const double overdue = std::max(routeOverdue, dataCentreOverdue);
    return {std::min(routeOverdue, dataCentreOverdue) < 1, overdue < 1 ? 0 : -overdue, late, waiting.urgency, flow.openedAt};
}

void pass(QueueShare &share, std::uint64_t placement)
{
    if (share.passedAt != placement) {
        share.passedAt = placement;
        ++share.passed;
    }
}

/// @return whether a route or data centre has no more than its floor of the places
bool isWithinFloor(const AdmissionQueue &queue, const QueueShare &share, int interval)
{
    return interval > 0 && static_cast<std::size_t>(share.waiting) * static_cast<std::size_t>(interval) <= queue.flows.size();
}

} // namespace

bool isLate(const AdmissionQueue &queue, const WaitingClass &waiting, Time openedAt, Time now)
{
    return waiting.responseTimeGoal > 0 && now - openedAt + goalMargin * queue.serviceTime > waiting.responseTimeGoal;
}

std::size_t countLate(const AdmissionQueue &queue, const WaitingClass &waiting, Time now)
{
    const auto end = std::ranges::partition_point(waiting.flows, [&](const QueuedFlow &it) { return isLate(queue, waiting, it.openedAt, now); });
    return static_cast<std::size_t>(end - waiting.flows.begin());
}

int floorInterval(const AdmissionQueue &queue, const std::vector<std::size_t> &services)
{
    int routes = routeFloorInterval;
    for (const std::size_t it : services) {
        routes = std::max(routes, queue.services[it].waitingRoutes);
    }
    return routes;
}

int dataCentreFloorInterval(const AdmissionQueue &queue)
{
    return queue.dataCentres.size() < 2 ? 0 : static_cast<int>(queue.dataCentres.size()) * dataCentreFloorDivisor;
}

void enqueue(AdmissionQueue &queue, WaitingFlow waiting, const EdgeRoute &route, const QueueLimits &limits, Time now)
{
    const FlowKey key = waiting.flow.key;
    if (!queue.fair) {
        queue.flows.insert_or_assign(key, std::move(waiting));
        return;
    }
    remove(queue, key, now);
    measureBacklog(queue, now);
    if (queue.flows.empty() && queue.services.size() > maxIdleServices) {
        queue.services.clear();
    }
    WaitingClass &added = queue.classes[classOf(waiting)];
    updateClass(queue, added, route);
    const Time openedAt = now - waiting.flow.openingAge;
    const QueuedFlow queued{openedAt, std::min(now + limits.maxWaitTime, openedAt + openingTimeout), key};
    added.flows.insert(std::ranges::upper_bound(added.flows, openedAt, {}, &QueuedFlow::openedAt), queued);
    addWaiting(queue, added.services, 1);
    QueueShare &routeShare = queue.routes[key.service];
    ++queue.dataCentres[waiting.flow.dataCentre].waiting;
    if (++routeShare.waiting == 1 || routeShare.services != added.services) {
        routeShare.services = added.services;
        countRoutes(queue);
    }
    queue.retries += waiting.isRetry ? 1 : 0;
    queue.flows.emplace(key, std::move(waiting));
}

void remove(AdmissionQueue &queue, const FlowKey &key, Time now)
{
    const auto it = queue.flows.find(key);
    if (it == queue.flows.end()) {
        return;
    }
    if (queue.fair) {
        measureBacklog(queue, now);
        const ClassKey classKey = classOf(it->second);
        const auto found = queue.classes.find(classKey);
        std::vector<QueuedFlow> &flows = found->second.flows;
        flows.erase(std::ranges::find(flows, key, &QueuedFlow::key));
        addWaiting(queue, found->second.services, -1);
        if (flows.empty()) {
            queue.classes.erase(found);
        }
        removeFromShare(queue.dataCentres, classKey.dataCentre);
        removeFromShare(queue.routes, classKey.route);
        countRoutes(queue);
        queue.retries -= it->second.isRetry ? 1 : 0;
    }
    queue.flows.erase(it);
}

void startPlacement(AdmissionQueue &queue, Time now)
{
    measureBacklog(queue, now);
    for (QueuedService &it : queue.services) {
        it.skipped = false;
    }
}

std::optional<FlowKey> nextToPlace(const AdmissionQueue &queue, Time now)
{
    std::optional<FlowKey> best;
    Rank bestRank;
    for (const auto &[key, waiting] : queue.classes) {
        if (isSkipped(queue, waiting)) {
            continue;
        }
        const std::size_t late = countLate(queue, waiting, now);
        const bool isAllLate = late == waiting.flows.size();
        const QueuedFlow &flow = waiting.flows[isAllLate ? 0 : late];
        const Rank rank = rankOf(queue, key, waiting, flow, isAllLate);
        if (!best || rank < bestRank) {
            best = flow.key;
            bestRank = rank;
        }
    }
    return best;
}

void skipServices(AdmissionQueue &queue, const FlowKey &key)
{
    for (const std::size_t it : queue.classes.at(classOf(queue.flows.at(key))).services) {
        queue.services[it].skipped = true;
    }
}

void recordPlacement(AdmissionQueue &queue, std::string_view service, const FlowKey *waited, Time now)
{
    if (queue.flows.empty()) {
        return;
    }
    const auto found = std::ranges::find(queue.services, service, &QueuedService::name);
    if (found == queue.services.end() || found->waitingFlows == 0) {
        return;
    }
    measureBacklog(queue, now);
    countInRate(*found, now);
    const auto index = static_cast<std::size_t>(found - queue.services.begin());
    ++queue.placements;
    for (const auto &[key, waiting] : queue.classes) {
        if (std::ranges::find(waiting.services, index) != waiting.services.end()) {
            pass(queue.routes.at(key.route), queue.placements);
            pass(queue.dataCentres.at(key.dataCentre), queue.placements);
        }
    }
    if (waited != nullptr) {
        queue.routes.at(waited->service).passed = 0;
        queue.dataCentres.at(queue.flows.at(*waited).flow.dataCentre).passed = 0;
    }
}

bool exceedsRetryLimit(const AdmissionQueue &queue, const QueueLimits &limits)
{
    return queue.flows.size() > queue.retries && queue.retries >= limits.maxFlows / retryPlacesDivisor;
}

FlowKey lastToPlace(const AdmissionQueue &queue, Time now)
{
    FlowKey last;
    std::tuple<bool, bool, int, Time> lastRank(false, false, -1, 0);
    for (const auto &[key, waiting] : queue.classes) {
        const QueuedFlow &flow = waiting.flows.back();
        const QueueShare &route = queue.routes.at(key.route);
        const bool isSpared = isWithinFloor(queue, route, floorInterval(queue, route.services))
            || isWithinFloor(queue, queue.dataCentres.at(key.dataCentre), dataCentreFloorInterval(queue));
        const std::tuple rank(!isSpared, isLate(queue, waiting, flow.openedAt, now), waiting.urgency, flow.openedAt);
        if (rank > lastRank) {
            last = flow.key;
            lastRank = rank;
        }
    }
    return last;
}

std::vector<WaitingFlow> takeExpired(AdmissionQueue &queue, const QueueLimits &limits, Time now)
{
    std::vector<WaitingFlow> expired;
    for (const auto &[key, it] : queue.flows) {
        const bool isGivenUp = queue.fair && it.waitingSince - it.flow.openingAge + openingTimeout < now;
        if (now - it.waitingSince > limits.maxWaitTime || isGivenUp) {
            expired.push_back(it);
        }
    }
    for (const WaitingFlow &it : expired) {
        remove(queue, it.flow.key, now);
    }
    return expired;
}

} // namespace pimentofold
