#include <algorithm>

#include <pimentofold-balancer/testbed.h>

#include <pimentofold/view.h>

using namespace pimentofold;
using namespace pimentofold::testbed;

namespace {

constexpr int lookupPort = 21010;

/// Four balancers and one target of a service with sessions.
struct Fleet {
    Fleet()
    {
        target.service = "lookup";
        target.instance = "t1";
        target.address = parseAddress("127.10.2.1:21020");
        startTarget(target);
        view = emptyView(1);
        addService(view, "lookup", lookupPort, true);
        addTarget(view, target);
        for (int i = 0; i < 4; ++i) {
            const BalancerSettings settings = makeSettings("127.10.1." + std::to_string(i + 1));
            nodes.push_back(std::make_unique<Node>(settings));
            addMember(view, *nodes.back(), settings);
        }
        distributeView();
    }

    /// Sends the view to all running balancers and waits until it is in force.
    void distributeView()
    {
        for (const auto &it : nodes) {
            if (it->balancer) {
                it->sendView(view);
                it->waitForView(view, 1);
            }
        }
    }

    /// Stops a balancer gracefully and removes it from the view of the others.
    void stop(Node &node)
    {
        const InstanceKey key = instanceKeyOf(node);
        node.balancer->stop();
        runLoop(); // ends when the stop is complete
        node.balancer.reset();
        std::erase_if(view.members, [&key](const wire::MemberView &it) { return it.key.instance == key.instance; });
        ++view.generation;
        distributeView();
    }

    FakeTarget target;
    std::vector<std::unique_ptr<Node>> nodes;
    wire::NodeView view;
    Caller caller{parseAddress("127.10.3.1:21030")};
};

/// @return a flow for which @p witness is chosen as the witness when @p home is the home
std::int64_t flowWithWitness(const Fleet &fleet, const InstanceKey &home, const InstanceKey &witness)
{
    const View view = parseView(fleet.view);
    std::int64_t flow = 1;
    while (chooseWitness(view, home, flow) != witness) {
        ++flow;
    }
    return flow;
}

} // namespace

// Guards against MayHaveRun answers after the home and then the witness of a request were stopped gracefully: both hand
// over their records, so that their successor can report the exact outcome.
TEST_CASE("the successor answers for a stopped home and witness")
{
    Fleet fleet;
    const std::int64_t flow = flowWithWitness(fleet, instanceKeyOf(*fleet.nodes[0]), instanceKeyOf(*fleet.nodes[1]));
    wire::CallerPacket open = makePacket(wire::PacketKind::Open, flow);
    open.wantsToken = true;
    const wire::CallerPacket opened = fleet.caller.sendAndWait(open, parseAddress("127.10.1.1:21010"));
    wire::CallerPacket request = makePacket(wire::PacketKind::Request, flow, 1);
    request.repeatable = false;
    request.__set_token(opened.token);
    REQUIRE(fleet.caller.sendAndWait(request, parseAddress("127.10.1.1:21010")).verdict == wire::Verdict::Ran);
    fleet.stop(*fleet.nodes[0]);
    fleet.stop(*fleet.nodes[1]);
    const std::size_t runs = frameCount(fleet.target, wire::FrameKind::Request);
    for (const char *address : {"127.10.1.3:21010", "127.10.1.4:21010"}) {
        CAPTURE(address);
        request.request = 1;
        request.__set_token(opened.token);
        CHECK(fleet.caller.sendAndWait(request, parseAddress(address)).verdict == wire::Verdict::Ran);
        request.request = 2;
        const wire::CallerPacket refused = fleet.caller.sendAndWait(request, parseAddress(address));
        CHECK(refused.verdict == wire::Verdict::NotRun);
        CHECK(refused.__isset.token);
    }
    CHECK(frameCount(fleet.target, wire::FrameKind::Request) == runs);
}
