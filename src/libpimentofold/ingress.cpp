#include <pimentofold/ingress.h>

#include <algorithm>
#include <set>

namespace pimentofold {

namespace {

constexpr double costGain = 0.05;
constexpr double minDepthInDatagrams = 4; // a bucket holds the cost of at least this many datagrams, however small its share
constexpr double relayBurstTime = 0.1; // in seconds; the bucket holds the requests that the limit allows in this time
constexpr double minRelayBurst = 4; // in requests; keeps a reserve for requests with much time left at low rates
constexpr double timeLeftReserve = 0.5; // share of the burst that is reserved for requests with all of their time left

IngressService *findService(IngressLimiter &limiter, Id service)
{
    const auto it =
        std::find_if(limiter.services.begin(), limiter.services.end(), [service](const IngressService &entry) { return entry.policy.service == service; });
    return it != limiter.services.end() ? &*it : nullptr;
}

IngressTeam &findTeam(IngressLimiter &limiter, const IngressService &service)
{
    return *std::find_if(limiter.teams.begin(), limiter.teams.end(), [&service](const IngressTeam &entry) { return entry.team == service.policy.team; });
}

/// @return expected processing time of a datagram, in microseconds
double expectedCost(const IngressLimiter &limiter, const IngressService &service)
{
    return service.meanCost > 0 ? service.meanCost : static_cast<double>(limiter.settings.initialCost);
}

/// @return maximum tokens of a team's pool, in microseconds
double teamDepth(const IngressLimiter &limiter, const IngressTeam &team)
{
    return static_cast<double>(limiter.settings.bucketDepth) * limiter.settings.utilisation * team.timeShare;
}

/// @param share floor or ceiling of the service
/// @return maximum tokens of the floor or ceiling of a service, in microseconds
double serviceDepth(const IngressLimiter &limiter, const IngressService &service, const IngressTeam &team, double share)
{
    return std::max(share * teamDepth(limiter, team), minDepthInDatagrams * expectedCost(limiter, service));
}

/// Adds the tokens of the elapsed time to the buckets. Tokens that exceed the depth of a floor go to the pool of the team.
void refill(IngressLimiter &limiter, Time now)
{
    const double elapsed = static_cast<double>(now - limiter.refilledAt) * limiter.settings.utilisation;
    limiter.refilledAt = now;
    for (IngressTeam &it : limiter.teams) {
        it.poolTokens += elapsed * it.timeShare * it.poolShare;
    }
    for (IngressService &it : limiter.services) {
        IngressTeam &team = findTeam(limiter, it);
        it.ceilingTokens =
            std::min(it.ceilingTokens + elapsed * team.timeShare * it.policy.ceilingShare, serviceDepth(limiter, it, team, it.policy.ceilingShare));
        it.floorTokens += elapsed * team.timeShare * it.policy.floorShare;
        const double maxTokens = it.policy.floorShare > 0 ? serviceDepth(limiter, it, team, it.policy.floorShare) : 0;
        if (it.floorTokens > maxTokens) {
            team.poolTokens += it.floorTokens - maxTokens;
            it.floorTokens = maxTokens;
        }
    }
    for (IngressTeam &it : limiter.teams) {
        it.poolTokens = std::min(it.poolTokens, teamDepth(limiter, it));
    }
}

/// Charges a time to a service after it was spent, first to the floor, then to the pool; a negative time is refunded. Debts
/// are bounded, so that one slow datagram can't block a service for long.
void adjustTokens(IngressLimiter &limiter, IngressService &service, double time)
{
    IngressTeam &team = findTeam(limiter, service);
    service.ceilingTokens = std::max(service.ceilingTokens - time, -serviceDepth(limiter, service, team, service.policy.ceilingShare));
    if (service.policy.floorShare > 0) {
        const double minTokens = -serviceDepth(limiter, service, team, service.policy.floorShare);
        const double taken = std::min(time, service.floorTokens - minTokens);
        service.floorTokens -= taken;
        time -= taken;
    }
    team.poolTokens = std::max(team.poolTokens - time, -teamDepth(limiter, team));
}

/// Computes the reserves of the services from their urgency within the team: the most urgent services may use the whole pool,
/// the others must leave a share to the more urgent ones.
void setReserves(IngressLimiter &limiter)
{
    for (IngressService &it : limiter.services) {
        std::set<int> urgencies;
        for (const IngressService &other : limiter.services) {
            if (other.policy.team == it.policy.team) {
                urgencies.insert(other.policy.urgency);
            }
        }
        const auto moreUrgent = std::distance(urgencies.begin(), urgencies.find(it.policy.urgency));
        it.reserve = static_cast<double>(moreUrgent) / static_cast<double>(urgencies.size());
    }
}

/// Rebuilds the teams from the services; teams that stay keep their tokens.
void setTeams(IngressLimiter &limiter)
{
    const std::vector<IngressTeam> previous = std::move(limiter.teams);
    limiter.teams.clear();
    std::set<Id> ids;
    for (const IngressService &it : limiter.services) {
        ids.insert(it.policy.team);
    }
    for (const Id id : ids) {
        const auto known = std::find_if(previous.begin(), previous.end(), [id](const IngressTeam &it) { return it.team == id; });
        IngressTeam team = known != previous.end() ? *known : IngressTeam{id, 0, 1, 1};
        team.timeShare = 1.0 / static_cast<double>(ids.size());
        limiter.teams.push_back(team);
    }
}

/// Scales floors of a team that add up to more than 1, and computes the share of the pool.
void scaleFloors(IngressLimiter &limiter)
{
    for (IngressTeam &team : limiter.teams) {
        double sum = 0;
        for (const IngressService &it : limiter.services) {
            sum += it.policy.team == team.team ? it.policy.floorShare : 0;
        }
        const double scale = 1 / std::max(1.0, sum);
        for (IngressService &it : limiter.services) {
            it.policy.floorShare *= it.policy.team == team.team ? scale : 1;
        }
        team.poolShare = 1 - sum * scale;
    }
}

} // namespace

void setIngressPolicies(IngressLimiter &limiter, std::span<const IngressPolicy> policies, Time now)
{
    std::vector<IngressService> services;
    for (const IngressPolicy &it : policies) {
        const IngressService *known = findService(limiter, it.service);
        IngressService &service = services.emplace_back(known != nullptr ? *known : IngressService());
        service.policy = it;
    }
    limiter.services = std::move(services);
    limiter.refilledAt = limiter.teams.empty() ? now - limiter.settings.bucketDepth : limiter.refilledAt;
    setTeams(limiter);
    scaleFloors(limiter);
    setReserves(limiter);
    refill(limiter, now);
}

bool passDatagram(IngressLimiter &limiter, Id service, Time now)
{
    IngressService *it = findService(limiter, service);
    if (it == nullptr) {
        return true;
    }
    refill(limiter, now);
    IngressTeam &team = findTeam(limiter, *it);
    const double cost = expectedCost(limiter, *it);
    const bool underCeiling = it->policy.ceilingShare >= 1 || it->ceilingTokens >= cost;
    const bool fromFloor = it->floorTokens >= cost;
    const bool fromPool = team.poolTokens - cost >= it->reserve * teamDepth(limiter, team);
    if (!underCeiling || (!fromFloor && !fromPool)) {
        it->dropped += 1;
        return false;
    }
    it->ceilingTokens -= cost;
    (fromFloor ? it->floorTokens : team.poolTokens) -= cost;
    it->passed += 1;
    return true;
}

void chargeDatagram(IngressLimiter &limiter, Id service, Time spent)
{
    IngressService *it = findService(limiter, service);
    if (it == nullptr) {
        return;
    }
    const double total = static_cast<double>(spent) + it->followUpTime;
    const double charged = expectedCost(limiter, *it);
    it->followUpTime = 0;
    it->meanCost = charged + costGain * (total - charged);
    adjustTokens(limiter, *it, total - charged);
}

void chargeFollowUp(IngressLimiter &limiter, Id service, Time spent)
{
    if (IngressService *it = findService(limiter, service)) {
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
    const double burst = std::max(minRelayBurst, relayBurstTime * limit.perSecond);
    limit.tokens = std::min(limit.tokens + elapsed * limit.perSecond, burst);
    const double reserve = burst * timeLeftReserve * (1 - std::clamp(timeLeft, 0.0, 1.0));
    if (limit.tokens < 1 + reserve) {
        return false;
    }
    limit.tokens -= 1;
    return true;
}

} // namespace pimentofold
