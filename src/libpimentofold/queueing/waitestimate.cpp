#include <pimentofold/queueing/waitestimate.h>

#include <algorithm>
#include <cmath>
#include <span>

namespace pimentofold {

namespace {

constexpr Time bucketLength = second / static_cast<Time>(rateBuckets);
/// The rate of this many last parts counts if it is higher than that of the whole second, since targets may have come back.
constexpr std::int64_t recentBuckets = 2;
// With fewer placements or a shorter time of waiting flows, the rate counts as unknown: it would vary by chance too much.
constexpr int minPlacements = 5;
constexpr Time minBacklogTime = 200 * millisecond;
/// A flow whose caller gives it up sooner than this isn't refused: the caller would gain little, and the flow may be placed after all
/// when older ones expire.
constexpr Time minTimeGained = 400 * millisecond;

RateBucket &bucketAt(QueuedService &service, Time now)
{
    const std::int64_t index = now / bucketLength;
    RateBucket &bucket = service.rate.at(static_cast<std::size_t>(index) % rateBuckets);
    if (bucket.index != index) {
        bucket = {index, 0, 0};
    }
    return bucket;
}

/// @return upper bound of the rate over the last parts; nothing when too little was measured
std::optional<double> rateOver(const QueuedService &service, std::int64_t buckets, Time minBacklog, Time now)
{
    int placements = 0;
    Time backlog = 0;
    for (const RateBucket &it : service.rate) {
        const bool counts = it.index > now / bucketLength - buckets;
        placements += counts ? it.placements : 0;
        backlog += counts ? it.backlogTime : 0;
    }
    if (placements < minPlacements || backlog < minBacklog) {
        return std::nullopt;
    }
    // Two standard deviations of a Poisson distribution above the count.
    const double bound = placements + 2 * std::sqrt(placements);
    return bound * static_cast<double>(second) / static_cast<double>(backlog);
}

/// Flows that were counted before the present one in the walk over all flows.
struct FlowCount {
    double inTime = 0;
    double late = 0;
};

/// State of a class in the walk.
struct ClassState {
    const ClassKey *key = nullptr;
    const WaitingClass *waiting = nullptr;
    double rate = 0; ///< flows per second of all its services, with the margin; 0: not known
    std::vector<double> shares; ///< part of its flows that each of its services is expected to take
    FlowCount counted;
};

/// Flows ahead on one service.
struct ServiceState {
    double inTime = 0; ///< in the walk over flows that aren't late
    double late = 0;
    Time longestInTime = 0; ///< longest time until one of the counted flows becomes late; 0: none
};

/// A waiting flow in the walk.
struct Entry {
    std::size_t classIndex = 0;
    const QueuedFlow *flow = nullptr;
    bool isCounted = true; ///< not hopeless
};

/// State of the walk over all waiting flows, in order of urgency and age.
struct Walk {
    const AdmissionQueue &queue;
    Time now = 0;
    std::vector<ClassState> classes;
    std::vector<ServiceState> services;
    std::map<Address, FlowCount> routes;
    std::map<std::string_view, FlowCount> dataCentres;
    std::vector<Entry> inTime;
    std::vector<Entry> late;
};

ClassState stateOf(const AdmissionQueue &queue, const ClassKey &key, const WaitingClass &waiting, Time now)
{
    ClassState state;
    state.key = &key;
    state.waiting = &waiting;
    bool known = !waiting.services.empty();
    for (const std::size_t it : waiting.services) {
        const std::optional<double> rate = placementRate(queue.services[it], now);
        known = known && rate.has_value();
        state.shares.push_back(rate.value_or(0));
        state.rate += rate.value_or(0);
    }
    for (double &it : state.shares) {
        it = known ? it / state.rate : 1 / static_cast<double>(state.shares.size());
    }
    state.rate = known ? state.rate * rateMargin : 0;
    return state;
}

Walk startWalk(const AdmissionQueue &queue, Time now)
{
    Walk walk{queue, now, {}, std::vector<ServiceState>(queue.services.size()), {}, {}, {}, {}};
    for (const auto &[key, waiting] : queue.classes) {
        const std::size_t late = countLate(queue, waiting, now);
        for (std::size_t i = 0; i < waiting.flows.size(); ++i) {
            (i < late ? walk.late : walk.inTime).push_back({walk.classes.size(), &waiting.flows[i]});
        }
        walk.classes.push_back(stateOf(queue, key, waiting, now));
    }
    const auto order = [&](const Entry &it) { return std::pair(walk.classes[it.classIndex].waiting->urgency, it.flow->openedAt); };
    std::ranges::sort(walk.inTime, {}, order);
    std::ranges::sort(walk.late, {}, order);
    return walk;
}

Time toTime(double flows, double rate)
{
    return static_cast<Time>(flows * static_cast<double>(second) / rate);
}

/// @return time until less than the usual service time is left before the goal; openingTimeout, after which the caller gives up, when
///         the route has no goal
Time timeUntilLate(const Walk &walk, const Entry &entry)
{
    const WaitingClass &waiting = *walk.classes[entry.classIndex].waiting;
    return waiting.responseTimeGoal <= 0 ? openingTimeout : waiting.responseTimeGoal - walk.queue.serviceTime - (walk.now - entry.flow->openedAt);
}

/// @return time until the flow expires, or until an answer would come after the route's timeout
Time timeLeft(const Walk &walk, const Entry &entry)
{
    const Time timeout = walk.classes[entry.classIndex].waiting->timeout;
    const Time latest = timeout == 0 ? never : entry.flow->openedAt + timeout - walk.queue.serviceTime;
    return std::min(entry.flow->expiresAt, latest) - walk.now;
}

/// @return the time by which the floors of the flow's route and data centre place it
Time floorWait(const Walk &walk, const ClassState &state, bool late)
{
    const auto ahead = [&](const FlowCount &it) { return it.inTime + (late ? it.late : 0) + 1; };
    const auto route = walk.routes.find(state.key->route);
    const auto dataCentre = walk.dataCentres.find(state.key->dataCentre);
    const double byRoute = ahead(route == walk.routes.end() ? FlowCount() : route->second) * floorInterval(walk.queue, state.waiting->services);
    const int interval = dataCentreFloorInterval(walk.queue);
    const double byDataCentre = interval == 0 ? byRoute : ahead(dataCentre == walk.dataCentres.end() ? FlowCount() : dataCentre->second) * interval;
    return toTime(std::min(byRoute, byDataCentre), state.rate);
}

void countFlow(Walk &walk, ClassState &state, const Entry &entry, bool late)
{
    const auto add = [&](FlowCount &count) { ++(late ? count.late : count.inTime); };
    add(state.counted);
    add(walk.routes[state.key->route]);
    add(walk.dataCentres[state.key->dataCentre]);
    for (std::size_t i = 0; i < state.shares.size(); ++i) {
        ServiceState &service = walk.services[state.waiting->services[i]];
        (late ? service.late : service.inTime) += state.shares[i];
        service.longestInTime = late ? service.longestInTime : std::max(service.longestInTime, timeUntilLate(walk, entry));
    }
}

WaitEstimate estimateFor(const Walk &walk, const Entry &entry, Time byOrder, bool late)
{
    const ClassState &state = walk.classes[entry.classIndex];
    WaitEstimate estimate{entry.flow->key, std::min(byOrder, floorWait(walk, state, late))};
    estimate.isHopeless = estimate.wait > timeLeft(walk, entry);
    estimate.timeLeft = timeLeft(walk, entry);
    return estimate;
}

/// Flows of other classes are ahead of one that isn't late only until they are late themselves.
Time waitInTime(const Walk &walk, const ClassState &state)
{
    double ahead = 0;
    Time longest = 0;
    for (const std::size_t it : state.waiting->services) {
        ahead += walk.services[it].inTime;
        longest = std::max(longest, walk.services[it].longestInTime);
    }
    const double others = std::max(ahead - state.counted.inTime, 0.0);
    return std::min(toTime(others, state.rate), longest) + toTime(state.counted.inTime, state.rate);
}

/// @param before flows that aren't late but come before this one even when they are, by service
Time waitLate(const Walk &walk, const ClassState &state, const std::vector<double> &before)
{
    double always = 0;
    double untilLate = 0;
    Time longest = 0;
    for (const std::size_t it : state.waiting->services) {
        always += before[it] + walk.services[it].late;
        untilLate += walk.services[it].inTime - before[it];
        longest = std::max(longest, walk.services[it].longestInTime);
    }
    return toTime(always, state.rate) + std::min(toTime(untilLate, state.rate), longest);
}

void estimateInTime(Walk &walk, std::vector<WaitEstimate> &estimates)
{
    for (Entry &it : walk.inTime) {
        ClassState &state = walk.classes[it.classIndex];
        if (state.rate > 0) {
            estimates.push_back(estimateFor(walk, it, waitInTime(walk, state), false));
            it.isCounted = !estimates.back().isHopeless;
        }
        if (it.isCounted) {
            countFlow(walk, state, it, false);
        }
    }
}

void estimateLate(Walk &walk, std::vector<WaitEstimate> &estimates)
{
    std::vector<double> before(walk.services.size());
    std::size_t next = 0;
    const auto order = [&](const Entry &it) { return std::pair(walk.classes[it.classIndex].waiting->urgency, it.flow->openedAt); };
    for (Entry &it : walk.late) {
        for (; next < walk.inTime.size() && order(walk.inTime[next]) < order(it); ++next) {
            const ClassState &state = walk.classes[walk.inTime[next].classIndex];
            for (std::size_t i = 0; i < state.shares.size() && walk.inTime[next].isCounted; ++i) {
                before[state.waiting->services[i]] += state.shares[i];
            }
        }
        ClassState &state = walk.classes[it.classIndex];
        if (state.rate > 0) {
            estimates.push_back(estimateFor(walk, it, waitLate(walk, state, before), true));
            it.isCounted = !estimates.back().isHopeless;
        }
        if (it.isCounted) {
            countFlow(walk, state, it, true);
        }
    }
}

/// A refusal takes one of the caller's attempts. The two that are left may each wait for openingTimeout.
/// @return whether they cover the time until the route's timeout, so that the caller loses nothing by the refusal
bool leavesTimeForRetries(Time timeout, Time openedAt, Time now)
{
    constexpr Time attemptsLeft = 2;
    return timeout > 0 && openedAt + timeout - now <= attemptsLeft * openingTimeout;
}

} // namespace

void measureBacklog(AdmissionQueue &queue, Time now)
{
    const Time elapsed = now - queue.measuredAt;
    queue.measuredAt = now;
    if (queue.flows.empty() || elapsed <= 0) {
        return;
    }
    for (QueuedService &it : queue.services) {
        if (elapsed >= estimatePause) {
            it.rate = {};
        } else if (it.waitingFlows > 0) {
            bucketAt(it, now).backlogTime += elapsed;
        }
    }
}

void countInRate(QueuedService &service, Time now)
{
    ++bucketAt(service, now).placements;
}

std::optional<double> placementRate(const QueuedService &service, Time now)
{
    const std::optional<double> whole = rateOver(service, static_cast<std::int64_t>(rateBuckets), minBacklogTime, now);
    const std::optional<double> recent = rateOver(service, recentBuckets, bucketLength, now);
    return whole && recent ? std::max(*whole, *recent) : whole;
}

std::vector<WaitEstimate> estimateWaits(const AdmissionQueue &queue, Time now)
{
    Walk walk = startWalk(queue, now);
    std::vector<WaitEstimate> estimates;
    estimateInTime(walk, estimates);
    estimateLate(walk, estimates);
    return estimates;
}

std::optional<Time> estimatedWait(const AdmissionQueue &queue, const FlowKey &key, Time now)
{
    const std::vector<WaitEstimate> estimates = estimateWaits(queue, now);
    const auto it = std::ranges::find(estimates, key, &WaitEstimate::key);
    return it == estimates.end() ? std::nullopt : std::optional(it->wait);
}

bool isHopelessAtEnd(const AdmissionQueue &queue, const EdgeRoute &route, Time openedAt, Time now)
{
    std::vector<std::size_t> services;
    double rate = 0;
    for (std::size_t i = 0; i < queue.services.size(); ++i) {
        const auto isSame = [&](const WeightedService &it) { return it.service == queue.services[i].name && it.weight > 0; };
        const std::optional<double> known = placementRate(queue.services[i], now);
        if (std::ranges::any_of(route.weightedServices, isSame)) {
            services.push_back(i);
            rate += known.value_or(0) * rateMargin;
        }
    }
    if (rate == 0 || services.size() < route.weightedServices.size() || !leavesTimeForRetries(route.timeout, openedAt, now)) {
        return false;
    }
    double ahead = 0;
    int ofRoute = 0;
    for (const auto &[key, waiting] : queue.classes) {
        const ClassState state = stateOf(queue, key, waiting, now);
        ofRoute += key.route == route.address ? static_cast<int>(waiting.flows.size()) : 0;
        for (std::size_t i = 0; i < state.shares.size(); ++i) {
            const bool competes = std::ranges::find(services, waiting.services[i]) != services.end();
            ahead += competes ? state.shares[i] * static_cast<double>(waiting.flows.size()) : 0;
        }
    }
    const double byFloor = static_cast<double>(ofRoute + 1) * floorInterval(queue, services);
    const Time latest = std::min(openingTimeout, route.timeout - queue.serviceTime);
    const Time left = openedAt + latest - now;
    return left >= minTimeGained && toTime(std::min(ahead, byFloor), rate) > left;
}

std::vector<FlowKey> findHopeless(const AdmissionQueue &queue, Time now)
{
    std::vector<FlowKey> hopeless;
    for (const WaitEstimate &it : estimateWaits(queue, now)) {
        const WaitingFlow &waiting = queue.flows.at(it.key);
        const Time timeout = queue.classes.at({it.key.service, waiting.flow.dataCentre}).timeout;
        const Time openedAt = waiting.waitingSince - waiting.flow.openingAge;
        if (it.isHopeless && it.timeLeft >= minTimeGained && leavesTimeForRetries(timeout, openedAt, now)) {
            hopeless.push_back(it.key);
        }
    }
    return hopeless;
}

std::vector<WaitingFlow> takeHopeless(AdmissionQueue &queue, Time now)
{
    std::vector<WaitingFlow> taken;
    for (const FlowKey &it : findHopeless(queue, now)) {
        const WaitingFlow waiting = queue.flows.at(it);
        if (!waiting.isRetry && waiting.flow.attempt == 1) {
            taken.push_back(waiting);
            remove(queue, it, now);
        }
    }
    return taken;
}

} // namespace pimentofold
