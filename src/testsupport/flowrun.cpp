#include <testsupport/flowrun.h>

#include <algorithm>
#include <array>

namespace pimentofold::testsupport {

namespace {

constexpr Time step = 10 * millisecond;
constexpr Time leavingLimit = 2 * second;
/// The two services belong to different teams.
const std::array<std::string, 2> teamNames{"foundation", "shop"};
const std::array<std::string, 2> serviceNames{"lookup", "booking"};

struct FlowWorld {
    FlowRunOptions options;
    Random random;
    Time now = 0;
    std::vector<FlowServer> servers; ///< also ended ones
    std::vector<FlowBalancer> balancers;
    std::vector<FlowOfCaller> flows;
    int epoch = 1;
    int addresses = 0;
    FlowRunCounts counts;
};

[[noreturn]] void fail(const FlowWorld &world, const std::string &invariant, const std::string &text)
{
    const std::string at = " at " + std::to_string(world.now / millisecond) + " ms (seed " + std::to_string(world.options.seed) + ")";
    throw InvariantFailure(invariant, invariant + ": " + text + at);
}

Id serviceId(int service)
{
    return idOf(teamNames.at(service), serviceNames.at(service));
}

Id targetId(const FlowServer &server)
{
    return idOf(teamNames.at(server.service), serviceNames.at(server.service), server.instance);
}

WallTime wall(const FlowWorld &world)
{
    return startWall + world.now / millisecond;
}

std::size_t pick(FlowWorld &world, std::size_t size)
{
    return static_cast<std::size_t>(below(world.random, size));
}

wire::NodeView presentView(const FlowWorld &world)
{
    wire::NodeView view;
    view.dataCentre = "dc1";
    for (int n = 0; n < 2; ++n) {
        wire::ServiceView service;
        service.id = serviceId(n);
        service.teamId = idOf(teamNames.at(n));
        service.teamName = teamNames.at(n);
        service.serviceName = serviceNames.at(n);
        service.port = 5300 + n;
        service.session = true;
        service.ceilingShare = 1;
        service.defaultDeadlineMs = 1000;
        view.services.push_back(service);
        for (int epoch = world.epoch; epoch > 0 && epoch > world.epoch - 3; --epoch) {
            wire::KeyView key;
            key.teamId = service.teamId;
            key.epoch = epoch;
            key.secret = std::string(31, static_cast<char>('a' + n)) + static_cast<char>('A' + epoch % 26);
            view.keys.push_back(key);
        }
    }
    for (const FlowServer &it : world.servers) {
        if (it.up) {
            wire::TargetView target;
            target.id = targetId(it);
            target.serviceId = serviceId(it.service);
            target.instance = it.instance;
            target.address = it.address;
            target.state = it.draining ? wire::TargetState::Leaving : wire::TargetState::Serving;
            target.slots = 2;
            view.targets.push_back(target);
        }
    }
    return view;
}

void adoptView(const FlowWorld &world, FlowBalancer &balancer)
{
    View next = parseView(presentView(world));
    if (!balancer.view.targets.empty()) {
        remapRoutes(balancer.cache, balancer.view, next);
    }
    balancer.view = std::move(next);
}

void changeViews(FlowWorld &world)
{
    for (FlowBalancer &it : world.balancers) {
        it.viewDueAt = world.now + 100 * millisecond + static_cast<Time>(below(world.random, 8 * second));
    }
}

void startServer(FlowWorld &world, int service, const std::string &address)
{
    FlowServer server;
    server.service = service;
    server.instance = "t" + std::to_string(world.servers.size());
    server.address = address;
    server.incarnation = world.now + 1;
    world.servers.push_back(std::move(server));
    changeViews(world);
}

std::string newAddress(FlowWorld &world)
{
    return "127.11.0.1:" + std::to_string(22000 + world.addresses++);
}

/// @return the server that listens on an address, or the number of servers
std::size_t serverAt(const FlowWorld &world, const std::string &address)
{
    const auto it =
        std::find_if(world.servers.begin(), world.servers.end(), [&address](const FlowServer &server) { return server.up && server.address == address; });
    return static_cast<std::size_t>(it - world.servers.begin());
}

wire::TargetFrame identityOf(const FlowServer &server)
{
    wire::TargetFrame frame;
    frame.kind = wire::FrameKind::Identity;
    wire::TargetIdentity identity;
    identity.teamName = teamNames.at(server.service);
    identity.serviceName = serviceNames.at(server.service);
    identity.instance = server.instance;
    identity.incarnation = server.incarnation;
    frame.__set_identity(identity);
    return frame;
}

void sendStatus(const FlowWorld &world, TargetLink &link, const FlowServer &server)
{
    wire::TargetFrame frame;
    frame.kind = wire::FrameKind::Status;
    wire::TargetStatus status;
    status.draining = server.draining;
    status.slots = 2;
    frame.__set_status(status);
    onTargetFrame(link, frame, world.now);
}

void connect(FlowWorld &world, FlowBalancer &balancer, const ViewTarget &target, TargetLink &link)
{
    const std::size_t server = serverAt(world, target.address);
    if (server == world.servers.size()) {
        return;
    }
    const ViewService &service = *findService(balancer.view, target.serviceId);
    link.targetId = target.id;
    link.serviceId = target.serviceId;
    link.teamName = service.teamName;
    link.serviceName = service.serviceName;
    link.instance = target.instance;
    connectLink(link, world.now);
    balancer.connected[target.id] = server;
    if (onTargetFrame(link, identityOf(world.servers[server]), world.now).result == FrameResult::WrongIdentity) {
        ++world.counts.wrongIdentities;
        loseLink(link);
        if (world.options.defect == FlowDefect::NoIdentityCheck) {
            link.state = LinkState::Ready;
        }
        return;
    }
    sendStatus(world, link, world.servers[server]);
}

/// @return the connection to a target, made when there is none; it may not be ready
TargetLink &linkTo(FlowWorld &world, FlowBalancer &balancer, const ViewTarget &target)
{
    TargetLink &link = balancer.links[target.id];
    const auto peer = balancer.connected.find(target.id);
    if (link.state != LinkState::Disconnected && !world.servers[peer->second].up) {
        loseLink(link); // the server's connections end with it
    }
    if (link.state == LinkState::Disconnected) {
        connect(world, balancer, target, link);
    }
    return link;
}

/// A new flow is sent to the server.
void checkLeaving(const FlowWorld &world, const FlowServer &server)
{
    if (server.draining && world.now - server.drainAt > leavingLimit) {
        fail(world, "LeavingGetsNoNewWork", server.instance + " gets a new flow after " + std::to_string((world.now - server.drainAt) / millisecond) + " ms");
    }
}

/// What the server does with a frame.
wire::Outcome::type serve(FlowWorld &world, FlowServer &server, wire::FrameKind::type kind, Id service, std::int64_t flow)
{
    if (service != serviceId(server.service)) {
        fail(world, "NoForeignPacket", "a frame for another service reaches " + server.instance);
    }
    if (kind != wire::FrameKind::Open) {
        return server.flows.contains(flow) ? wire::Outcome::Done : wire::Outcome::UnknownFlow;
    }
    checkLeaving(world, server);
    if (server.draining) {
        return wire::Outcome::Draining;
    }
    server.flows.insert(flow);
    return wire::Outcome::Done;
}

/// Sends one call; @return its outcome, or nothing when the target can't be reached now
std::optional<wire::Outcome::type>
call(FlowWorld &world, FlowBalancer &balancer, const ViewTarget &target, wire::FrameKind::type kind, std::int64_t flow, std::size_t *server)
{
    TargetLink &link = linkTo(world, balancer, target);
    if (link.state != LinkState::Ready) {
        return {};
    }
    const std::int64_t number = startCall(link, 1);
    const std::size_t at = balancer.connected.at(target.id);
    if (balancer.stalledUntil[target.id] > world.now) {
        if (kind == wire::FrameKind::Open) {
            checkLeaving(world, world.servers.at(at));
        }
        abandonCall(link, number); // no answer comes while the connection is stalled
        return {};
    }
    const wire::Outcome::type outcome = serve(world, world.servers.at(at), kind, target.serviceId, flow);
    if (server != nullptr) {
        *server = at;
    }
    wire::TargetFrame answer;
    answer.kind = kind == wire::FrameKind::Open ? wire::FrameKind::Opened : wire::FrameKind::Answer;
    answer.call = number;
    answer.__set_outcome(outcome);
    onTargetFrame(link, answer, world.now);
    return outcome;
}

bool takesNewFlows(FlowWorld &world, FlowBalancer &balancer, const ViewTarget &target)
{
    const TargetLink &link = linkTo(world, balancer, target);
    if (world.options.defect == FlowDefect::DrainIgnored) {
        return link.state == LinkState::Ready;
    }
    return target.state == ViewTarget::State::Serving && acceptsNewWork(link, world.now);
}

std::string mint(const FlowWorld &world, const FlowBalancer &balancer, const ViewService &service, const ViewTarget &target, std::int64_t flow)
{
    const TokenKey &key = *newestKey(balancer.view, service.teamId);
    const Token token = mintToken(service.id, target.id, balancer.links.at(target.id).incarnation, {1, 1}, {2, 2}, key.epoch, wall(world));
    const SealedToken sealed = sealToken(token, flow, key.key);
    return {sealed.data(), sealed.size()};
}

void openFlow(FlowWorld &world)
{
    FlowBalancer &balancer = world.balancers[pick(world, world.balancers.size())];
    FlowOfCaller flow;
    flow.number = static_cast<std::int64_t>(next(world.random) >> 2);
    flow.service = static_cast<int>(below(world.random, 2));
    const bool bare = chance(world.random, 0.5);
    const ViewService &service = *findService(balancer.view, serviceId(flow.service));
    Id after = 0;
    for (std::size_t n = 0; n < service.targets.size(); ++n) {
        const std::optional<std::size_t> candidate =
            nextCandidate(balancer.view, service, bare ? flow.number : static_cast<std::int64_t>(next(world.random) >> 2), bare ? after : 0);
        if (!candidate) {
            return;
        }
        const ViewTarget &target = balancer.view.targets[*candidate];
        after = target.id;
        if (takesNewFlows(world, balancer, target) && call(world, balancer, target, wire::FrameKind::Open, flow.number, &flow.server) == wire::Outcome::Done) {
            flow.token = bare ? "" : mint(world, balancer, service, target, flow.number);
            world.flows.push_back(std::move(flow));
            ++world.counts.flows;
            return;
        }
    }
}

enum class RequestResult { Answered, NoRoute, Broken };

RequestResult requestByToken(FlowWorld &world, FlowBalancer &balancer, FlowOfCaller &flow, const ViewService &service)
{
    const OpenedToken opened = openToken(flow.token, service.teamId, service.id, flow.number, balancer.view.keys, wall(world));
    if (opened.fault == TokenFault::UnknownEpoch) {
        return RequestResult::NoRoute; // a view that doesn't have the new key yet
    }
    if (opened.fault != TokenFault::None) {
        return RequestResult::Broken;
    }
    const ViewTarget *target = findTarget(balancer.view, opened.token.target);
    if (world.options.defect == FlowDefect::RouteByRank) {
        target = &balancer.view.targets[*nextCandidate(balancer.view, service, flow.number, 0)];
    }
    if (target == nullptr) {
        return RequestResult::NoRoute;
    }
    const auto outcome = call(world, balancer, *target, wire::FrameKind::Request, flow.number, nullptr);
    if (!outcome) {
        return RequestResult::NoRoute;
    }
    if (*outcome == wire::Outcome::Done && needsRefresh(opened.token, balancer.view, service.teamId, wall(world))) {
        flow.token = mint(world, balancer, service, *target, flow.number);
    }
    return *outcome == wire::Outcome::Done ? RequestResult::Answered : RequestResult::Broken;
}

RequestResult requestBare(FlowWorld &world, FlowBalancer &balancer, const FlowOfCaller &flow, const ViewService &service)
{
    const std::uint64_t hash = flowHash(service.id, flow.number);
    if (const auto cached = findRoute(balancer.cache, hash)) {
        if (call(world, balancer, balancer.view.targets[*cached], wire::FrameKind::Request, flow.number, nullptr) == wire::Outcome::Done) {
            return RequestResult::Answered;
        }
        eraseRoute(balancer.cache, hash);
    }
    bool complete = true;
    Id after = 0;
    while (const auto candidate = nextCandidate(balancer.view, service, flow.number, after)) {
        const ViewTarget &target = balancer.view.targets[*candidate];
        after = target.id;
        const auto outcome = call(world, balancer, target, wire::FrameKind::Request, flow.number, nullptr);
        if (outcome == wire::Outcome::Done) {
            storeRoute(balancer.cache, hash, *candidate);
            return RequestResult::Answered;
        }
        complete = complete && outcome.has_value();
    }
    const bool known = findTarget(balancer.view, targetId(world.servers[flow.server])) != nullptr;
    return known && complete ? RequestResult::Broken : RequestResult::NoRoute;
}

RequestResult request(FlowWorld &world, FlowBalancer &balancer, FlowOfCaller &flow)
{
    const ViewService &service = *findService(balancer.view, serviceId(flow.service));
    ++world.counts.requests;
    const RequestResult result = flow.token.empty() ? requestBare(world, balancer, flow, service) : requestByToken(world, balancer, flow, service);
    if (result == RequestResult::Broken) {
        fail(world, "FlowSurvives", "an established flow on " + world.servers[flow.server].instance + " is broken");
    }
    world.counts.withoutRoute += result == RequestResult::NoRoute ? 1 : 0;
    return result;
}

/// A target starts its drain; it ends when its flows are closed.
void drainOne(FlowWorld &world)
{
    FlowServer &server = world.servers[pick(world, world.servers.size())];
    const auto serving = std::count_if(
        world.servers.begin(), world.servers.end(), [&server](const FlowServer &it) { return it.up && !it.draining && it.service == server.service; });
    if (!server.up || server.draining || serving <= world.options.targets / 2) {
        return;
    }
    server.draining = true;
    server.drainAt = world.now;
    changeViews(world);
    const Id id = targetId(server);
    for (FlowBalancer &it : world.balancers) {
        const auto link = it.links.find(id);
        if (link != it.links.end() && link->second.state == LinkState::Ready && it.stalledUntil[id] <= world.now) {
            sendStatus(world, link->second, server);
        }
    }
}

void endDrained(FlowWorld &world)
{
    for (std::size_t n = 0; n < world.servers.size(); ++n) {
        if (world.servers[n].up && world.servers[n].draining && world.now - world.servers[n].drainAt > 4 * second) {
            std::erase_if(world.flows, [n](const FlowOfCaller &it) { return it.server == n; }); // their callers have closed them
            world.servers[n].up = false;
            ++world.counts.replacements;
            // The address goes to a new target, often of the other service.
            const int service = chance(world.random, 0.5) ? 1 - world.servers[n].service : world.servers[n].service;
            const std::string address = world.servers[n].address;
            const int replaced = world.servers[n].service;
            startServer(world, service, address);
            if (service != replaced) {
                startServer(world, replaced, newAddress(world));
            }
        }
    }
}

void tickLinks(FlowWorld &world, FlowBalancer &balancer)
{
    for (auto &[id, link] : balancer.links) {
        const auto peer = balancer.connected.find(id);
        if (link.state != LinkState::Ready || peer == balancer.connected.end() || !world.servers[peer->second].up) {
            continue;
        }
        const bool stalled = balancer.stalledUntil[id] > world.now;
        if (takeSubscribe(link, world.now) && !stalled) {
            sendStatus(world, link, world.servers[peer->second]);
        }
        if (!stalled && balancer.stalledUntil[id] != 0) {
            balancer.stalledUntil[id] = 0;
            sendStatus(world, link, world.servers[peer->second]); // what the target pushed meanwhile arrives now
        }
        if (!stalled && chance(world.random, 0.0005)) {
            balancer.stalledUntil[id] = world.now + static_cast<Time>(below(world.random, 5 * second));
        }
    }
}

void runStep(FlowWorld &world)
{
    world.now += step;
    for (FlowBalancer &it : world.balancers) {
        if (it.viewDueAt != 0 && it.viewDueAt <= world.now) {
            it.viewDueAt = 0;
            adoptView(world, it);
        }
        tickLinks(world, it);
    }
    if (chance(world.random, 0.5)) {
        openFlow(world);
    }
    if (!world.flows.empty()) {
        request(world, world.balancers[pick(world, world.balancers.size())], world.flows[pick(world, world.flows.size())]);
    }
    if (chance(world.random, 0.01)) {
        drainOne(world);
    }
    if (chance(world.random, 0.001) && world.epoch < 3) {
        ++world.epoch;
        changeViews(world);
    }
    endDrained(world);
}

/// With current views every flow answers through every balancer.
void checkAllFlows(FlowWorld &world)
{
    for (FlowBalancer &it : world.balancers) {
        adoptView(world, it);
        it.stalledUntil.clear();
        for (FlowOfCaller &flow : world.flows) {
            if (request(world, it, flow) != RequestResult::Answered) {
                fail(world, "FlowSurvives", "an established flow has no route in a current view");
            }
        }
    }
}

} // namespace

FlowRunCounts runFlows(const FlowRunOptions &options)
{
    FlowWorld world;
    world.options = options;
    world.random.state = mix(options.seed, 5);
    for (int n = 0; n < 2 * options.targets; ++n) {
        startServer(world, n % 2, newAddress(world));
    }
    world.balancers.resize(options.balancers);
    for (FlowBalancer &it : world.balancers) {
        adoptView(world, it);
    }
    for (int n = 0; n < options.steps; ++n) {
        runStep(world);
    }
    checkAllFlows(world);
    return world.counts;
}

} // namespace pimentofold::testsupport
