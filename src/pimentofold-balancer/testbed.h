#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <libnet/framedconnection.h>
#include <libnet/udpsocket.h>

#include <pimentofold-balancer/balancer.h>

/// Test doubles for targets, callers and the agent, which run in the test process together with real balancers on
/// loopback sockets.
namespace pimentofold::testbed {

/// Runs the event loop until @p condition holds. The test fails after 30 s.
template<typename Condition>
void runUntil(Condition condition)
{
    constexpr Time timeout = 30 * second;
    const Time start = monotonicNow();
    while (!condition()) {
        REQUIRE(monotonicNow() - start < timeout);
        ev_run(EV_DEFAULT, EVRUN_ONCE);
    }
}

constexpr const char *team = "foundation";
constexpr const char *secret = "a secret of at least sixteen bytes";

/// A target that keeps track of its flows and answers each request with the same content.
struct FakeTarget {
    std::string service;
    std::string instance;
    Address address;
    std::string answer = "answer"; ///< content of each answer
    std::int64_t incarnation = 1;
    bool draining = false; ///< refuses to open flows
    bool silent = false; ///< receives requests without answering them
    std::set<std::int64_t> flows; ///< open flows
    std::vector<wire::TargetFrame> frames; ///< all received frames, in order
    std::map<int, std::unique_ptr<FramedConnection>> connections; ///< by file descriptor
    std::unique_ptr<Listener> listener;
    Codec codec;
};

/// @return number of received frames of a kind
inline std::size_t frameCount(const FakeTarget &target, wire::FrameKind::type kind)
{
    return static_cast<std::size_t>(std::count_if(target.frames.begin(), target.frames.end(), [kind](const auto &it) { return it.kind == kind; }));
}

/// Opens the flow if the frame asks for it.
/// @return the outcome with which the target answers a frame
inline wire::Outcome::type outcomeFor(FakeTarget &target, const wire::TargetFrame &frame)
{
    const bool known = target.flows.contains(frame.flow);
    if (frame.kind == wire::FrameKind::Open && !known) {
        if (frame.onlyIfHeld) {
            return wire::Outcome::UnknownFlow;
        }
        if (target.draining) {
            return wire::Outcome::Draining;
        }
        target.flows.insert(frame.flow);
    } else if (frame.session && !known) {
        return wire::Outcome::UnknownFlow;
    }
    return wire::Outcome::Done;
}

/// Answers a frame as a real target does.
inline void reply(FakeTarget &target, FramedConnection &connection, const wire::TargetFrame &frame)
{
    static const std::map<wire::FrameKind::type, wire::FrameKind::type> kinds{{wire::FrameKind::Identify, wire::FrameKind::Identity},
                                                                              {wire::FrameKind::Open, wire::FrameKind::Opened},
                                                                              {wire::FrameKind::Request, wire::FrameKind::Answer},
                                                                              {wire::FrameKind::Close, wire::FrameKind::Closed},
                                                                              {wire::FrameKind::Subscribe, wire::FrameKind::Status}};
    const auto kind = kinds.find(frame.kind);
    if (kind == kinds.end() || (target.silent && frame.kind == wire::FrameKind::Request)) {
        return;
    }
    wire::TargetFrame out;
    out.kind = kind->second;
    out.call = frame.call;
    out.flow = frame.flow;
    out.request = frame.request;
    if (frame.kind == wire::FrameKind::Identify) {
        wire::TargetIdentity identity;
        identity.teamName = team;
        identity.serviceName = target.service;
        identity.instance = target.instance;
        identity.incarnation = target.incarnation;
        out.__set_identity(identity);
    } else if (frame.kind == wire::FrameKind::Subscribe) {
        out.__set_status({});
    } else {
        out.__set_outcome(outcomeFor(target, frame));
        out.total = static_cast<std::int64_t>(target.answer.size());
        out.entityTag = 7;
        if (frame.kind == wire::FrameKind::Request && out.outcome == wire::Outcome::Done) {
            out.__set_body(target.answer.substr(static_cast<std::size_t>(frame.offset), static_cast<std::size_t>(frame.limit)));
        }
    }
    connection.send(target.codec.encode(out));
}

/// Starts listening on the target's address.
inline void startTarget(FakeTarget &target)
{
    target.listener = std::make_unique<Listener>(target.address, [&target](int descriptor) {
        FramedConnection::Callbacks callbacks;
        callbacks.onFrame = [&target, descriptor](std::string_view payload) {
            wire::TargetFrame frame;
            target.codec.decode(payload, frame);
            target.frames.push_back(frame);
            reply(target, *target.connections.at(descriptor), frame);
        };
        callbacks.onClosed = [](const std::string &) {};
        target.connections[descriptor] = std::make_unique<FramedConnection>(descriptor, std::move(callbacks));
    });
}

/// A caller that stores all answers.
struct Caller {
    explicit Caller(const Address &local)
        : socket(local, [this](std::string_view bytes, const Address &) {
            wire::CallerPacket packet;
            codec.decode(bytes, packet);
            answers.push_back(packet);
        })
    {
    }

    /// Sends a packet and waits for the next answer.
    wire::CallerPacket sendAndWait(const wire::CallerPacket &packet, const Address &to)
    {
        const std::size_t before = answers.size();
        socket.send(codec.encode(packet), to);
        runUntil([&] { return answers.size() > before; });
        return answers.back();
    }

    Codec codec;
    std::vector<wire::CallerPacket> answers;
    UdpSocket socket;
};

/// A balancer, together with the agent's end of the local connection to it.
struct Node {
    explicit Node(const BalancerSettings &settings)
        : balancer(std::make_unique<Balancer>(settings))
    {
        FramedConnection::Callbacks callbacks;
        callbacks.onFrame = [this](std::string_view payload) {
            lastMessage = {};
            codec.decode(payload, lastMessage);
            ++reportCount;
        };
        callbacks.onClosed = [](const std::string &) {};
        agent = std::make_unique<FramedConnection>(settings.viewAddress, std::move(callbacks));
        runUntil([this] { return reportCount > 0; });
    }

    /// Sends a view to the balancer, as its agent does.
    void sendView(const wire::NodeView &view)
    {
        wire::LocalMessage message;
        message.__set_view(view);
        agent->send(codec.encode(message));
    }

    /// Waits until the balancer reports that a view is in force and its targets are connected.
    /// @param reachable number of targets that must be reachable
    void waitForView(const wire::NodeView &view, std::size_t reachable)
    {
        runUntil([&] {
            const auto n = std::count_if(lastMessage.report.targets.begin(), lastMessage.report.targets.end(), [](const auto &it) { return it.reachable; });
            return lastMessage.report.generationInForce == view.generation && static_cast<std::size_t>(n) == reachable;
        });
    }

    Codec codec;
    std::unique_ptr<Balancer> balancer;
    std::unique_ptr<FramedConnection> agent;
    wire::LocalMessage lastMessage; ///< last message from the balancer, with its report
    std::size_t reportCount = 0;
};

/// @return the instance key of a node's balancer, from its last report
inline InstanceKey instanceKeyOf(const Node &node)
{
    return {node.lastMessage.report.instance.instance, node.lastMessage.report.instance.incarnation};
}

/// @return settings of a balancer with all its addresses on @p ip
inline BalancerSettings makeSettings(const std::string &ip)
{
    BalancerSettings settings;
    settings.node = "node-" + ip;
    settings.dataCentre = "dc1";
    settings.team = team;
    settings.ip = ip;
    settings.peerAddress = parseAddress(ip + ":21000");
    settings.viewAddress = parseAddress(ip + ":21001");
    settings.metricsAddress = parseAddress(ip + ":21002");
    settings.peerSecrets = {secret};
    settings.drainLimit = 2 * second;
    return settings;
}

/// @return a view with a token key of the team and nothing else
inline wire::NodeView emptyView(std::int64_t generation)
{
    wire::NodeView view;
    view.generation = generation;
    view.dataCentre = "dc1";
    wire::KeyView key;
    key.teamId = idOf(team);
    key.epoch = 1;
    key.secret = std::string(32, 'k');
    view.keys.push_back(key);
    return view;
}

inline void addService(wire::NodeView &view, const std::string &service, int port, bool session)
{
    wire::ServiceView entry;
    entry.id = idOf(team, service);
    entry.teamName = team;
    entry.serviceName = service;
    entry.teamId = idOf(team);
    entry.port = port;
    entry.session = session;
    entry.ceilingShare = 1;
    entry.defaultDeadlineMs = 20'000;
    view.services.push_back(entry);
}

inline void addTarget(wire::NodeView &view, const FakeTarget &target)
{
    wire::TargetView entry;
    entry.id = idOf(team, target.service, target.instance);
    entry.serviceId = idOf(team, target.service);
    entry.instance = target.instance;
    entry.address = toString(target.address);
    entry.state = wire::TargetState::Serving;
    entry.slots = 2;
    view.targets.push_back(entry);
}

inline void addMember(wire::NodeView &view, const Node &node, const BalancerSettings &settings)
{
    wire::MemberView entry;
    entry.key = node.lastMessage.report.instance;
    entry.state = wire::MemberState::Alive;
    entry.address = toString(settings.peerAddress);
    entry.dataCentre = "dc1";
    view.members.push_back(entry);
}

inline wire::CallerPacket makePacket(wire::PacketKind::type kind, std::int64_t flow, std::int64_t request = 0)
{
    wire::CallerPacket packet;
    packet.kind = kind;
    packet.flow = flow;
    packet.request = request;
    return packet;
}

} // namespace pimentofold::testbed
