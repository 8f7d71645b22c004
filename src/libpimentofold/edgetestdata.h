#pragma once

#include <string>

#include <pimentofold/edgeforward.h>

/// Sample routes, targets and packets for the tests of an edge node.
namespace pimentofold::testdata {

constexpr Address shopAddress{0xc6120001, 443};
constexpr Address otherAddress{0xc6120002, 443};

inline EdgeRoute makeRoute(const Address &address, const std::string &service)
{
    EdgeRoute route;
    route.name = "r-" + service;
    route.address = address;
    route.weightedServices = {{service, 1}};
    route.responseTimeGoal = 200 * millisecond;
    return route;
}

inline EdgeConfig makeConfig(std::int64_t revision, std::vector<EdgeRoute> routes)
{
    EdgeConfig config;
    config.revision = revision;
    config.version = revision;
    config.routes = std::move(routes);
    return config;
}

inline TargetRecord makeTarget(std::uint64_t id, std::int64_t revision, const std::string &service = "shop")
{
    TargetRecord record;
    record.id = id;
    record.name = "i-" + std::to_string(id);
    record.service = service;
    record.address = {0x0a000000 + static_cast<std::uint32_t>(id), 8080};
    record.dataCentre = "dc1";
    record.slots = 2;
    record.startedAt = 1;
    record.revision = revision;
    return record;
}

inline FlowKey makeKey(std::uint16_t port, const Address &service = shopAddress)
{
    return {{0x64400001, port}, service};
}

inline FlowPacket makeOpening(std::uint16_t port, Time openingAge = 0)
{
    FlowPacket packet;
    packet.flow = makeKey(port);
    packet.opens = true;
    packet.openingAge = openingAge;
    packet.bytes = "opening";
    return packet;
}

inline FlowPacket makeData(std::uint16_t port, FlowToken token)
{
    FlowPacket packet;
    packet.flow = makeKey(port);
    packet.token = token;
    packet.payloadBytes = 4;
    packet.bytes = "data";
    return packet;
}

/// @return an opening packet that another node relays
inline OpeningFlow makeOpeningFlow(std::uint16_t port, Id originNode, int attempt = 1)
{
    OpeningFlow flow;
    flow.key = makeKey(port);
    flow.openingPacket = "opening";
    flow.originNode = originNode;
    flow.attempt = attempt;
    return flow;
}

/// @return a forwarder with a route to the service "shop" and targets with the ids 1 to @p targets
inline EdgeForwarder makeForwarder(int targets, Time now)
{
    EdgeForwarder forwarder;
    forwarder.settings.initialAnswerTimeout = 50 * millisecond;
    forwarder.dispatcher.settings.dataCentre = "dc1";
    forwarder.self = {1, 1};
    forwarder.members = {forwarder.self};
    applyConfig(forwarder.table, makeConfig(10, {makeRoute(shopAddress, "shop")}));
    for (int n = 1; n <= targets; ++n) {
        applyTarget(forwarder.table, makeTarget(static_cast<std::uint64_t>(n), 10 + n), now);
    }
    setTargetHistoryStart(forwarder.table, 10 + targets);
    updateDispatchers(forwarder, now);
    return forwarder;
}

} // namespace pimentofold::testdata
