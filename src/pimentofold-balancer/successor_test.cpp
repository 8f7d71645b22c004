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
        start(target);
        view = emptyView(1);
        addService(view, "lookup", lookupPort, true);
        addTarget(view, target);
        for (int i = 0; i < 4; ++i) {
            const BalancerSettings settings = settingsOf("127.10.1." + std::to_string(i + 1));
            nodes.push_back(std::make_unique<Node>(settings));
            addMember(view, *nodes.back(), settings);
        }
        push();
    }

    void push()
    {
        for (const auto &it : nodes) {
            if (it->balancer) {
                it->push(view);
                it->settle(view, 1);
            }
        }
    }

    /// Stops a balancer as planned and takes it out of the others' views.
    void stop(Node &node)
    {
        const InstanceKey key = keyOf(node);
        node.balancer->stop();
        runLoop(); // ends when the stop is complete
        node.balancer.reset();
        std::erase_if(view.members, [&key](const wire::MemberView &it) { return it.key.instance == key.instance; });
        ++view.generation;
        push();
    }

    FakeTarget target;
    std::vector<std::unique_ptr<Node>> nodes;
    wire::NodeView view;
    Caller caller{parseAddress("127.10.3.1:21030")};
};

/// @return a flow whose witness is the given balancer when the home is another given one
std::int64_t flowWithPair(const Fleet &fleet, const InstanceKey &home, const InstanceKey &witness)
{
    const View view = parseView(fleet.view);
    std::int64_t flow = 1;
    while (chooseWitness(view, home, flow) != witness) {
        ++flow;
    }
    return flow;
}

} // namespace

// Guards against requests reported as MayHaveRun, although their home and then their witness stopped as planned and
// handed over all records.
TEST_CASE("the successor of a stopped pair answers for it")
{
    Fleet fleet;
    const std::int64_t flow = flowWithPair(fleet, keyOf(*fleet.nodes[0]), keyOf(*fleet.nodes[1]));
    wire::CallerPacket open = packetOf(wire::PacketKind::Open, flow);
    open.wantsToken = true;
    const wire::CallerPacket opened = fleet.caller.ask(open, parseAddress("127.10.1.1:21010"));
    wire::CallerPacket request = packetOf(wire::PacketKind::Request, flow, 1);
    request.repeatable = false;
    request.__set_token(opened.token);
    REQUIRE(fleet.caller.ask(request, parseAddress("127.10.1.1:21010")).verdict == wire::Verdict::Ran);
    fleet.stop(*fleet.nodes[0]);
    fleet.stop(*fleet.nodes[1]);
    const std::size_t runs = countOf(fleet.target, wire::FrameKind::Request);
    for (const char *address : {"127.10.1.3:21010", "127.10.1.4:21010"}) {
        CAPTURE(address);
        request.request = 1;
        request.__set_token(opened.token);
        CHECK(fleet.caller.ask(request, parseAddress(address)).verdict == wire::Verdict::Ran);
        request.request = 2;
        const wire::CallerPacket refused = fleet.caller.ask(request, parseAddress(address));
        CHECK(refused.verdict == wire::Verdict::NotRun);
        CHECK(refused.__isset.token);
    }
    CHECK(countOf(fleet.target, wire::FrameKind::Request) == runs);
}
