#include <doctest/doctest.h>

#include <array>
#include <cmath>
#include <limits>

#include <libpimentofold/edgetestdata.h>
#include <libpimentofold/testmutation.h>
#include <pimentofold/balancing/loadwire.h>
#include <pimentofold/codec.h>
#include <pimentofold/edgecodec.h>
#include <pimentofold/reachability/reachability.h>
#include <pimentofold/replication/storereplication.h>
#include <pimentofold/targetloss/targetloss.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr std::uint64_t seed = 20'261'206;
constexpr int messages = 300'000;
constexpr int targets = 8;
constexpr Id nodes = 6;
constexpr Time messageInterval = 200 * microsecond;
constexpr Time tickInterval = 25 * millisecond;
constexpr std::int64_t firstRevision = 1000;

/// @return a number that is in the valid range of most fields, at one of its limits, or far out of range
std::int64_t someNumber(Random &random)
{
    constexpr std::array<std::int64_t, 8> special{
        0, -1, 1, std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min(), 1 << 30, 1000, -5};
    return chance(random, 0.8) ? static_cast<std::int64_t>(below(random, 2'000'000)) : special[below(random, special.size())];
}

double someRate(Random &random)
{
    constexpr std::array<double, 6> special{0, -1, 1e300, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity(), 0.5};
    return chance(random, 0.7) ? static_cast<double>(below(random, 100)) : special[below(random, special.size())];
}

std::string someDataCentre(Random &random)
{
    return chance(random, 0.9) ? "dc" + std::to_string(1 + below(random, 4)) : std::string(below(random, 200), 'd');
}

std::int64_t someTarget(Random &random)
{
    return chance(random, 0.9) ? static_cast<std::int64_t>(1 + below(random, targets)) : someNumber(random);
}

wire::EdgeTargetEvidence someEvidence(Random &random)
{
    wire::EdgeTargetEvidence it;
    it.target = someTarget(random);
    it.startedAt = chance(random, 0.9) ? 1 : someNumber(random);
    it.stalledFlows = static_cast<std::int32_t>(someNumber(random));
    it.retransmissions = static_cast<std::int32_t>(someNumber(random));
    it.stalledFor = someNumber(random);
    it.progressAge = someNumber(random);
    return it;
}

wire::EdgeDispatchLoad someLoad(Random &random)
{
    wire::EdgeDispatchLoad it;
    it.serviceName = chance(random, 0.9) ? "shop" : "unknown";
    it.dataCentre = someDataCentre(random);
    it.slots = static_cast<std::int32_t>(someNumber(random));
    it.working = static_cast<std::int32_t>(someNumber(random));
    it.waiting = static_cast<std::int32_t>(someNumber(random));
    it.expectedWait = someNumber(random);
    return it;
}

/// A new revision of the configuration with other limits of its services, and the entry of a target.
wire::EdgeChanges someChanges(Random &random, std::int64_t revision)
{
    StoreChanges changes;
    changes.known = {revision, revision};
    changes.config = makeConfig(revision, {makeRoute(shopAddress, "shop")});
    TargetRecord record = makeTarget(1 + below(random, targets), revision);
    record.warmup = someNumber(random);
    record.dataCentre = "dc" + std::to_string(1 + record.id % 2);
    changes.targets.push_back(record);
    wire::EdgeChanges part = toWire(changes).front();
    wire::EdgeService service;
    service.name = chance(random, 0.8) ? "shop" : std::string(below(random, 300), 's');
    service.coldTime = someNumber(random);
    service.coldRate = someRate(random);
    part.__set_services({service});
    return part;
}

wire::EdgeMessage someMessage(Random &random, std::int64_t revision)
{
    constexpr std::array<wire::EdgeKind::type, 7> kinds{wire::EdgeKind::Beat,
                                                        wire::EdgeKind::Changes,
                                                        wire::EdgeKind::TargetSuspected,
                                                        wire::EdgeKind::TargetLost,
                                                        wire::EdgeKind::Locate,
                                                        wire::EdgeKind::Located,
                                                        wire::EdgeKind::DispatchLoad};
    wire::EdgeMessage message;
    message.kind = chance(random, 0.1) ? wire::EdgeKind::Refused : kinds[below(random, kinds.size())];
    message.sender = static_cast<Id>(1 + below(random, nodes));
    switch (message.kind) {
    case wire::EdgeKind::Beat: {
        wire::EdgeEvacuations evacuations;
        evacuations.revision = revision;
        for (std::uint64_t n = below(random, 4); n > 0; --n) {
            evacuations.dataCentres.push_back(someDataCentre(random));
        }
        message.__set_evacuations(evacuations);
        break;
    }
    case wire::EdgeKind::Changes:
        message.__set_changes(someChanges(random, revision));
        break;
    case wire::EdgeKind::TargetSuspected:
        message.__set_evidence({someEvidence(random), someEvidence(random)});
        break;
    case wire::EdgeKind::TargetLost: {
        wire::EdgeLostTarget lost;
        lost.target = someTarget(random);
        lost.startedAt = chance(random, 0.5) ? 1 : someNumber(random);
        lost.dataCentre = chance(random, 0.5) ? "" : someDataCentre(random);
        message.__set_lostTargets({lost});
        break;
    }
    case wire::EdgeKind::DispatchLoad:
        message.__set_loads({someLoad(random), someLoad(random)});
        break;
    default:
        message.__set_flow(toWire(makeKey(static_cast<std::uint16_t>(below(random, 50)))));
        message.__set_target(someTarget(random));
        break;
    }
    return message;
}

/// A node that takes messages as the program does.
struct Receiver {
    EdgeForwarder forwarder = makeForwarder(0, 0);
    StoreReplication replication;
    ChangesAssembler assembler;
    int handled = 0;

    Receiver()
    {
        for (std::uint64_t id = 1; id <= targets; ++id) {
            TargetRecord record = makeTarget(id, static_cast<std::int64_t>(10 + id));
            record.dataCentre = "dc" + std::to_string(1 + id % 2);
            record.slots = 64;
            applyTarget(forwarder.table, record, 0);
        }
        setTargetHistoryStart(forwarder.table, 100);
        for (Id id = 2; id <= nodes; ++id) {
            forwarder.members.push_back({id, 1});
            forwarder.memberDataCentres[id] = "dc" + std::to_string(1 + id % 2);
        }
        forwarder.memberDataCentres[1] = "dc1";
        forwarder.settings.localDispatch = true;
        forwarder.targetLoss.settings.enabled = true;
        forwarder.targetLoss.secondRequestAt[shopAddress] = second;
        forwarder.table.slowStart.settings.enabled = true;
        enableReachability(forwarder.table, true);
        updateDispatchers(forwarder, 0);
    }

    void receive(const wire::EdgeMessage &message, Time now, ForwardOutput &out)
    {
        ++handled;
        if (message.__isset.evacuations) {
            replaceEvacuations(forwarder.table.evacuations, fromWire(message.evacuations));
        }
        if (message.__isset.changes) {
            if (const std::optional<StoreChanges> changes = addPart(assembler, message.sender, message.changes)) {
                applyChanges(replication, forwarder.table, *changes, now);
            }
        }
        std::vector<TargetEvidence> evidence;
        for (const wire::EdgeTargetEvidence &it : message.evidence) {
            evidence.push_back(fromWire(it));
        }
        handleEvidence(forwarder, evidence, message.sender, "dc1", now, out);
        std::vector<LostTarget> lost;
        for (const wire::EdgeLostTarget &it : message.lostTargets) {
            lost.push_back(fromWire(it));
        }
        handleLostTargets(forwarder, lost, now, out);
        for (const wire::EdgeDispatchLoad &it : message.loads) {
            handleDispatchLoad(forwarder.balancing, message.sender, fromWire(it), now, out);
        }
        const FlowKey flow = fromWire(message.flow);
        const auto target = static_cast<std::uint64_t>(message.target);
        if (message.kind == wire::EdgeKind::Refused) {
            handleRefusedNotice(forwarder, message.sender, flow, now, out);
        } else if (message.kind == wire::EdgeKind::Locate) {
            handleLocate(forwarder, message.sender, flow, locationFromWire(message), now, out);
        } else if (message.kind == wire::EdgeKind::Located) {
            handleLocationReport(forwarder, reportFromWire(message), now, out);
            handleLocationAnswer(forwarder, message.sender, flow, target, now, out);
        }
    }

    /// @return number of limits that don't hold
    int countExcess(Time now)
    {
        int excess = 0;
        for (const auto &[id, it] : forwarder.targetLoss.verdicts.suspected) {
            excess += findTarget(forwarder.table, id) == nullptr || it.startedAt != 1 || it.reports.size() > 1000 ? 1 : 0;
            for (const LossReport &report : it.reports) {
                excess += report.stalledFlows > static_cast<int>(maxStallsPerTarget) || report.since > now || report.since < now - minute ? 1 : 0;
            }
        }
        excess += forwarder.targetLoss.verdicts.suspected.size() + forwarder.targetLoss.lost.size() > 2 * std::size_t{targets} ? 1 : 0;
        excess += assembler.pending.size() > maxPartialChanges ? 1 : 0;
        for (const auto &[service, limits] : forwarder.table.slowStart.services) {
            excess += limits.coldRate >= 0 && limits.coldRate <= maxColdRate && limits.coldTime >= 0 && limits.coldTime <= maxColdTime ? 0 : 1;
        }
        for (const std::string &it : forwarder.table.evacuations.dataCentres) {
            excess += it.size() > maxDataCentreNameBytes ? 1 : 0;
        }
        for (const auto &[service, balance] : forwarder.balancing.services) {
            excess += balance.others.size() + balance.parts.size() > nodes + 2 ? 1 : 0;
        }
        return excess;
    }
};

} // namespace

// Guards against crashes, states that grow without bound and values out of range that are caused by damaged messages of other nodes or
// by messages with arbitrary numbers.
TEST_CASE("mutated messages of edge nodes cause no crash and no state out of range")
{
    Random random{seed};
    Codec codec;
    Receiver receiver;
    int refused = 0;
    int excess = 0;
    std::size_t events = 0;
    Time now = second;
    Time nextTickAt = now;
    for (int i = 0; i < messages; ++i, now += messageInterval) {
        std::string bytes = mutate(random, std::string(codec.encode(someMessage(random, firstRevision + i))));
        if (chance(random, 0.05)) {
            bytes.assign(below(random, 200), '\0');
            for (char &it : bytes) {
                it = static_cast<char>(next(random));
            }
        }
        ForwardOutput out;
        try {
            wire::EdgeMessage message;
            codec.decode(bytes, message);
            receiver.receive(message, now, out);
        } catch (const DecodeError &) {
            ++refused;
        }
        if (now >= nextTickAt) {
            nextTickAt = now + tickInterval;
            handlePacket(receiver.forwarder, makeOpening(static_cast<std::uint16_t>(below(random, 50))), now, out);
            tickForwarder(receiver.forwarder, now, out);
            excess += receiver.countExcess(now);
        }
        events += out.lossEvents.size() + out.locationMessages.size() + out.loadReports.size();
    }
    INFO("seed " << seed);
    CHECK(excess == 0);
    // Guards against mutations that never get past the decoders.
    CHECK(receiver.handled > messages / 4);
    CHECK(refused > messages / 10);
    CHECK(events > 1000);
}
