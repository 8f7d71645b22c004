#include <pimentofold/targetloss/lossverdict.h>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace pimentofold {

namespace {

/// Contradicted and silent targets of this owner.
struct SuspectCounts {
    std::size_t contradicted = 0; ///< within contradictionWindow
    std::size_t contradictedBefore = 0; ///< within lossWindow
    std::size_t silent = 0;
};

bool isOwned(const EdgeTarget &target)
{
    return target.owner == 0;
}

bool isDraining(const EdgeTarget &target)
{
    return target.registered && target.record.state == TargetState::Draining;
}

/// @return start of the time in which progress at the nodes of the data centre would have been reported here
Time contactStart(const LossVerdicts &verdicts, const std::string &dataCentre)
{
    const auto it = verdicts.contacts.find(dataCentre);
    return dataCentre == verdicts.dataCentre || it == verdicts.contacts.end() ? 0 : it->second.since;
}

/// Evidence older than the last progress or than the target's incarnation says nothing about the target as it is now. Progress
/// since a stall that began before the contact with the target's data centre may have been missed, and a cut between the reporting
/// node's data centre and this one explains the stall.
void dropOutdatedReports(const LossVerdicts &verdicts, SuspectedTarget &suspect, const EdgeTarget &target, Time now)
{
    std::erase_if(suspect.reports, [&](const LossReport &it) {
        const bool contradicted = it.since < target.lastProgressAt + verdicts.settings.reportSlack;
        if (contradicted) {
            suspect.contradictedAt = now;
        }
        const bool outOfContact = it.since < std::max(contactStart(verdicts, target.record.dataCentre), contactStart(verdicts, it.dataCentre));
        const bool earlierIncarnation = it.since < target.incarnationSeenAt;
        return contradicted || outOfContact || earlierIncarnation || now - it.receivedAt > verdicts.settings.reportLifetime;
    });
}

int stalledFlowsOf(const SuspectedTarget &suspect)
{
    int flows = 0;
    for (const LossReport &it : suspect.reports) {
        flows += it.stalledFlows;
    }
    return flows;
}

int pointsOf(const SuspectedTarget &suspect, const EdgeTarget &target)
{
    const int flows = stalledFlowsOf(suspect);
    int retransmissions = 0;
    for (const LossReport &it : suspect.reports) {
        retransmissions = std::max(retransmissions, it.retransmissions);
    }
    return flows == 0 ? 0 : flows + (retransmissions > 1 ? 1 : 0) + (target.unansweredOpenings > 0 ? 1 : 0);
}

/// @return whether the store has shown for long enough that the target's entry is gone, while the store answered
bool isRemovalProven(const LossVerdicts &verdicts, const EdgeTarget &target, Time now)
{
    if (target.registered || verdicts.store.answeringSince == never) {
        return false;
    }
    const Time since = std::max(target.removedAt, verdicts.store.answeringSince);
    return std::min(verdicts.store.confirmedAt, now) - since >= verdicts.settings.removalProofTime;
}

/// @return whether nodes of the data centre have been heard without a gap since @p since
bool isInContact(const LossVerdicts &verdicts, const std::string &dataCentre, Time since, Time now)
{
    if (dataCentre == verdicts.dataCentre) {
        return true;
    }
    const auto it = verdicts.contacts.find(dataCentre);
    return it != verdicts.contacts.end() && it->second.since <= since && now - it->second.heardAt <= verdicts.settings.contactAge;
}

/// @return whether most targets of a data centre are suspected or have no entry, so that the whole data centre may be cut off
bool isMostlySuspected(const LossVerdicts &verdicts, const TargetTable &table, const std::string &dataCentre, Time now)
{
    std::size_t all = 0;
    std::size_t doubtful = 0;
    for (const auto &[id, since] : verdicts.ownedSince) {
        const EdgeTarget *target = findTarget(table, id);
        if (target == nullptr || target->record.dataCentre != dataCentre) {
            continue;
        }
        const bool goneLately = !target->registered && now - target->removedAt < 2 * verdicts.settings.removalProofTime;
        if (!target->registered && !goneLately) {
            continue;
        }
        ++all;
        const auto suspect = verdicts.suspected.find(id);
        const bool suspected = suspect != verdicts.suspected.end() && !suspect->second.reports.empty();
        doubtful += goneLately || suspected || target->lostSince != never ? 1 : 0;
    }
    return doubtful > 1 && 2 * doubtful > all;
}

bool hasReportFrom(const SuspectedTarget &suspect, const std::string &dataCentre)
{
    return std::ranges::find(suspect.reports, dataCentre, &LossReport::dataCentre) != suspect.reports.end();
}

std::size_t dataCentreCount(const SuspectedTarget &suspect)
{
    std::set<std::string> names;
    for (const LossReport &it : suspect.reports) {
        names.insert(it.dataCentre);
    }
    return names.size();
}

/// @return whether the target is silent as seen from its own data centre or from everywhere else, and not merely cut off
bool isSilentEverywhere(const LossVerdicts &verdicts, const TargetTable &table, const SuspectedTarget &suspect, const EdgeTarget &target, Time now)
{
    const std::string &own = target.record.dataCentre;
    const Time since = std::ranges::min_element(suspect.reports, {}, &LossReport::since)->since;
    if (!isInContact(verdicts, own, since, now)) {
        return false;
    }
    return hasReportFrom(suspect, own) || (dataCentreCount(suspect) > 1 && !isMostlySuspected(verdicts, table, own, now));
}

SuspectCounts countSuspects(const LossVerdicts &verdicts, Time now)
{
    SuspectCounts counts;
    for (const auto &[id, it] : verdicts.suspected) {
        const bool contradicted = it.contradictedAt > 0 && now - it.contradictedAt <= verdicts.settings.contradictionWindow;
        counts.contradicted += contradicted ? 1 : 0;
        counts.contradictedBefore += it.contradictedAt > 0 && now - it.contradictedAt <= verdicts.settings.lossWindow ? 1 : 0;
        counts.silent += !contradicted && !it.reports.empty() ? 1 : 0;
    }
    return counts;
}

/// When callers can't be reached, or lose many packets, their flows stall on all targets while other callers' flows make
/// progress there. Then a target without progress of others for a moment isn't silent.
/// @return whether progress contradicts so much of the evidence that the remaining evidence is doubtful too
bool isMostlyContradicted(const LossVerdicts &verdicts, const SuspectCounts &counts)
{
    constexpr std::size_t minShare = 4; // one quarter of the owned targets
    return counts.contradicted > std::max(counts.silent, verdicts.ownedSince.size() / minShare);
}

/// The more evidence progress contradicts, the more packets are lost on the way, and the more evidence a verdict needs.
int neededPoints(const LossVerdicts &verdicts, const SuspectCounts &counts)
{
    constexpr std::size_t someShare = 10; // one tenth of the owned targets
    constexpr std::size_t largeShare = 5;
    const std::size_t owned = verdicts.ownedSince.size();
    return verdicts.settings.minPoints + (someShare * counts.contradictedBefore > owned ? 1 : 0) + (largeShare * counts.contradictedBefore > owned ? 1 : 0);
}

bool isOwnerSettled(const LossVerdicts &verdicts, std::uint64_t target, Time now)
{
    const auto owned = verdicts.ownedSince.find(target);
    return owned != verdicts.ownedSince.end() && now - owned->second >= verdicts.settings.minOwnership;
}

bool mayJudge(const LossVerdicts &verdicts, const EdgeTarget &target, Time now)
{
    return isOwned(target) && isOwnerSettled(verdicts, target.record.id, now) && !isDraining(target) && target.lostSince == never
        && now >= target.noVerdictUntil;
}

bool isEvidenceSufficient(const LossVerdicts &verdicts, const SuspectedTarget &suspect, const EdgeTarget &target, int points, Time now)
{
    return pointsOf(suspect, target) >= points && (suspect.reports.size() > 1 || isRemovalProven(verdicts, target, now));
}

/// @return the only data centre from which the target stalls; nothing when there are more or when it is the target's own
std::optional<std::string> onlyDataCentre(const SuspectedTarget &suspect, const EdgeTarget &target)
{
    const std::string &first = suspect.reports.front().dataCentre;
    return dataCentreCount(suspect) == 1 && first != target.record.dataCentre ? std::optional(first) : std::nullopt;
}

bool isDeclaredLost(const TargetTable &table, std::uint64_t id)
{
    const EdgeTarget *target = findTarget(table, id);
    return target != nullptr && target->lostSince != never;
}

LostTarget makeVerdict(const EdgeTarget &target, const std::string &dataCentre)
{
    return {target.record.id, target.record.startedAt, dataCentre};
}

/// Whether the conditions have held for settleTime. A pause of this process starts the time again.
bool updateSettled(const LossVerdicts &verdicts, SuspectedTarget &suspect, bool holds, bool ranRegularly, Time now)
{
    if (!holds) {
        suspect.conditionsSince = never;
        return false;
    }
    if (suspect.conditionsSince == never || !ranRegularly) {
        suspect.conditionsSince = now;
    }
    return now - suspect.conditionsSince >= verdicts.settings.settleTime;
}

/// @param evidence without reports when the target's entry is gone
void announce(LossVerdicts &verdicts, const LostTarget &lost, const SuspectedTarget &evidence, VerdictOutput &out, Time now)
{
    out.verdicts.push_back({lost, stalledFlowsOf(evidence), static_cast<int>(evidence.reports.size())});
    verdicts.pending.push_back({lost, now + verdicts.settings.verdictJoinTime, false});
}

void judgeSuspects(LossVerdicts &verdicts, TargetTable &table, const VerdictQueries &queries, bool ranRegularly, VerdictOutput &out, Time now)
{
    for (auto &[id, suspect] : verdicts.suspected) {
        if (const EdgeTarget *target = findTarget(table, id)) {
            dropOutdatedReports(verdicts, suspect, *target, now);
        }
    }
    const SuspectCounts counts = countSuspects(verdicts, now);
    const bool callersFault = isMostlyContradicted(verdicts, counts);
    const int points = neededPoints(verdicts, counts);
    const auto hasConsistentWork = [&](std::uint64_t id, const SuspectedTarget &suspect) {
        // Few targets come this far, so the flows are counted only here.
        if (now - verdicts.workAt >= verdicts.settings.workInterval) {
            verdicts.workAt = now;
            verdicts.work = queries.work();
        }
        const auto isSuspected = [&](std::uint64_t other) { return verdicts.suspected.contains(other) || isDeclaredLost(table, other); };
        return isWorkConsistent(verdicts.work, id, stalledFlowsOf(suspect), isSuspected);
    };
    for (auto &[id, suspect] : verdicts.suspected) {
        EdgeTarget *target = findTarget(table, id);
        const bool judged = target != nullptr && !suspect.reports.empty() && !callersFault && target->record.startedAt == suspect.startedAt
            && mayJudge(verdicts, *target, now) && isEvidenceSufficient(verdicts, suspect, *target, points, now) && hasConsistentWork(id, suspect);
        const bool lost = judged && isSilentEverywhere(verdicts, table, suspect, *target, now);
        const bool mayBeUnreachable = judged && !lost && now >= suspect.unreachableUntil;
        const std::optional<std::string> from = mayBeUnreachable ? onlyDataCentre(suspect, *target) : std::nullopt;
        if (!updateSettled(verdicts, suspect, lost || from, ranRegularly, now)) {
            continue;
        }
        if (lost) {
            target->lostSince = now;
            verdicts.lostStallsSince[id] = std::ranges::min_element(suspect.reports, {}, &LossReport::since)->since;
            announce(verdicts, makeVerdict(*target, ""), suspect, out, now);
            suspect.reports.clear();
        } else {
            suspect.unreachableUntil = now + verdicts.settings.recoveryHold;
            announce(verdicts, makeVerdict(*target, *from), suspect, out, now);
        }
    }
    std::erase_if(verdicts.suspected,
                  [&](const auto &it) { return it.second.reports.empty() && now - it.second.contradictedAt > verdicts.settings.lossWindow; });
}

/// Verdict without stalls on targets whose entries are gone, for their idle flows.
void judgeRemoved(LossVerdicts &verdicts, TargetTable &table, const VerdictQueries &queries, VerdictOutput &out, Time now)
{
    if (now < verdicts.nextRemovalScanAt || verdicts.store.answeringSince == never) {
        return;
    }
    verdicts.nextRemovalScanAt = now + verdicts.settings.removalScanInterval;
    for (const auto &[id, since] : verdicts.ownedSince) {
        EdgeTarget *target = findTarget(table, id);
        if (target == nullptr || target->registered || target->openFlows == 0 || !mayJudge(verdicts, *target, now)) {
            continue;
        }
        const std::string &dataCentre = target->record.dataCentre;
        const bool silent = target->lastProgressAt <= target->removedAt;
        if (silent && isRemovalProven(verdicts, *target, now) && queries.keepsFlows(target->record.service)
            && isInContact(verdicts, dataCentre, now - verdicts.settings.removalProofTime, now) && !isMostlySuspected(verdicts, table, dataCentre, now)) {
            target->lostSince = now;
            verdicts.lostStallsSince[id] = target->removedAt;
            announce(verdicts, makeVerdict(*target, ""), {}, out, now);
        }
    }
}

void collectBroadcasts(LossVerdicts &verdicts, const TargetTable &table, VerdictOutput &out, Time now)
{
    const bool due = std::ranges::any_of(verdicts.pending, [&](const PendingVerdict &it) { return it.dueAt <= now; });
    if (!due || now < verdicts.nextBroadcastAt) {
        return;
    }
    verdicts.nextBroadcastAt = now + verdicts.settings.broadcastInterval;
    for (PendingVerdict &it : verdicts.pending) {
        if (it.dueAt > now + verdicts.settings.broadcastInterval) {
            continue;
        }
        const EdgeTarget *target = findTarget(table, it.lost.target);
        const bool holds = target != nullptr && (!it.lost.dataCentre.empty() || target->lostSince != never);
        if (holds) {
            out.broadcast.push_back(it.lost);
        }
        const bool again = holds && !it.repeated;
        it.dueAt = again ? now + verdicts.settings.repeatTime : never;
        it.repeated = true;
    }
    std::erase_if(verdicts.pending, [](const PendingVerdict &it) { return it.dueAt == never; });
}

} // namespace

void recordOwnership(LossVerdicts &verdicts, const TargetTable &table, Time now)
{
    std::unordered_map<std::uint64_t, Time> owned;
    for (const auto &[service, ids] : table.ownedTargets) {
        for (const std::uint64_t id : ids) {
            if (isOwned(*findTarget(table, id))) {
                const auto known = verdicts.ownedSince.find(id);
                owned.emplace(id, known == verdicts.ownedSince.end() ? now : known->second);
            }
        }
    }
    verdicts.ownedSince = std::move(owned);
    std::erase_if(verdicts.suspected, [&](const auto &it) { return !verdicts.ownedSince.contains(it.first); });
}

void recordContact(LossVerdicts &verdicts, const std::string &dataCentre, Time now)
{
    DataCentreContact &it = verdicts.contacts[dataCentre];
    if (now - it.heardAt > verdicts.settings.contactAge) {
        it.since = now;
    }
    it.heardAt = now;
}

void recordStoreContact(LossVerdicts &verdicts, bool answering, Time confirmedAt, Time now)
{
    if (!answering) {
        verdicts.store.answeringSince = never;
    } else if (verdicts.store.answeringSince == never) {
        verdicts.store.answeringSince = now;
    }
    verdicts.store.confirmedAt = confirmedAt;
}

bool recordEvidence(LossVerdicts &verdicts, TargetTable &table, const TargetEvidence &evidence, Id node, const std::string &dataCentre, Time now)
{
    EdgeTarget *target = findTarget(table, evidence.target);
    if (target == nullptr || target->record.startedAt != evidence.startedAt || !isOwned(*target)) {
        return false;
    }
    if (evidence.progressAge >= 0) {
        target->lastProgressAt = std::max(target->lastProgressAt, now - evidence.progressAge);
    }
    const auto stalls = verdicts.lostStallsSince.find(evidence.target);
    const bool isLost = target->lostSince != never && stalls != verdicts.lostStallsSince.end();
    if (isLost && evidence.progressAge >= 0 && now - evidence.progressAge > stalls->second + verdicts.settings.reportSlack) {
        // The sender has seen progress that is older than the verdict, but not than the stalls that led to it.
        target->lastProgressAt = std::max(target->lastProgressAt, target->lostSince + 1);
    }
    if (evidence.stalledFlows <= 0 || target->lostSince != never) {
        return false;
    }
    SuspectedTarget &suspect = verdicts.suspected[evidence.target];
    if (suspect.startedAt != evidence.startedAt) {
        suspect = {};
        suspect.startedAt = evidence.startedAt;
    }
    const LossReport report{node, dataCentre, evidence.stalledFlows, evidence.retransmissions, now - std::max<Time>(evidence.stalledFor, 0), now};
    const bool first = suspect.reports.empty() && suspect.contradictedAt == 0;
    const auto known = std::ranges::find(suspect.reports, node, &LossReport::node);
    if (known != suspect.reports.end()) {
        *known = report;
    } else {
        suspect.reports.push_back(report);
    }
    return first;
}

void clearVerdicts(LossVerdicts &verdicts)
{
    verdicts.suspected.clear();
    verdicts.pending.clear();
    verdicts.contacts.clear();
    verdicts.store.answeringSince = never;
}

VerdictOutput tickVerdicts(LossVerdicts &verdicts, TargetTable &table, const VerdictQueries &queries, Time now)
{
    VerdictOutput out;
    const bool ranRegularly = verdicts.lastRunAt == 0 || now - verdicts.lastRunAt <= verdicts.settings.maxRunGap;
    verdicts.lastRunAt = now;
    judgeSuspects(verdicts, table, queries, ranRegularly, out, now);
    judgeRemoved(verdicts, table, queries, out, now);
    std::erase_if(verdicts.lostStallsSince, [&](const auto &it) {
        const EdgeTarget *target = findTarget(table, it.first);
        return target == nullptr || target->lostSince == never;
    });
    collectBroadcasts(verdicts, table, out, now);
    return out;
}

bool hasOpenCases(const LossVerdicts &verdicts)
{
    const auto isOpen = [](const auto &it) { return !it.second.reports.empty(); };
    return !verdicts.pending.empty() || std::ranges::any_of(verdicts.suspected, isOpen);
}

} // namespace pimentofold
