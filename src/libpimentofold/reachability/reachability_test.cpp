#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <set>

#include <pimentofold/evacuation/evacuationstate.h>
#include <pimentofold/reachability/reachability.h>

#include <libpimentofold/edgetestdata.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr Time transitTime = 2 * millisecond;
constexpr Time step = millisecond;
constexpr Time cutAt = 3 * second;

/// What a run has and what happens in it.
struct Scenario {
    bool enabled = true;
    std::set<std::string, std::less<>> evacuated;
    std::set<std::string, std::less<>> cut; ///< data centres that the node doesn't reach from cutAt on
    Time cutTime = 6 * second;
    int openingsPerSecond = 40;
    int keptRequestsPerSecond = 0; ///< on open flows to a target of dc1
    double loss = 0; ///< share of the packets to and from dc2 that are lost
    bool deadTarget = false; ///< a target of dc2 that answers nothing
    bool peersAnswer = true; ///< false: nodes answer no pings
    bool fabricSends = false; ///< the fabric sends packets although the node isn't ready, as when few nodes of the data centre aren't
};

/// Outcome of a run.
struct Outcome {
    Time notReadyAt = never;
    Time readyAgainAt = never;
    Time unreachableAt = never; ///< any data centre
    int openings = 0;
    int opened = 0;
    int lost = 0; ///< flows that never opened here, weren't refused, and all of whose opening packets came to this node
    int refused = 0;
    Time firstRefusalAt = never;
    int offersAcross = 0; ///< to targets in cut data centres, from a second after the cut's begin
    int relaysAcross = 0; ///< the same for relayed openings
    int pings = 0;
};

/// One node in dc1 with twelve targets and four other nodes in each of three data centres, on virtual time.
class Region
{
public:
    explicit Region(const Scenario &scenario)
        : m_scenario(scenario)
        , m_forwarder(makeForwarder(0, 0))
    {
        for (std::uint64_t id = 1; id <= 36; ++id) {
            TargetRecord record = makeTarget(id, 10 + static_cast<std::int64_t>(id));
            record.dataCentre = dataCentreOfTarget(id);
            record.slots = 50;
            applyTarget(m_forwarder.table, record, 0);
        }
        enableReachability(m_forwarder.table, scenario.enabled);
        std::unordered_map<Id, OtherNode> nodes;
        for (Id node = 100; node < 112; ++node) {
            nodes[node] = {dataCentreOfNode(node), true};
            m_forwarder.members.push_back({node, 1});
        }
        setNodes(m_forwarder.table.reachability, nodes);
        if (!scenario.evacuated.empty()) {
            CHECK(replaceEvacuations(m_forwarder.table.evacuations, {50, scenario.evacuated}));
        }
        updateDispatchers(m_forwarder, 0);
    }

    Outcome run()
    {
        const Time end = cutAt + m_scenario.cutTime + 4 * second;
        for (m_now = step; m_now < end; m_now += step) {
            deliver();
            if (m_now < end - second) {
                sendOpenings();
            }
            sendKeptRequests();
            ForwardOutput out;
            detectPause(m_forwarder, m_now);
            if (m_now >= nextForwarderTick(m_forwarder)) {
                tickForwarder(m_forwarder, m_now, out);
            }
            handle(out);
            observe();
        }
        m_outcome.lost = static_cast<int>(m_unopened.size());
        return m_outcome;
    }

private:
    /// An event that happens at this node later.
    struct Event {
        std::optional<FlowPacket> packet;
        Id heardFrom = 0;
    };

    static std::string dataCentreOfTarget(std::uint64_t id)
    {
        return "dc" + std::to_string(1 + id % 3);
    }

    static std::string dataCentreOfNode(Id node)
    {
        return "dc" + std::to_string(1 + node % 3);
    }

    bool isCut(const std::string &dataCentre) const
    {
        return m_now >= cutAt && m_now < cutAt + m_scenario.cutTime && m_scenario.cut.contains(dataCentre);
    }

    bool isLost(const std::string &dataCentre)
    {
        return isCut(dataCentre) || (dataCentre == "dc2" && unit(m_random) < m_scenario.loss);
    }

    bool isSent(int perSecond) const
    {
        return m_now * perSecond / second != (m_now - step) * perSecond / second;
    }

    /// @return whether the fabric sends this node no packets: from its second failed check on, at most a second later
    bool isWithheld() const
    {
        return !m_scenario.fabricSends && m_notReadySince != never && m_now - m_notReadySince > second;
    }

    void sendOpenings()
    {
        if (!isSent(m_scenario.openingsPerSecond) || isWithheld()) {
            return;
        }
        ++m_outcome.openings;
        const std::uint16_t port = m_nextPort++;
        m_unopened.insert(port);
        for (const Time age : {200 * millisecond, 600 * millisecond}) {
            m_events.emplace(m_now + age, Event{makeOpening(port, age), 0});
        }
        ForwardOutput out;
        handlePacket(m_forwarder, makeOpening(port), m_now, out);
        handle(out);
    }

    void sendKeptRequests()
    {
        if (!isSent(m_scenario.keptRequestsPerSecond)) {
            return;
        }
        const std::uint64_t target = 3; // in dc1
        FlowPacket request = makeData(1, findTarget(m_forwarder.table, target)->token);
        request.sequence = ++m_keptSequence;
        request.payloadBytes = 1;
        request.acknowledgement = m_keptSequence;
        FlowPacket confirmation = request;
        confirmation.payloadBytes = 0;
        confirmation.sequence = m_keptSequence + 1;
        confirmation.acknowledgement = m_keptSequence + 1;
        m_events.emplace(m_now, Event{request, 0});
        m_events.emplace(m_now + 20 * millisecond, Event{confirmation, 0});
    }

    void deliver()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const Event event = m_events.begin()->second;
            m_events.erase(m_events.begin());
            if (event.packet && event.packet->opens && isWithheld()) {
                m_unopened.erase(event.packet->flow.caller.port); // another node gets it
            } else if (event.packet && event.packet->opens && !m_unopened.contains(event.packet->flow.caller.port)) {
                continue; // the caller has an answer
            } else if (event.packet) {
                ForwardOutput out;
                handlePacket(m_forwarder, *event.packet, m_now, out);
                handle(out);
            } else {
                recordHeardFromNode(m_forwarder.table.reachability, event.heardFrom, m_now);
            }
        }
    }

    bool isAfterVerdict() const
    {
        return m_now > cutAt + second && m_now < cutAt + m_scenario.cutTime;
    }

    void answerOpening(const FlowKey &key, std::uint64_t target)
    {
        const std::string dataCentre = dataCentreOfTarget(target);
        if (isCut(dataCentre) && isAfterVerdict()) {
            ++m_outcome.offersAcross;
        }
        if (isLost(dataCentre) || (m_scenario.deadTarget && target == 4)) {
            return;
        }
        FlowPacket data = makeData(key.caller.port, findTarget(m_forwarder.table, target)->token);
        m_events.emplace(m_now + 2 * transitTime, Event{data, 0});
        data.payloadBytes = 0;
        data.sequence += 4;
        data.acknowledgement = 1;
        m_events.emplace(m_now + 20 * millisecond, Event{data, 0});
        data.finishes = true;
        m_events.emplace(m_now + 21 * millisecond, Event{data, 0});
    }

    void handle(const ForwardOutput &out)
    {
        for (const ForwardedPacket &it : out.packets) {
            if (it.bytes == "opening") {
                answerOpening(offeredFlow(out, it.target), it.target);
            }
        }
        for (const RelayedOpening &it : out.relayedOpenings) {
            relay(out, it);
        }
        for (const Id it : out.pings) {
            ++m_outcome.pings;
            if (m_scenario.peersAnswer && !isLost(dataCentreOfNode(it))) {
                m_events.emplace(m_now + 2 * transitTime, Event{std::nullopt, it});
            }
        }
        m_outcome.refused += static_cast<int>(out.resets.size());
        if (!out.resets.empty()) {
            m_outcome.firstRefusalAt = std::min(m_outcome.firstRefusalAt, m_now);
        }
        for (const FlowReset &it : out.resets) {
            m_unopened.erase(it.flow.caller.port);
        }
        for (const ForwardEventRecord &it : out.events) {
            if (it.event == ForwardEvent::Opened) {
                ++m_outcome.opened;
                m_unopened.erase(it.flow.caller.port);
            }
        }
    }

    /// @return the flow of the offer to the target
    static FlowKey offeredFlow(const ForwardOutput &out, std::uint64_t target)
    {
        const auto offer = std::ranges::find_if(out.events, [&](const ForwardEventRecord &it) {
            return it.target == target && (it.event == ForwardEvent::Placed || it.event == ForwardEvent::OfferedAgain);
        });
        REQUIRE(offer != out.events.end());
        return offer->flow;
    }

    /// A dispatcher offers the flow to a target that isn't evacuated and that it reaches.
    void relay(const ForwardOutput &out, const RelayedOpening &relayed)
    {
        const std::string dataCentre = dataCentreOfNode(relayed.dispatcher);
        if (isCut(dataCentre) && isAfterVerdict()) {
            ++m_outcome.relaysAcross;
        }
        if (isLost(dataCentre)) {
            return;
        }
        const auto event = std::ranges::find(out.events, ForwardEvent::Relayed, &ForwardEventRecord::event);
        REQUIRE(event != out.events.end());
        for (std::uint64_t target = 1 + below(m_random, 36), tries = 0; tries < 36; ++tries, target = target % 36 + 1) {
            if (!m_scenario.evacuated.contains(dataCentreOfTarget(target)) && !isCut(dataCentreOfTarget(target))) {
                answerOpening(event->flow, target);
                return;
            }
        }
    }

    void observe()
    {
        const Reachability &state = m_forwarder.table.reachability;
        if (state.unreachableCount > 0 && m_outcome.unreachableAt == never) {
            m_outcome.unreachableAt = m_now;
        }
        if (!isReadyForFlows(state) && m_notReadySince == never) {
            m_notReadySince = m_now;
            m_outcome.notReadyAt = std::min(m_outcome.notReadyAt, m_now);
        }
        if (isReadyForFlows(state) && m_notReadySince != never) {
            m_notReadySince = never;
            m_outcome.readyAgainAt = m_now;
        }
    }

    Scenario m_scenario;
    EdgeForwarder m_forwarder;
    Random m_random{7};
    Time m_now = 0;
    Time m_notReadySince = never;
    std::uint16_t m_nextPort = 1000;
    std::uint32_t m_keptSequence = 0;
    std::multimap<Time, Event> m_events;
    std::set<std::uint16_t> m_unopened; ///< flows that haven't opened, weren't refused and didn't move to another node
    Outcome m_outcome;
};

Outcome runScenario(const Scenario &scenario)
{
    return Region(scenario).run();
}

const std::set<std::string, std::less<>> others{"dc2", "dc3"};

} // namespace

// Guards against nodes that attract flows although they reach no target that may get them, and against nodes that stay away after
// the cut. Low traffic must not delay the decision much.
TEST_CASE("a node of an evacuated and cut data centre is not ready during the cut")
{
    for (const int rate : {1, 2, 8, 40, 400}) {
        CAPTURE(rate);
        Scenario scenario;
        scenario.evacuated = {"dc1"};
        scenario.cut = others;
        scenario.openingsPerSecond = rate;
        const Outcome outcome = runScenario(scenario);
        const Time firstOpening = rate < 8 ? second / rate : 0;
        CHECK(outcome.notReadyAt > cutAt);
        CHECK(outcome.notReadyAt <= cutAt + firstOpening + 1000 * millisecond);
        CHECK(outcome.readyAgainAt >= cutAt + scenario.cutTime);
        CHECK(outcome.readyAgainAt <= cutAt + scenario.cutTime + second);
        CHECK(outcome.relaysAcross == 0);

        scenario.enabled = false;
        const Outcome without = runScenario(scenario);
        MESSAGE("rate " << rate << ": not ready after " << (outcome.notReadyAt - cutAt) / millisecond << " ms, ready again after "
                        << (outcome.readyAgainAt - cutAt - scenario.cutTime) / millisecond << " ms, lost flows " << outcome.lost << ", without reachability "
                        << without.lost << ", pings " << outcome.pings);
        CHECK(without.notReadyAt == never);
        CHECK(without.pings == 0);
        CHECK(without.unreachableAt == never);
        CHECK(outcome.lost * 4 < without.lost);
    }
}

// Guards against refusing flows of a cut data centre that has targets of its own, and against offers and relayed openings to the
// others, each of which costs an answer timeout.
TEST_CASE("a cut data centre with targets of its own goes on alone")
{
    for (const int rate : {2, 40, 400}) {
        CAPTURE(rate);
        Scenario scenario;
        scenario.cut = others;
        scenario.openingsPerSecond = rate;
        const Outcome outcome = runScenario(scenario);
        CHECK(outcome.notReadyAt == never);
        CHECK(outcome.refused == 0);
        CHECK(outcome.lost == 0);
        // At 2 openings a second the first one that is relayed across may come later than a second after the cut.
        CHECK(outcome.relaysAcross <= (rate < 8 ? 4 : 0));
        // Single probes: one each 200 ms for each of the two data centres.
        CHECK(outcome.offersAcross <= 2 * (scenario.cutTime - second) / unreachableProbeInterval + 2);
    }
}

// Guards against verdicts on a data centre that answers, though not everything.
TEST_CASE("a lossy link, a dead target and silent nodes make no data centre unreachable")
{
    Scenario lossy;
    lossy.loss = 0.3;
    Scenario dead;
    dead.deadTarget = true;
    Scenario silentNodes;
    silentNodes.peersAnswer = false;
    silentNodes.deadTarget = true;
    for (Scenario scenario : {lossy, dead, silentNodes}) {
        for (const int rate : {8, 40, 400}) {
            CAPTURE(rate);
            if (!scenario.peersAnswer && rate < 40) {
                continue; // see the design note: openings to the dead target alone, and pings, leave nothing that answers
            }
            scenario.openingsPerSecond = rate;
            for (const bool evacuated : {false, true}) {
                scenario.evacuated = evacuated ? std::set<std::string, std::less<>>{"dc1"} : std::set<std::string, std::less<>>{};
                const Outcome outcome = runScenario(scenario);
                CHECK(outcome.unreachableAt == never);
                CHECK(outcome.notReadyAt == never);
            }
        }
    }
}

// Guards against moving kept flows to nodes that don't reach their targets, for the sake of fewer new flows.
TEST_CASE("a node stays ready when its kept flows outnumber the openings without a target")
{
    struct Row {
        int openings;
        int kept;
        bool ready;
    };
    const Row rows[] = {{10, 40, true}, {4, 20, true}, {40, 10, false}, {20, 0, false}};
    for (const Row &row : rows) {
        CAPTURE(row.openings);
        Scenario scenario;
        scenario.evacuated = {"dc1"};
        scenario.cut = others;
        scenario.openingsPerSecond = row.openings;
        scenario.keptRequestsPerSecond = row.kept;
        const Outcome outcome = runScenario(scenario);
        CHECK((outcome.notReadyAt == never) == row.ready);
        // Openings at a node that stays ready are refused at once, so that their callers may try again.
        CHECK((outcome.refused > 0) == row.ready);
    }
}

// Guards against a node that is cut off from everything and goes on to attract flows.
TEST_CASE("a node that reaches no data centre is not ready")
{
    Scenario scenario;
    scenario.cut = {"dc1", "dc2", "dc3"};
    const Outcome outcome = runScenario(scenario);
    CHECK(outcome.notReadyAt <= cutAt + second);
    CHECK(outcome.readyAgainAt >= cutAt + scenario.cutTime);
    CHECK(outcome.readyAgainAt <= cutAt + scenario.cutTime + second);
}

// Guards against a data centre without nodes that stays unreachable because nothing is sent there.
TEST_CASE("openings alone find a data centre unreachable and reachable again")
{
    Scenario scenario;
    scenario.cut = {"dc3"};
    scenario.peersAnswer = false;
    scenario.openingsPerSecond = 200;
    const Outcome outcome = runScenario(scenario);
    CHECK(outcome.unreachableAt <= cutAt + second);
    CHECK(outcome.notReadyAt == never);
}

// Guards against refusing flows whose retransmission another node could place, and against callers that wait for their timeout when
// the fabric goes on to send them here.
TEST_CASE("openings without a target are refused after the time in which the fabric moves them")
{
    Scenario scenario;
    scenario.evacuated = {"dc1"};
    scenario.cut = others;
    scenario.fabricSends = true;
    const Outcome outcome = runScenario(scenario);
    CHECK(outcome.firstRefusalAt >= outcome.notReadyAt + silentTime);
    CHECK(outcome.firstRefusalAt < outcome.notReadyAt + silentTime + 200 * millisecond);
    CHECK(outcome.readyAgainAt <= cutAt + scenario.cutTime + second);
}

// Guards against a dispatcher that refuses flows of other nodes at once, and against one that never tells them.
TEST_CASE("a dispatcher that reaches no target refuses a relayed opening after the silent time")
{
    for (const Time age : {Time{0}, silentTime - 1, silentTime}) {
        EdgeForwarder forwarder = makeForwarder(6, 0);
        enableReachability(forwarder.table, true);
        std::vector<Id> pings;
        recordRouteOpening(forwarder.table.reachability, shopAddress, second);
        for (std::uint64_t n = 0; n < 8; ++n) {
            recordAttempt(forwarder.table.reachability, "dc1", n, second + static_cast<Time>(n) * attemptSpacing);
        }
        Time now = second + unreachableSilence;
        CHECK(tickReachability(forwarder.table, now, pings));
        REQUIRE_FALSE(isReadyForFlows(forwarder.table.reachability));
        now += age;
        forwarder.table.reachability.dataCentres.at("dc1").nextOpeningProbeAt = now + 1;
        OpeningFlow flow;
        flow.key = makeKey(1);
        flow.openingPacket = "opening";
        flow.originNode = 7;
        ForwardOutput out;
        placeForPeer(forwarder, flow, now, out);
        CHECK(out.packets.empty());
        CHECK(out.refusedNotices.size() == (age == silentTime ? 1 : 0));
    }
}

// Guards against verdicts from fewer attempts, fewer peers or a shorter silence than the rule asks for.
TEST_CASE("a data centre is unreachable only with enough evidence")
{
    struct Row {
        std::uint64_t attempts;
        std::uint64_t peers;
        Time interval; ///< between attempts
        Time heardAt; ///< after the first attempt; never: not at all
        Time pausedAt; ///< end of a pause of the process, after the first attempt; never: none
        bool unreachable;
    };
    const Row rows[] = {
        {8, 3, 20 * millisecond, never, never, true},
        {8, 2, 20 * millisecond, never, never, false},
        {7, 7, 20 * millisecond, never, never, false},
        {8, 8, 5 * millisecond, never, never, false}, // closer than attemptSpacing, so that four are recorded
        {8, 8, 70 * millisecond, never, never, false}, // some are too old, others may still be answered
        {8, 8, 20 * millisecond, 10 * millisecond, never, false},
        {8, 8, 20 * millisecond, 300 * millisecond, never, false},
        {8, 8, 20 * millisecond, never, 300 * millisecond, false},
        {5'000, 7, millisecond / 10, never, never, true},
    };
    for (const Row &row : rows) {
        CAPTURE(&row - rows);
        Reachability state;
        state.enabled = true;
        const Time start = 10 * second;
        const Time end = start + unreachableSilence;
        for (std::uint64_t n = 0; n < row.attempts; ++n) {
            recordAttempt(state, "dc2", n % row.peers, start + static_cast<Time>(n) * row.interval);
        }
        if (row.heardAt != never) {
            recordHeard(state, "dc2", start + row.heardAt);
        }
        if (row.pausedAt != never) {
            restartEvidence(state, start + row.pausedAt);
        }
        std::vector<Id> pings;
        updateEvidence(state, end, pings);
        CHECK(isUnreachable(state, "dc2") == row.unreachable);
        CHECK(state.changed == row.unreachable);
    }
}

// Guards against pings to a data centre from which something is heard, and against pings that never end.
TEST_CASE("nodes are pinged only while a data centre is silent and owes an answer")
{
    Reachability state;
    state.enabled = true;
    setNodes(state, {{1, {"dc2", true}}, {2, {"dc2", true}}, {3, {"dc2", false}}, {4, {"dc3", false}}});
    recordHeard(state, "dc2", second);
    CHECK(nextEvidenceUpdate(state) == never);
    recordAttempt(state, "dc2", 100, second);
    recordAttempt(state, "dc3", 200, second);
    std::vector<Id> pings;
    updateEvidence(state, second + attemptAnswerTime, pings);
    CHECK(pings == std::vector<Id>{4}); // the only one known, though declared dead
    pings.clear();
    updateEvidence(state, second + pingAfterSilence, pings);
    std::ranges::sort(pings);
    REQUIRE(pings.size() == 2);
    CHECK(pings.front() != 3);
    recordHeardFromNode(state, 1, second + 2 * pingAfterSilence);
    recordHeardFromNode(state, 4, second + 2 * pingAfterSilence);
    CHECK(nextEvidenceUpdate(state) == never);
}

// Guards against a node that uses the part without being asked to.
TEST_CASE("reachability is on only with several data centres and a bound for evacuations")
{
    EdgeSettings settings;
    CHECK_FALSE(usesReachability(settings));
    settings.dataCentreCount = 3;
    CHECK_FALSE(usesReachability(settings));
    settings.evacuationBound = 5 * second;
    CHECK(usesReachability(settings));
    settings.dataCentreCount = 1;
    CHECK_FALSE(usesReachability(settings));
}

// Guards against targets that stay excluded, and nodes that stay not ready, when a reload turns reachability off.
TEST_CASE("turning reachability off ends all verdicts")
{
    EdgeForwarder forwarder = makeForwarder(6, 0);
    enableReachability(forwarder.table, true);
    for (std::uint64_t n = 0; n < 8; ++n) {
        recordAttempt(forwarder.table.reachability, "dc1", n, second + static_cast<Time>(n) * attemptSpacing);
    }
    recordRouteOpening(forwarder.table.reachability, shopAddress, second);
    std::vector<Id> pings;
    CHECK(tickReachability(forwarder.table, second + unreachableSilence, pings));
    CHECK_FALSE(isReadyForFlows(forwarder.table.reachability));
    enableReachability(forwarder.table, false);
    CHECK(isReadyForFlows(forwarder.table.reachability));
    CHECK(tickReachability(forwarder.table, 2 * second, pings));
    CHECK(nextReachabilityTick(forwarder.table.reachability) == never);
    recordAttempt(forwarder.table.reachability, "dc1", 1, 2 * second);
    CHECK(forwarder.table.reachability.dataCentres.empty());
}

// Guards against dispatchers that this node doesn't reach, each of which costs a flow two answer timeouts, and against relaying
// flows for which no target is left.
TEST_CASE("dispatchers in an unreachable data centre are skipped until it is reachable again")
{
    EdgeForwarder forwarder = makeForwarder(0, 0);
    for (std::uint64_t id = 1; id <= 40; ++id) {
        TargetRecord record = makeTarget(id, 10 + static_cast<std::int64_t>(id));
        record.dataCentre = id % 2 == 0 ? "dc1" : "dc2";
        record.slots = 50;
        applyTarget(forwarder.table, record, 0);
    }
    enableReachability(forwarder.table, true);
    std::unordered_map<Id, OtherNode> nodes;
    for (Id node = 100; node < 108; ++node) {
        nodes[node] = {node % 2 == 0 ? "dc1" : "dc2", true};
        forwarder.members.push_back({node, 1});
    }
    forwarder.members.push_back({200, 100 * second}); // a node that started later, so that all others may be dispatchers
    setNodes(forwarder.table.reachability, nodes);
    updateDispatchers(forwarder, 0);
    const auto countAcross = [&] {
        return std::ranges::count_if(forwarder.dispatchers.at("shop").dispatchers,
                                     [](const InstanceKey &it) { return it.instance >= 100 && it.instance % 2 == 1; });
    };
    const auto relays = [&](std::uint16_t firstPort, Time now) {
        ForwardOutput out;
        for (std::uint16_t port = firstPort; port < firstPort + 50; ++port) {
            handlePacket(forwarder, makeOpening(port), now, out);
        }
        return out.relayedOpenings.size();
    };
    REQUIRE(countAcross() == 4);
    forwarder.dispatcherMisses[101] = {2, never - 1};
    Time now = second;
    recordHeard(forwarder.table.reachability, "dc1", now);
    for (std::uint64_t n = 0; n < 8; ++n) {
        recordAttempt(forwarder.table.reachability, "dc2", n, now + static_cast<Time>(n) * attemptSpacing);
    }
    now += unreachableSilence;
    forwarder.lastRunAt = now;
    ForwardOutput cut;
    tickForwarder(forwarder, now, cut);
    REQUIRE(isUnreachable(forwarder.table.reachability, "dc2"));
    CHECK(countAcross() == 0);
    CHECK(relays(1, now) > 0);

    CHECK(replaceEvacuations(forwarder.table.evacuations, {50, {"dc1"}}));
    now += 150 * millisecond; // dc1 has been examined again
    tickForwarder(forwarder, now, cut);
    REQUIRE_FALSE(isReadyForFlows(forwarder.table.reachability));
    CHECK(relays(100, now) == 0);

    recordHeardFromNode(forwarder.table.reachability, 103, now);
    tickForwarder(forwarder, now, cut);
    CHECK(isReadyForFlows(forwarder.table.reachability));
    CHECK(countAcross() == 4);
    CHECK(forwarder.dispatcherMisses.empty());
}

// Guards against refusing a relayed opening because the service that was drawn is unreachable, although another one of the route
// may be drawn at the next attempt.
TEST_CASE("a route with a reachable service is not refused for its unreachable one")
{
    EdgeForwarder forwarder = makeForwarder(6, 0);
    EdgeRoute route = makeRoute(shopAddress, "shop");
    route.weightedServices.push_back({"second", 1});
    CHECK(applyConfig(forwarder.table, makeConfig(100, {route})));
    TargetRecord record = makeTarget(50, 101, "second");
    record.dataCentre = "dc2";
    applyTarget(forwarder.table, record, 0);
    enableReachability(forwarder.table, true);
    for (std::uint64_t n = 0; n < 8; ++n) {
        recordAttempt(forwarder.table.reachability, "dc1", n, second + static_cast<Time>(n) * attemptSpacing);
    }
    const Time now = second + unreachableSilence;
    std::vector<Id> pings;
    CHECK(tickReachability(forwarder.table, now, pings));
    forwarder.table.reachability.dataCentres.at("dc1").nextOpeningProbeAt = now + 1;
    ForwardOutput out;
    for (std::uint16_t port = 1; port <= 4; ++port) {
        OpeningFlow flow;
        flow.key = makeKey(port);
        flow.openingPacket = "opening";
        flow.originNode = 7;
        placeForPeer(forwarder, flow, now, out);
    }
    CHECK(out.refusedNotices.empty());
    CHECK_FALSE(out.packets.empty());
    CHECK(out.packets.size() < 4); // some draws were of the unreachable service
}
