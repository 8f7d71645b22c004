#include <doctest/doctest.h>

#include <libpimentofold/flowlocation/locationfleet.h>
#include <pimentofold/flowlocation/flowretention.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

// Guards against nodes that forget flows which callers may still use: the retention was a constant, whatever the configuration said.
TEST_CASE("retention follows the idle timeout of the configuration, up to the greatest age of a flow")
{
    struct Row {
        Time idleTimeout;
        Time maxFlowAge;
        Time minFlowRetention;
        Time maxFlowRetention;
        Time minLocationRetention;
    };
    const Row rows[] = {
        {0, 0, 15 * second, 15 * second, minute},
        {millisecond, 0, 15 * second, 15 * second, minute},
        {30 * second, minute, 30 * second, 35 * second, minute},
        {30 * second, 0, 30 * second, 35 * second, minute + 30 * second},
        {10 * minute, minute, minute, minute, minute},
        {10 * minute, 0, 10 * minute, 11 * minute, 11 * minute},
        {10 * second, 5 * second, 11 * second, 15 * second, 5 * second},
    };
    for (const Row &row : rows) {
        CAPTURE(row.idleTimeout);
        CAPTURE(row.maxFlowAge);
        FlowRetentionSettings settings;
        settings.maxFlowAge = row.maxFlowAge;
        CHECK(flowRetention(settings, row.idleTimeout) >= row.minFlowRetention);
        CHECK(flowRetention(settings, row.idleTimeout) <= row.maxFlowRetention);
        CHECK(locationRetention(settings, row.idleTimeout) >= row.minLocationRetention);
    }
}

// Guards against an idle flow's packet that goes to the wrong target because its node, or the nodes that this one asks, have forgotten it.
TEST_CASE("the packet of a flow that was idle for nearly the idle timeout goes to the flow's target")
{
    for (const Time idleTimeout : {5 * second, 15 * second, 22 * second, 30 * second, 50 * second}) {
        for (const Id receiver : {Id(1), Id(4)}) {
            CAPTURE(idleTimeout);
            CAPTURE(receiver);
            Fleet fleet;
            for (auto &[id, node] : fleet.nodes) {
                node.table.idleTimeout = idleTimeout;
                node.settings.retention.maxFlowAge = minute;
                updateDispatchers(node, 0);
            }
            const auto [wrong, right] = openAtSecondTarget(fleet, 1, 7, 0);
            const Time last = idleTimeout - millisecond;
            for (Time now = second; now < last; now += second) {
                for (Id id = 1; id <= nodeCount; ++id) {
                    fleet.tick(id, now);
                }
            }
            fleet.receive(receiver, makeData(7, tokenOf(wrong)), last);
            fleet.tick(receiver, last + fleet.nodes[receiver].locations.settings.answerTimeout);
            CHECK(fleet.lastTarget() == right);
        }
    }
}

// Guards against verdicts on lost targets that don't reach nodes which still remember flows of the target.
TEST_CASE("an owner takes nodes for holders of flows for as long as they remember flows")
{
    for (const Time idleTimeout : {Time(0), 30 * second, 10 * minute}) {
        CAPTURE(idleTimeout);
        EdgeForwarder forwarder = makeForwarder(2, 0);
        forwarder.table.idleTimeout = idleTimeout;
        updateDispatchers(forwarder, second);
        const HolderSettings &holders = forwarder.targetLoss.holders.settings;
        CHECK(holders.minOwnership >= forwarder.flowRetention);
        CHECK(holders.memory > forwarder.flowRetention);
    }
}
