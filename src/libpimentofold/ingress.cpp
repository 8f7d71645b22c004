#include <pimentofold/ingress.h>

#include <algorithm>
#include <set>

namespace pimentofold {

namespace {

constexpr double costGain = 0.05;
constexpr double leastDatagrams = 4; // a bucket holds the cost of this many datagrams, however small its share
constexpr double relayBurst = 0.1; // seconds of a relay limit's rate that can be used at once
constexpr double leastRelayBurst = 4; // so that a reserve for requests with much time left exists at low rates
constexpr double timeLeftReserve = 0.5; // of the burst, for requests with all of their time left

IngressService *findService(IngressLimiter &gate, Id service)
{
    const auto it =
        std::find_if(gate.services.begin(), gate.services.end(), [service](const IngressService &entry) { return entry.policy.service == service; });
    return it != gate.services.end() ? &*it : nullptr;
}

IngressTeam &teamOf(IngressLimiter &gate, const IngressService &service)
{
    return *std::find_if(gate.teams.begin(), gate.teams.end(), [&service](const IngressTeam &entry) { return entry.team == service.policy.team; });
}

double expectedCost(const IngressLimiter &gate, const IngressService &service)
{
    return service.meanCost > 0 ? service.meanCost : static_cast<double>(gate.settings.initialCost);
}

/// Time of a team's part that can be saved up.
double teamDepth(const IngressLimiter &gate, const IngressTeam &team)
{
    return static_cast<double>(gate.settings.bucketDepth) * gate.settings.utilisation * team.timeShare;
}

double depthOf(const IngressLimiter &gate, const IngressService &service, const IngressTeam &team, double share)
{
    return std::max(share * teamDepth(gate, team), leastDatagrams * expectedCost(gate, service));
}

/// Adds the time that has passed to the buckets; what a full floor can't hold flows into the pool.
void refill(IngressLimiter &gate, Time now)
{
    const double elapsed = static_cast<double>(now - gate.refilledAt) * gate.settings.utilisation;
    gate.refilledAt = now;
    for (IngressTeam &it : gate.teams) {
        it.poolTokens += elapsed * it.timeShare * it.poolShare;
    }
    for (IngressService &it : gate.services) {
        IngressTeam &team = teamOf(gate, it);
        it.ceilingTokens = std::min(it.ceilingTokens + elapsed * team.timeShare * it.policy.ceilingShare, depthOf(gate, it, team, it.policy.ceilingShare));
        it.floorTokens += elapsed * team.timeShare * it.policy.floorShare;
        const double most = it.policy.floorShare > 0 ? depthOf(gate, it, team, it.policy.floorShare) : 0;
        if (it.floorTokens > most) {
            team.poolTokens += it.floorTokens - most;
            it.floorTokens = most;
        }
    }
    for (IngressTeam &it : gate.teams) {
        it.poolTokens = std::min(it.poolTokens, teamDepth(gate, it));
    }
}

/// Takes or returns time after the fact. Debts are bounded, so that one slow datagram can't shut a service out.
void settle(IngressLimiter &gate, IngressService &service, double time)
{
    IngressTeam &team = teamOf(gate, service);
    service.ceilingTokens = std::max(service.ceilingTokens - time, -depthOf(gate, service, team, service.policy.ceilingShare));
    if (service.policy.floorShare > 0) {
        const double least = -depthOf(gate, service, team, service.policy.floorShare);
        const double taken = std::min(time, service.floorTokens - least);
        service.floorTokens -= taken;
        time -= taken;
    }
    team.poolTokens = std::max(team.poolTokens - time, -teamDepth(gate, team));
}

/// Gives each urgency of a team its reserve: the most urgent may empty the pool, the others leave a part to those
/// before them.
void setReserves(IngressLimiter &gate)
{
    for (IngressService &it : gate.services) {
        std::set<int> urgencies;
        for (const IngressService &other : gate.services) {
            if (other.policy.team == it.policy.team) {
                urgencies.insert(other.policy.urgency);
            }
        }
        const auto before = std::distance(urgencies.begin(), urgencies.find(it.policy.urgency));
        it.reserve = static_cast<double>(before) / static_cast<double>(urgencies.size());
    }
}

void setTeams(IngressLimiter &gate)
{
    const std::vector<IngressTeam> old = std::move(gate.teams);
    gate.teams.clear();
    std::set<Id> ids;
    for (const IngressService &it : gate.services) {
        ids.insert(it.policy.team);
    }
    for (const Id id : ids) {
        const auto known = std::find_if(old.begin(), old.end(), [id](const IngressTeam &it) { return it.team == id; });
        IngressTeam team = known != old.end() ? *known : IngressTeam{id, 0, 1, 1};
        team.timeShare = 1.0 / static_cast<double>(ids.size());
        gate.teams.push_back(team);
    }
}

void scaleFloors(IngressLimiter &gate)
{
    for (IngressTeam &team : gate.teams) {
        double sum = 0;
        for (const IngressService &it : gate.services) {
            sum += it.policy.team == team.team ? it.policy.floorShare : 0;
        }
        const double scale = 1 / std::max(1.0, sum);
        for (IngressService &it : gate.services) {
            it.policy.floorShare *= it.policy.team == team.team ? scale : 1;
        }
        team.poolShare = 1 - sum * scale;
    }
}

} // namespace

void setIngressPolicies(IngressLimiter &gate, std::span<const IngressPolicy> policies, Time now)
{
    std::vector<IngressService> services;
    for (const IngressPolicy &it : policies) {
        const IngressService *known = findService(gate, it.service);
        IngressService &service = services.emplace_back(known != nullptr ? *known : IngressService());
        service.policy = it;
    }
    gate.services = std::move(services);
    gate.refilledAt = gate.teams.empty() ? now - gate.settings.bucketDepth : gate.refilledAt;
    setTeams(gate);
    scaleFloors(gate);
    setReserves(gate);
    refill(gate, now);
}

bool passDatagram(IngressLimiter &gate, Id service, Time now)
{
    IngressService *it = findService(gate, service);
    if (it == nullptr) {
        return true;
    }
    refill(gate, now);
    IngressTeam &team = teamOf(gate, *it);
    const double cost = expectedCost(gate, *it);
    const bool underCeiling = it->policy.ceilingShare >= 1 || it->ceilingTokens >= cost;
    const bool fromFloor = it->floorTokens >= cost;
    const bool fromPool = team.poolTokens - cost >= it->reserve * teamDepth(gate, team);
    if (!underCeiling || (!fromFloor && !fromPool)) {
        it->dropped += 1;
        return false;
    }
    it->ceilingTokens -= cost;
    (fromFloor ? it->floorTokens : team.poolTokens) -= cost;
    it->passed += 1;
    return true;
}

void chargeDatagram(IngressLimiter &gate, Id service, Time spent)
{
    IngressService *it = findService(gate, service);
    if (it == nullptr) {
        return;
    }
    const double total = static_cast<double>(spent) + it->followUpTime;
    const double charged = expectedCost(gate, *it);
    it->followUpTime = 0;
    it->meanCost = charged + costGain * (total - charged);
    settle(gate, *it, total - charged);
}

void chargeFollowUp(IngressLimiter &gate, Id service, Time spent)
{
    if (IngressService *it = findService(gate, service)) {
        it->followUpTime += static_cast<double>(spent);
    }
}

void setRelayLimit(RelayLimit &limit, double perSecond, Time now)
{
    if (limit.perSecond == 0 || now >= limit.validUntil) {
        limit.tokens = 0;
        limit.refilledAt = now;
    }
    limit.perSecond = perSecond;
    limit.validUntil = perSecond > 0 ? now + relayLimitLifetime : now;
}

bool passRelayedRequest(RelayLimit &limit, double timeLeft, Time now)
{
    if (limit.perSecond == 0 || now >= limit.validUntil) {
        return true;
    }
    const double elapsed = static_cast<double>(now - limit.refilledAt) / static_cast<double>(second);
    limit.refilledAt = now;
    const double burst = std::max(leastRelayBurst, relayBurst * limit.perSecond);
    limit.tokens = std::min(limit.tokens + elapsed * limit.perSecond, burst);
    const double reserve = burst * timeLeftReserve * (1 - std::clamp(timeLeft, 0.0, 1.0));
    if (limit.tokens < 1 + reserve) {
        return false;
    }
    limit.tokens -= 1;
    return true;
}

} // namespace pimentofold
