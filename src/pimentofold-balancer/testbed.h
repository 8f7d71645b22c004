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

/// A target, a caller and an agent within one test process, around a real balancer on loopback sockets.
namespace pimentofold::testbed {

/// Runs the loop until the condition holds; fails the test after a generous bound.
template<typename Condition>
void runUntil(Condition condition)
{
    constexpr Time bound = 30 * second;
    const Time start = monotonicNow();
    while (!condition()) {
        REQUIRE(monotonicNow() - start < bound);
        ev_run(EV_DEFAULT, EVRUN_ONCE);
    }
}

constexpr const char *team = "foundation";
constexpr const char *secret = "a secret of at least sixteen bytes";

struct FakeTarget {
    std::string service;
    std::string instance;
    Address address;
    std::string answer = "answer"; ///< content of each answer
    std::int64_t incarnation = 1;
    bool draining = false;
    bool silent = false; ///< takes requests and doesn't answer
    std::set<std::int64_t> flows;
    std::vector<wire::TargetFrame> frames; ///< received, in order
    std::map<int, std::unique_ptr<FramedConnection>> connections;
    std::unique_ptr<Listener> listener;
    Codec codec;
};

inline std::size_t countOf(const FakeTarget &target, wire::FrameKind::type kind)
{
    return static_cast<std::size_t>(std::count_if(target.frames.begin(), target.frames.end(), [kind](const auto &it) { return it.kind == kind; }));
}

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

inline void start(FakeTarget &target)
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

/// A caller that keeps all answers.
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
    wire::CallerPacket ask(const wire::CallerPacket &packet, const Address &to)
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

/// A balancer with the agent's end of its local connection.
struct Node {
    explicit Node(const BalancerSettings &settings)
        : balancer(std::make_unique<Balancer>(settings))
    {
        FramedConnection::Callbacks callbacks;
        callbacks.onFrame = [this](std::string_view payload) {
            last = {};
            codec.decode(payload, last);
            ++reports;
        };
        callbacks.onClosed = [](const std::string &) {};
        agent = std::make_unique<FramedConnection>(settings.viewAddress, std::move(callbacks));
        runUntil([this] { return reports > 0; });
    }

    void push(const wire::NodeView &view)
    {
        wire::LocalMessage message;
        message.__set_view(view);
        agent->send(codec.encode(message));
    }

    /// Waits until the view is in force and all its targets that should be reachable are.
    void settle(const wire::NodeView &view, std::size_t reachable)
    {
        runUntil([&] {
            const auto n = std::count_if(last.report.targets.begin(), last.report.targets.end(), [](const auto &it) { return it.reachable; });
            return last.report.generationInForce == view.generation && static_cast<std::size_t>(n) == reachable;
        });
    }

    Codec codec;
    std::unique_ptr<Balancer> balancer;
    std::unique_ptr<FramedConnection> agent;
    wire::LocalMessage last;
    std::size_t reports = 0;
};

/// @return the key under which a balancer runs
inline InstanceKey keyOf(const Node &node)
{
    return {node.last.report.instance.instance, node.last.report.instance.incarnation};
}

inline BalancerSettings settingsOf(const std::string &ip)
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
    entry.key = node.last.report.instance;
    entry.state = wire::MemberState::Alive;
    entry.address = toString(settings.peerAddress);
    entry.dataCentre = "dc1";
    view.members.push_back(entry);
}

inline wire::CallerPacket packetOf(wire::PacketKind::type kind, std::int64_t flow, std::int64_t request = 0)
{
    wire::CallerPacket packet;
    packet.kind = kind;
    packet.flow = flow;
    packet.request = request;
    return packet;
}

} // namespace pimentofold::testbed
