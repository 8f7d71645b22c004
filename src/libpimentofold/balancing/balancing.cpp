#include <pimentofold/balancing/balancing.h>

#include <algorithm>
#include <cmath>
#include <pimentofold/evacuation/evacuation.h>

namespace pimentofold {

namespace {

// A change of the share by less than this is logged only when the share starts or ends.
constexpr double loggedChange = 0.1;
constexpr Time logInterval = second;

/// Sums over the targets that can be used.
struct TargetLoads {
    double slots = 0;
    int working = 0;
    int open = 0;
};

TargetLoads sumLoads(const ServiceBalance &balance, const Dispatcher &dispatcher, const TargetTable &table, Time now)
{
    const PlacementSettings &settings = dispatcher.settings.placement;
    TargetLoads sums;
    for (const std::uint64_t id : balance.targets) {
        const EdgeTarget *target = findTarget(table, id);
        if (target == nullptr || !acceptsNewFlows(*target, now) || isEvacuated(table, *target) || isSuspected(*target, settings)) {
            continue;
        }
        sums.slots += target->record.slots / (now < target->warmupEndsAt ? 1 + settings.warmupSlowdown : 1);
        sums.working += target->workingFlows;
        sums.open += target->openFlows;
    }
    return sums;
}

/// @return number of waiting flows by service
std::map<std::string_view, int> countWaiting(const Dispatcher &dispatcher, const TargetTable &table)
{
    std::map<std::string_view, int> counts;
    for (const auto &[key, flow] : dispatcher.queue.flows) {
        const EdgeRoute *route = findRoute(table, key.service);
        if (route != nullptr) {
            ++counts[route->weightedServices.front().service];
        }
    }
    return counts;
}

std::int64_t slotsOf(const DispatcherTable &table, std::size_t index)
{
    return table.cumulativeSlots[index] - (index == 0 ? 0 : table.cumulativeSlots[index - 1]);
}

/// @return slots of a dispatcher as a share of those of its data centre; 0 when it isn't one
double partOf(const DispatcherTable &table, Id dispatcher)
{
    const std::int64_t all = table.cumulativeSlots.empty() ? 0 : table.cumulativeSlots.back();
    for (std::size_t i = 0; i < table.dispatchers.size() && all > 0; ++i) {
        if (table.dispatchers[i].instance == dispatcher) {
            return static_cast<double>(slotsOf(table, i)) / static_cast<double>(all);
        }
    }
    return 0;
}

LocalLoad measureLocal(
    const Balancing &balancing, const ServiceBalance &balance, int waiting, const Dispatcher &dispatcher, const TargetTable &table, Time elapsed, Time now)
{
    const TargetLoads sums = sumLoads(balance, dispatcher, table, now);
    LocalLoad local;
    local.slots = static_cast<int>(std::lround(sums.slots));
    local.working = sums.working;
    local.waiting = waiting;
    // The measured time contains the wait in the targets' queues.
    const double queueing = local.slots == 0 ? 1 : std::max(1.0, static_cast<double>(local.working) / local.slots);
    local.workTime = static_cast<Time>(dispatcher.meanServiceTime / queueing);
    local.idleShare = sums.open == 0 ? 0 : static_cast<double>(sums.open - sums.working) / sums.open;
    local.openingsPerSecond = updatedRate(balance.local.openingsPerSecond, balance.openings, elapsed);
    local.part = partOf(balance.dataCentres.find(balancing.dataCentre)->second, balancing.self);
    return local;
}

bool isIdle(const DispatchLoad &load, const BalancingSettings &settings)
{
    return load.waiting == 0 && load.working < settings.idleUtilisation * load.slots;
}

bool isFresh(const ReceivedLoad &received, const BalancingSettings &settings, Time now)
{
    return now - received.receivedAt < settings.leave.reportValidity;
}

DispatchLoad ownLoad(const Balancing &balancing, const std::string &service, const LocalLoad &local)
{
    return {service, balancing.dataCentre, local.slots, local.working, local.waiting, expectedWait(local.slots, local.working, local.waiting, local.workTime)};
}

/// Estimates the load of the whole data centre from this dispatcher's part and those that were reported to it. Openings are
/// spread over the dispatchers in proportion to their slots, so the others have the same load for each slot.
DispatchLoad estimateDataCentre(const Balancing &balancing, const std::string &service, const ServiceBalance &balance, Time now)
{
    const DispatcherTable &table = balance.dataCentres.find(balancing.dataCentre)->second;
    DispatchLoad sum = ownLoad(balancing, service, balance.local);
    double covered = balance.local.part;
    double wait = covered * static_cast<double>(sum.expectedWait);
    for (const auto &[id, part] : balance.parts) {
        const double share = isFresh(part, balancing.settings, now) ? partOf(table, id) : 0;
        if (share == 0) {
            continue;
        }
        covered += share;
        sum.slots += part.load.slots;
        sum.working += part.load.working;
        sum.waiting += part.load.waiting;
        wait += share * static_cast<double>(part.load.expectedWait);
    }
    if (covered <= 0) {
        return sum;
    }
    const auto scale = [&](int n) { return static_cast<int>(std::lround(n / covered)); };
    sum.slots = scale(sum.slots);
    sum.working = scale(sum.working);
    sum.waiting = scale(sum.waiting);
    sum.expectedWait = static_cast<Time>(wait / covered);
    return sum;
}

/// @return the data centres that report to this one, and that it reports to
std::vector<std::string_view> neighboursOf(const ServiceBalance &balance, std::string_view dataCentre)
{
    std::vector<std::string_view> names;
    std::size_t own = 0;
    for (const auto &[name, table] : balance.dataCentres) {
        own = name == dataCentre ? names.size() : own;
        names.emplace_back(name);
    }
    std::vector<std::string_view> result;
    for (std::size_t distance = 1; distance < names.size(); ++distance) {
        if (distance <= neighboursPerSide || distance >= names.size() - neighboursPerSide) {
            result.push_back(names[(own + distance) % names.size()]);
        }
    }
    return result;
}

/// @return whether any dispatcher in reach has reported that it isn't idle
bool anyBusy(const ServiceBalance &balance, const BalancingSettings &settings, Time now)
{
    const auto isBusy = [&](const auto &it) { return isFresh(it.second, settings, now) && !isIdle(it.second.load, settings); };
    return std::ranges::any_of(balance.others, isBusy) || std::ranges::any_of(balance.parts, isBusy);
}

void report(Balancing &balancing, const std::string &service, ServiceBalance &balance, Time now, ForwardOutput &out)
{
    const BalancingSettings &settings = balancing.settings;
    const DispatcherTable &own = balance.dataCentres.find(balancing.dataCentre)->second;
    const DispatchLoad load = ownLoad(balancing, service, balance.local);
    const bool isFirst = own.dispatchers.front().instance == balancing.self;
    const bool idle = isIdle(load, settings) && balance.decision.share == 0 && !(isFirst && anyBusy(balance, settings, now));
    if (now - balance.reportedAt < (idle ? settings.idleReportInterval : settings.reportInterval) || (!isFirst && idle)) {
        return;
    }
    balance.reportedAt = now;
    if (!isFirst) {
        out.loadReports.push_back({own.dispatchers.front().instance, load});
        return;
    }
    const DispatchLoad whole = estimateDataCentre(balancing, service, balance, now);
    for (const std::string_view it : neighboursOf(balance, balancing.dataCentre)) {
        out.loadReports.push_back({balance.dataCentres.find(it)->second.dispatchers.front().instance, whole});
    }
}

std::string mainDestination(const LeaveShare &decision)
{
    const auto it = std::ranges::max_element(decision.destinations, {}, &LeaveDestination::weight);
    return decision.share == 0 || it == decision.destinations.end() ? "" : it->dataCentre;
}

void recordChange(const std::string &service, ServiceBalance &balance, Time now, ForwardOutput &out)
{
    const double share = balance.decision.share;
    const bool startsOrEnds = (share == 0) != (balance.loggedShare == 0);
    const bool changed = std::abs(share - balance.loggedShare) >= loggedChange;
    if ((!startsOrEnds && !changed) || now - balance.loggedAt < logInterval) {
        return;
    }
    out.leaveShareChanges.push_back(
        {service, balance.loggedShare, share, mainDestination(balance.decision), balance.local.working, balance.local.waiting, balance.local.slots});
    balance.loggedShare = share;
    balance.loggedAt = now;
}

void decide(const Balancing &balancing, ServiceBalance &balance, Time elapsed, Time now)
{
    std::vector<NeighbourLoad> others;
    for (const std::string_view it : neighboursOf(balance, balancing.dataCentre)) {
        const auto found = balance.others.find(it);
        if (found != balance.others.end()) {
            const DispatchLoad &load = found->second.load;
            others.push_back({it, load.slots, load.working, load.waiting, load.expectedWait, now - found->second.receivedAt});
        }
    }
    balance.decision = leaveShare(balance.local, others, balance.decision, elapsed, balancing.settings.leave);
}

bool isValid(const DispatchLoad &load)
{
    constexpr int maxCount = 1'000'000; // sums over the dispatchers of a data centre stay in range
    const auto isCount = [](int n) { return n >= 0 && n <= maxCount; };
    return isCount(load.slots) && isCount(load.working) && isCount(load.waiting) && load.expectedWait >= 0 && load.expectedWait <= unusableWait;
}

} // namespace

void updateBalance(Balancing &balancing, const std::string &service, const ServiceDispatchers &found, const std::vector<std::uint64_t> &targets)
{
    const auto own = found.byDataCentre.find(balancing.dataCentre);
    const auto isSelf = [&](const InstanceKey &it) { return it.instance == balancing.self; };
    if (own == found.byDataCentre.end() || !std::ranges::any_of(own->second.dispatchers, isSelf)) {
        balancing.services.erase(service);
        return;
    }
    ServiceBalance &balance = balancing.services[service];
    balance.dataCentres = found.byDataCentre;
    balance.targets = targets;
    std::erase_if(balance.others, [&](const auto &it) { return !found.byDataCentre.contains(it.first); });
    balancing.nextTickAt = std::min(balancing.nextTickAt, balancing.tickedAt + balancing.settings.tickInterval);
}

void removeServicesWithoutTargets(Balancing &balancing, const std::map<std::string, DispatcherTable, std::less<>> &services)
{
    std::erase_if(balancing.services, [&](const auto &it) { return !services.contains(it.first); });
}

void tickBalancing(Balancing &balancing, const Dispatcher &dispatcher, const TargetTable &table, Time now, ForwardOutput &out)
{
    if (now < balancing.nextTickAt) {
        return;
    }
    const Time elapsed = std::min(now - balancing.tickedAt, 2 * balancing.settings.tickInterval);
    balancing.tickedAt = now;
    balancing.nextTickAt = balancing.services.empty() ? never : now + balancing.settings.tickInterval;
    if (balancing.services.empty()) {
        return;
    }
    const std::map<std::string_view, int> waiting = countWaiting(dispatcher, table);
    for (auto &[service, balance] : balancing.services) {
        const auto count = waiting.find(service);
        balance.local = measureLocal(balancing, balance, count == waiting.end() ? 0 : count->second, dispatcher, table, elapsed, now);
        balance.openings = 0;
        decide(balancing, balance, elapsed, now);
        recordChange(service, balance, now, out);
        report(balancing, service, balance, now, out);
    }
}

void handleDispatchLoad(Balancing &balancing, Id sender, const DispatchLoad &load, Time now, ForwardOutput &out)
{
    const auto it = balancing.services.find(load.service);
    if (it == balancing.services.end() || !it->second.dataCentres.contains(load.dataCentre) || !isValid(load)) {
        return;
    }
    ServiceBalance &balance = it->second;
    const DispatcherTable &own = balance.dataCentres.find(balancing.dataCentre)->second;
    const bool isOwnDispatcher = std::ranges::any_of(own.dispatchers, [&](const InstanceKey &other) { return other.instance == sender; });
    if (load.dataCentre == balancing.dataCentre) {
        if (isOwnDispatcher) {
            balance.parts[sender] = {load, now};
        }
        return;
    }
    balance.others[load.dataCentre] = {load, now};
    if (isOwnDispatcher) {
        return;
    }
    std::erase_if(balance.parts, [&](const auto &part) { return !isFresh(part.second, balancing.settings, now); });
    for (const auto &[id, part] : balance.parts) {
        out.loadReports.push_back({id, load});
    }
}

void countOpening(Balancing &balancing, std::string_view service)
{
    const auto it = balancing.services.find(service);
    if (it != balancing.services.end()) {
        ++it->second.openings;
    }
}

std::optional<Id> remoteDispatcherFor(const Balancing &balancing, std::string_view service, std::uint64_t flowHash)
{
    const auto balance = balancing.services.find(service);
    if (balance == balancing.services.end()) {
        return std::nullopt;
    }
    const std::optional<std::string_view> dataCentre = destinationOf(balance->second.decision, flowHash);
    if (!dataCentre) {
        return std::nullopt;
    }
    const auto table = balance->second.dataCentres.find(*dataCentre);
    if (table == balance->second.dataCentres.end()) {
        return std::nullopt;
    }
    // This dispatcher gets flows with certain hashes only, which must not all go to the same dispatcher there.
    constexpr std::uint64_t salt = 0x7468657265;
    const std::optional<InstanceKey> found = dispatcherFor(table->second, mix(flowHash, salt));
    return found ? std::optional(found->instance) : std::nullopt;
}

} // namespace pimentofold
