#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <doctest/doctest.h>

#include <libpimentofold/edgetestdata.h>
#include <pimentofold/evacuation/evacuationstate.h>
#include <pimentofold/reachability/reachability.h>

/// Simulation on virtual time of one node whose data centre is cut off from others, for the tests of reachability.
namespace pimentofold::reachabilitysim {

using namespace testdata;

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

inline Outcome runScenario(const Scenario &scenario)
{
    return Region(scenario).run();
}

inline const std::set<std::string, std::less<>> others{"dc2", "dc3"};

} // namespace pimentofold::reachabilitysim
