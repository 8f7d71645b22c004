#include <testsupport/lossworld.h>

#include <libpimentofold/edgetestdata.h>
#include <testsupport/lossworldparts.h>

namespace pimentofold::testsupport {

namespace {

/// Further targets of the owners. They make progress, and their flows' callers are answered.
constexpr std::uint64_t otherTargets = 10;
constexpr std::uint16_t firstOtherPort = 5000;
constexpr std::uint16_t endOfOtherPorts = firstOtherPort + 16; // of two callers, enough answers for two overdue requests of each

LossFlow makeFlow(std::size_t index)
{
    LossFlow flow;
    const std::uint32_t caller = firstCallerIp + (index == 0 ? 0 : 1);
    flow.unsafe = index == 2;
    flow.key = {{caller, static_cast<std::uint16_t>(1 + index)}, flow.unsafe ? testdata::otherAddress : testdata::shopAddress};
    flow.node = (index + 1) % lossNodes;
    return flow;
}

void applyRoutes(EdgeForwarder &forwarder, LossDefect defect)
{
    EdgeRoute safe = testdata::makeRoute(testdata::shopAddress, "shop");
    EdgeRoute unsafe = testdata::makeRoute(testdata::otherAddress, "shop");
    safe.type = RouteType::Safe;
    unsafe.type = defect == LossDefect::UnsafeAsSafe ? RouteType::Safe : RouteType::Unsafe;
    applyConfig(forwarder.table, testdata::makeConfig(100, {safe, unsafe}));
    for (const Address &route : {testdata::shopAddress, testdata::otherAddress}) {
        forwarder.targetLoss.secondRequestAt[route] = lossStart;
    }
}

/// Idle flows of the two callers to other targets.
void addOtherFlows(EdgeForwarder &forwarder)
{
    for (std::uint64_t id = judgedTarget + 1; id <= judgedTarget + otherTargets; ++id) {
        applyTarget(forwarder.table, testdata::makeTarget(id, 100 + static_cast<std::int64_t>(id), "other"), 0);
    }
    for (std::uint16_t port = firstOtherPort; port < endOfOtherPorts; ++port) {
        PlacedFlow &other = forwarder.dispatcher.placedFlows[{{firstCallerIp + port % 2, port}, testdata::shopAddress}];
        other.target = judgedTarget + 1;
        other.load = FlowLoad::Idle;
        other.answeredAt = lossStart;
        other.loadChangedAt = lossStart;
    }
}

std::shared_ptr<EdgeForwarder> makeNode(std::size_t node, LossDefect defect)
{
    auto forwarder = std::make_shared<EdgeForwarder>(testdata::makeForwarder(1, 0));
    applyRoutes(*forwarder, defect);
    addOtherFlows(*forwarder);
    forwarder->self = {idOfNode(node), 1};
    forwarder->settings.localDispatch = true;
    forwarder->nextSweepAt = never;
    forwarder->targetLoss.settings.enabled = true;
    findTarget(forwarder->table, judgedTarget)->owner = node == 0 ? 0 : idOfNode(0);
    updateOwnership(*forwarder, 0);
    LossVerdicts &verdicts = forwarder->targetLoss.verdicts;
    recordStoreContact(verdicts, true, lossStart, 0);
    if (defect == LossDefect::OneReport) {
        verdicts.settings.minPoints = 1;
    } else if (defect == LossDefect::ManyPoints) {
        verdicts.settings.minPoints = 9;
    }
    return forwarder;
}

/// Each flow has had a request and its answer at its node, so that it is known there as an idle one.
void openFlows(LossWorld &world)
{
    const Time now = lossStart - second;
    for (LossFlow &flow : world.flows) {
        for (const std::uint16_t payload : {requestBytes, std::uint16_t{0}}) {
            ForwardOutput out;
            handlePacket(editNode(world, flow.node), makePacket(flow, payload), now, out);
            for (const FlowNotice &it : out.flowNotices) {
                EdgeForwarder &owner = editNode(world, 0);
                handleFlowNotice(owner.dispatcher, owner.table, it, now, out);
            }
            flow.sequence += payload;
            flow.acknowledgement += payload > 0 ? answerBytes : 0;
        }
    }
}

} // namespace

LossWorld makeLossWorld(const LossModelOptions &options)
{
    LossWorld world;
    world.silent = options.silent;
    for (std::size_t n = 0; n < lossNodes; ++n) {
        world.nodes[n] = makeNode(n, options.defect);
        world.flows.push_back(makeFlow(n));
    }
    openFlows(world);
    for (std::size_t index = 0; index < world.flows.size(); ++index) {
        scheduleFlow(world, LossEventKind::RequestStarts, options.firstRequestAt[index], index);
    }
    schedule(world, {});
    return world;
}

} // namespace pimentofold::testsupport
