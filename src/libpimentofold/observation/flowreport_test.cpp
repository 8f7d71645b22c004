#include <pimentofold/flowreport.h>

#include <doctest/doctest.h>

using namespace pimentofold;

namespace {

Timeline parseTimeline(std::initializer_list<const char *> lines)
{
    Timeline timeline;
    for (const char *it : lines) {
        addLine(timeline, it);
    }
    sortEvents(timeline);
    return timeline;
}

} // namespace

// Guards against a flow report that doesn't lead the operator from a failed request to its cause, as the operations page
// promises. The event lines are from recorded runs.
TEST_CASE("the report of a flow names how it ended and why")
{
    const Timeline all = parseTimeline({
        "  13.81 front-meiringen-1 time=1769247365813 hlc=1 node=front-meiringen-1 event=no_target flow=100.66.0.26:1152>198.18.0.2:8443 attempts=1 config=2",
        "time=1769247365813 hlc=2 node=front-meiringen-1 event=flow_refused flow=100.66.0.26:1152>198.18.0.2:8443 config=2",
        "time=1769247365900 hlc=3 node=front-thun-1 event=no_route flow=100.66.0.26:11521>198.18.0.9:8443 config=2",
        "time=1767977470700 hlc=10 node=front-attica-b-6 event=started data_centre=attica-b",
        "time=1767977470937 hlc=11 node=front-attica-a-3 event=flow_relayed flow=100.66.0.14:1372>198.18.0.1:8443 attempts=1 node=9989e143311b1baf",
        "time=1767977470938 hlc=12 node=front-attica-b-6 event=flow_waiting flow=100.66.0.14:1372>198.18.0.1:8443 attempts=1",
        "time=1767977470975 hlc=13 node=front-attica-a-3 event=flow_placed flow=100.66.0.14:1372>198.18.0.1:8443 target=i-6abe838c3a load=3",
        "time=1767977471263 hlc=14 node=front-attica-c-1 event=flow_ended flow=100.66.0.14:1372>198.18.0.1:8443 target=i-6abe838c3a",
        "time=1767977471300 hlc=15 node=front-attica-c-1 event=target_removed target=i-other revision=9",
        "time=1789136495564 hlc=21 node=front-frutigen-7 event=flow_relayed flow=100.65.0.17:1049>198.18.0.1:8080 attempts=1 node=cff154e61a9a45fa",
        "time=1789136495573 hlc=22 node=front-frutigen-7 event=flow_opened flow=100.65.0.17:1049>198.18.0.1:8080 target=i-35fedc4edd attempts=1",
        "time=1789136497259 hlc=23 node=front-thun-1 event=target_removed target=i-35fedc4edd revision=23",
    });
    CHECK(all.brokenLines == 0);
    struct Row {
        const char *caller;
        std::size_t events;
        const char *outcome;
    };
    const Row rows[] = {
        {"100.66.0.26:1152", 2, "refused: no target of the service takes new flows; the request hasn't run"},
        {"100.66.0.26:11521", 1, "dropped: the configuration has no route for the address; the request hasn't run"},
        {"100.66.0.14:1372", 5, "ended at target i-6abe838c3a after it had waited 37 ms for free capacity; from the first offer to the end 288 ms"},
        {"100.65.0.17:1049", 3, "cut: target i-35fedc4edd was lost 1686 ms after the flow had opened; the request may have run"},
        {"100.65.0.17:104", 0, "no event shows how the flow ended"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.caller);
        const Timeline flow = eventsOfFlow(all, row.caller);
        CHECK(flow.events.size() == row.events);
        CHECK(flowOutcome(flow) == row.outcome);
    }
}

// Guards against outcomes that say more than the events show.
TEST_CASE("the report of a flow with missing events")
{
    const char *const placed = "time=1 hlc=1 node=a event=flow_placed flow=1.1.1.1:5>2.2.2.2:80 target=i-1 load=1";
    const char *const again = "time=9 hlc=2 node=a event=flow_offered_again flow=1.1.1.1:5>2.2.2.2:80 target=i-2 load=1";
    const char *const waiting = "time=9 hlc=3 node=a event=flow_waiting flow=1.1.1.1:5>2.2.2.2:80";
    const char *const opened = "time=20 hlc=4 node=a event=flow_opened flow=1.1.1.1:5>2.2.2.2:80 target=i-2";
    const char *const ended = "time=30 hlc=5 node=a event=flow_ended flow=1.1.1.1:5>2.2.2.2:80 target=i-2";
    CHECK(flowOutcome(parseTimeline({placed, again})).starts_with("never opened"));
    CHECK(flowOutcome(parseTimeline({waiting})).starts_with("given up"));
    CHECK(flowOutcome(parseTimeline({placed, opened})).starts_with("open at target i-2"));
    CHECK(flowOutcome(parseTimeline({placed, again, opened, ended}))
          == "ended at target i-2 after an earlier target had given no answer; from the first offer to the end 29 ms");
}

// Guards against a failed request whose cause can't be found: from its flow the steps have to lead to the verdict on its target and to
// the evidence, whichever nodes have logged them. The lines have the fields that edge nodes log.
TEST_CASE("the steps of a flow lead to the verdict on its target")
{
    const Timeline all = parseTimeline({
        "time=1000 hlc=10 node=dc1-e1 event=flow_relayed flow=100.66.0.14:1372>198.18.0.1:8443 target=none attempts=1 node=e22a04c1e0922e4b config=2",
        "time=1001 hlc=11 node=dc1-e2 event=flow_placed flow=100.66.0.14:1372>198.18.0.1:8443 target=i-1 attempts=1 load=3 node=0",
        "time=1003 hlc=12 node=dc1-e1 event=flow_opened flow=100.66.0.14:1372>198.18.0.1:8443 target=i-1 attempts=1 node=0",
        "time=5250 hlc=20 node=dc1-e3 event=target_suspected target=i-1 flow=none reason=none stalled_flows=1 reporting_nodes=0",
        "time=5260 hlc=21 node=dc1-e3 event=target_suspected target=i-2 flow=none reason=none stalled_flows=1 reporting_nodes=0",
        "time=5700 hlc=22 node=dc1-e3 event=target_lost target=i-1 flow=none reason=none stalled_flows=4 reporting_nodes=2",
        "time=5752 hlc=23 node=dc1-e1 event=flow_reset target=i-1 flow=100.66.0.14:1372>198.18.0.1:8443 reason=working stalled_flows=0 reporting_nodes=0",
        "time=5800 hlc=24 node=dc1-e1 event=flow_reset target=i-1 flow=100.66.0.14:1373>198.18.0.1:8443 reason=idle stalled_flows=0 reporting_nodes=0",
        "time=9000 hlc=30 node=dc1-e3 event=target_lost target=i-3 flow=none reason=none stalled_flows=0 reporting_nodes=0",
        "time=9300 hlc=31 node=dc1-e1 event=flow_reset target=i-3 flow=100.66.0.14:1374>198.18.0.1:8443 reason=idle stalled_flows=0 reporting_nodes=0",
        "time=9400 hlc=32 node=dc1-e2 event=flow_refused flow=100.66.0.14:1375>198.18.0.1:8443 target=none reason=no_time",
    });
    REQUIRE(all.brokenLines == 0);
    const std::vector<std::string> expected{
        "0 ms dc1-e1: received, and passed to the dispatcher dc1-e2",
        "1 ms dc1-e2: placed on target i-1, which had 3 flows at work",
        "3 ms dc1-e1: opened at target i-1",
        "4250 ms dc1-e3: target i-1 is suspected: 1 stalled flows",
        "4700 ms dc1-e3: target i-1 is declared lost: 4 stalled flows, reported by 2 nodes",
        "4752 ms dc1-e1: reset, since target i-1 is lost (working)",
    };
    CHECK(flowSteps(eventsOfFlow(all, "100.66.0.14:1372>198.18.0.1:8443")) == expected);
    CHECK(flowSteps(eventsOfFlow(all, "100.66.0.14:1372")) == expected);
    CHECK(eventsOfFlow(all, "100.66.0.14:1372>198.18.0.1:844").events.empty());
    struct Row {
        const char *id;
        const char *outcome;
    };
    const Row rows[] = {
        {"100.66.0.14:1372",
         "reset by dc1-e1: target i-1 was declared lost by dc1-e3 52 ms before, on 4 stalled flows that 2 nodes had reported; the request may have run"},
        {"100.66.0.14:1373",
         "reset by dc1-e1: target i-1 was declared lost by dc1-e3 100 ms before, on 4 stalled flows that 2 nodes had reported; no request was in progress"},
        {"100.66.0.14:1374", "reset by dc1-e1: target i-3 was declared lost by dc1-e3 300 ms before, since its entry was gone; no request was in progress"},
        {"100.66.0.14:1375", "refused: no_time; the request hasn't run"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.id);
        CHECK(flowOutcome(eventsOfFlow(all, row.id)) == row.outcome);
    }
}
