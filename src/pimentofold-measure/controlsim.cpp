#include <pimentofold-measure/controlsim.h>

#include <algorithm>
#include <utility>

#include <pimentofold/datagramauth.h>

namespace pimentofold {

namespace {

constexpr std::int64_t datagramOverhead = 28 + static_cast<std::int64_t>(macBytes); // IP, UDP and authenticator
const char *const team = "team";
const standin::KindFilter watchedKinds{"template", "team", "keys", "drain"};

std::string addressOf(std::size_t dataCentre, std::size_t i)
{
    return "10." + std::to_string(dataCentre) + "." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7010";
}

std::string dataCentreName(std::size_t dataCentre)
{
    return "dc" + std::to_string(dataCentre + 1);
}

bool contains(const std::vector<InstanceKey> &keys, Id instance)
{
    return std::ranges::any_of(keys, [&](const InstanceKey &it) { return it.instance == instance; });
}

wire::MemberUpdate updateOf(const SimNode &node)
{
    wire::MemberUpdate update;
    update.key.instance = node.spread.self.instance;
    update.key.incarnation = node.spread.self.incarnation;
    update.state = wire::MemberState::Alive;
    update.name = node.name;
    update.address = node.address;
    update.dataCentre = node.spread.dataCentre;
    return update;
}

std::string describe(Time now, const std::string &node, const ObjectKey &key, const std::string &what)
{
    return "t=" + std::to_string(now) + " node=" + node + " object=" + key.kind + "/" + key.name + " " + what;
}

} // namespace

bool ControlSim::LaterEvent::operator()(const Event &a, const Event &b) const
{
    return std::pair(a.at, a.sequence) > std::pair(b.at, b.sequence);
}

ControlSim::ControlSim(const ControlSimOptions &options)
    : m_options(options)
    , m_random{options.seed}
{
    for (std::size_t dataCentre = 0; dataCentre < options.dataCentres; ++dataCentre) {
        for (std::size_t i = 0; i < options.nodesPerDataCentre; ++i) {
            SimNode node;
            node.dataCentre = dataCentre;
            node.name = dataCentreName(dataCentre) + "-e" + std::to_string(i);
            node.address = addressOf(dataCentre, i);
            m_byAddress[node.address] = m_nodes.size();
            m_nodes.push_back(std::move(node));
        }
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        startNode(i);
    }
    if (!options.membership) {
        setFixedRoles();
    }
}

void ControlSim::startNode(std::size_t number)
{
    SimNode &node = m_nodes[number];
    node.up = true;
    node.upSince = m_now;
    const std::int64_t generation = ++node.generation;
    node.spread = {};
    node.spread.self = {idOf(node.name), m_now + 1};
    node.spread.team = team;
    node.spread.dataCentre = dataCentreName(node.dataCentre);
    node.spread.address = node.address;
    const std::size_t base = node.dataCentre * m_options.nodesPerDataCentre;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, m_options.nodesPerDataCentre); ++i) {
        node.spread.seeds.push_back(m_nodes[base + i].address);
    }
    for (std::size_t i = 0; i < std::min<std::size_t>(4, m_options.dataCentres); ++i) {
        const std::size_t other = (node.dataCentre + 1 + i) % m_options.dataCentres;
        if (other != node.dataCentre) {
            node.spread.remoteSeeds.push_back(m_nodes[other * m_options.nodesPerDataCentre].address);
        }
    }
    startConfigReplication(node.spread, next(m_random), m_now);
    node.spread.store.acceptOlder = m_options.acceptOlder;
    for (const auto &[key, version] : node.inForce) {
        raiseMinVersion(node.spread.store, key, version);
    }
    if (m_options.membership) {
        Member self;
        self.key = node.spread.self;
        self.name = node.name;
        self.address = node.address;
        self.balancerAddress = node.address;
        self.dataCentre = node.spread.dataCentre;
        node.membership = {};
        node.rolesAt = 0;
        startMembership(node.membership, self, node.spread.seeds, next(m_random), m_now);
    }
    const auto phase = static_cast<Time>(below(m_random, static_cast<std::uint64_t>(m_options.tickInterval)));
    at(m_now + phase, [this, number, generation] { tick(number, generation); });
}

void ControlSim::setFixedRoles()
{
    const std::size_t count = m_options.nodesPerDataCentre;
    for (std::size_t base = 0; base < m_nodes.size(); base += count) {
        auto local = std::make_shared<std::vector<ReplicationPeer>>();
        ReplicationPeers peers;
        for (std::size_t i = 0; i < count; ++i) {
            local->push_back({m_nodes[base + i].spread.self, m_nodes[base + i].address});
            if (i < delegatesPerDataCentre) {
                peers.delegates.push_back(updateOf(m_nodes[base + i]));
            }
        }
        peers.local = std::move(local);
        for (std::size_t i = 0; i < count; ++i) {
            peers.delegate = i < delegatesPerDataCentre;
            peers.watcher = i >= count - std::min(count, watchersPerDataCentre);
            setReplicationPeers(m_nodes[base + i].spread, peers);
        }
    }
}

void ControlSim::noteChanges(SimNode &node, const MembershipOutput &members)
{
    if (!members.changes.empty()) {
        node.rolesAt = 0;
    }
}

void ControlSim::setRoles(SimNode &node)
{
    if (m_now < node.rolesAt) {
        return;
    }
    node.rolesAt = m_now + second;
    ReplicationPeers peers;
    auto local = std::make_shared<std::vector<ReplicationPeer>>();
    const auto delegates = rankInstances(node.membership, "delegate", delegatesPerDataCentre);
    for (const Member &it : liveMembers(node.membership)) {
        local->push_back({it.key, it.address});
        if (contains(delegates, it.key.instance)) {
            peers.delegates.push_back(updateOf(m_nodes[m_byAddress.at(it.address)]));
        }
    }
    peers.local = std::move(local);
    peers.delegate = contains(delegates, node.spread.self.instance);
    peers.watcher = contains(rankInstances(node.membership, "watcher", watchersPerDataCentre), node.spread.self.instance);
    setReplicationPeers(node.spread, std::move(peers));
}

void ControlSim::tick(std::size_t number, std::int64_t generation)
{
    SimNode &node = m_nodes[number];
    if (!node.up || node.generation != generation) {
        return;
    }
    if (m_options.membership) {
        MembershipOutput members;
        tickMembership(node.membership, m_now, members);
        noteChanges(node, members);
        setRoles(node);
        perform(number, members.messages);
    }
    ConfigReplicationOutput out;
    tickConfigReplication(node.spread, m_now, out);
    perform(number, out);
    at(m_now + m_options.tickInterval, [this, number, generation] { tick(number, generation); });
}

void ControlSim::perform(std::size_t number, std::vector<MemberMessage> &messages)
{
    for (const MemberMessage &it : messages) {
        const auto to = m_byAddress.find(it.address);
        if (to != m_byAddress.end()) {
            deliver(number, to->second, it.message);
        }
    }
}

void ControlSim::perform(std::size_t number, ConfigReplicationOutput &out)
{
    for (const ConfigObjectPointer &it : out.applied) {
        noteApplied(number, *it);
    }
    perform(number, out.messages);
    if (out.watch) {
        startWatch(number, *out.watch);
    }
}

void ControlSim::deliver(std::size_t from, std::size_t to, const wire::PeerMessage &message)
{
    const std::int64_t size = static_cast<std::int64_t>(m_codec.encode(message).size()) + datagramOverhead;
    m_nodes[from].bytesSent += size;
    const std::size_t dataCentre = m_nodes[from].dataCentre;
    const bool remote = dataCentre != m_nodes[to].dataCentre;
    if (chance(m_random, m_options.loss) || (remote && !isOpen(dataCentre, m_nodes[to].dataCentre))) {
        return;
    }
    const Time longest = remote ? m_options.remoteDelay : m_options.localDelay;
    const Time delay = longest / 2 + static_cast<Time>(below(m_random, static_cast<std::uint64_t>(longest / 2 + 1)));
    auto shared = std::make_shared<const wire::PeerMessage>(message);
    at(m_now + delay, [this, from, to, size, shared] {
        SimNode &node = m_nodes[to];
        if (!node.up) {
            return;
        }
        node.bytesReceived += size;
        if (m_options.membership) {
            MembershipOutput members;
            handleMembership(node.membership, *shared, m_nodes[from].address, m_now, members);
            noteChanges(node, members);
            perform(to, members.messages);
        }
        ConfigReplicationOutput out;
        handleConfigMessage(node.spread, *shared, m_nodes[from].address, m_now, out);
        perform(to, out);
    });
}

void ControlSim::noteApplied(std::size_t number, const ConfigObject &object)
{
    SimNode &node = m_nodes[number];
    std::int64_t &version = node.inForce[object.key];
    if (object.version < version) {
        m_faults.reverts.push_back(
            describe(m_now, node.name, object.key, "version " + std::to_string(version) + " replaced by " + std::to_string(object.version)));
        return;
    }
    const auto &accepted = m_acceptedAt[object.key];
    for (auto it = accepted.upper_bound(version); it != accepted.end() && it->first <= object.version; ++it) {
        m_latencies.push_back(static_cast<double>(m_now - it->second) / second);
    }
    version = object.version;
}

void ControlSim::startWatch(std::size_t number, const WatchRequest &request)
{
    const std::int64_t generation = m_nodes[number].generation;
    const std::size_t dataCentre = m_nodes[number].dataCentre;
    if (!isOpen(dataCentre, dataCentre)) {
        at(m_now + platformConnectTimeout, [this, number, generation] { finishWatch(number, generation, std::make_shared<WatchResponse>()); });
        return;
    }
    at(m_now + m_options.platformDelay, [this, number, generation, request] {
        if (m_platform.faults.outage) {
            at(m_now + m_options.platformDelay, [this, number, generation] { finishWatch(number, generation, std::make_shared<WatchResponse>()); });
            return;
        }
        ++m_platform.counts["watch"];
        m_watches.push_back({number, generation, request.since, m_now + request.waitSeconds * second});
        at(m_now + request.waitSeconds * second, [this] { serveWatches(); });
        serveWatches();
    });
}

void ControlSim::serveWatches()
{
    std::vector<OpenWatch> waiting;
    waiting.swap(m_watches);
    for (const OpenWatch &it : waiting) {
        if (!m_platform.faults.outage && !hasChanged(m_platform, it.since, watchedKinds) && m_now < it.until) {
            m_watches.push_back(it);
        } else {
            answerWatch(it);
        }
    }
}

void ControlSim::answerWatch(const OpenWatch &watch)
{
    auto answer = std::make_shared<WatchResponse>();
    if (!m_platform.faults.outage) {
        answer->succeeded = true;
        answer->revision = readRevision(m_platform, m_random);
        for (const standin::StoredObject &it : objectsSince(m_platform, watch.since, answer->revision, watchedKinds)) {
            answer->objects.push_back(std::make_shared<const ConfigObject>(ConfigObject{{it.kind, it.name}, it.version, it.deleted, it.value, it.changeId}));
        }
    }
    at(m_now + m_options.platformDelay + m_platform.faults.delay, [this, watch, answer] { returnAnswer(watch, answer); });
}

void ControlSim::returnAnswer(const OpenWatch &watch, const std::shared_ptr<WatchResponse> &answer)
{
    const std::size_t dataCentre = m_nodes[watch.node].dataCentre;
    if (isOpen(dataCentre, dataCentre)) {
        finishWatch(watch.node, watch.generation, answer);
    } else if (m_now > watch.until + watchTimeout - watchWaitSeconds * second) {
        finishWatch(watch.node, watch.generation, std::make_shared<WatchResponse>());
    } else {
        // TCP sends the answer again until the link is open or the client gives up.
        at(m_now + second, [this, watch, answer] { returnAnswer(watch, answer); });
    }
}

void ControlSim::finishWatch(std::size_t number, std::int64_t generation, const std::shared_ptr<WatchResponse> &answer)
{
    SimNode &node = m_nodes[number];
    if (!node.up || node.generation != generation) {
        return;
    }
    ConfigReplicationOutput out;
    handleWatchResponse(node.spread, *answer, m_now, out);
    perform(number, out);
}

bool ControlSim::write(const ObjectKey &key, const std::string &value, bool deleted)
{
    if (m_platform.faults.outage) {
        return false;
    }
    const std::int64_t version = readObject(m_platform, {key.kind, key.name}, m_platform.revision).version;
    standin::StoredObject change{key.kind, key.name, 0, deleted, value, "change-" + std::to_string(m_platform.revision + 1), 0};
    const standin::WriteResult result = writeObject(m_platform, std::move(change), version);
    if (result.status != standin::WriteStatus::Written) {
        return false;
    }
    ++m_platform.counts["write"];
    AcceptedChange accepted{key, result.current.version, m_now, {}};
    m_acceptedAt[key][accepted.version] = m_now;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        accepted.reachable.push_back(i);
    }
    m_changes.push_back(std::move(accepted));
    dropUnreachable();
    const std::size_t number = m_changes.size() - 1;
    at(m_now + convergenceLimit, [this, number] { checkArrival(number); });
    serveWatches();
    return true;
}

void ControlSim::dropUnreachable()
{
    const std::vector<bool> connected = connectedDataCentres();
    for (auto it = m_changes.rbegin(); it != m_changes.rend() && m_now - it->at <= convergenceLimit; ++it) {
        std::erase_if(it->reachable, [&](std::size_t number) {
            const SimNode &node = m_nodes[number];
            return !node.up || node.upSince > it->at || !connected[node.dataCentre];
        });
    }
}

void ControlSim::checkArrival(std::size_t change)
{
    const AcceptedChange &accepted = m_changes[change];
    for (const std::size_t number : accepted.reachable) {
        SimNode &node = m_nodes[number];
        if (node.inForce[accepted.key] < accepted.version) {
            m_faults.late.push_back(describe(m_now, node.name, accepted.key, "version " + std::to_string(accepted.version) + " not in force"));
        }
    }
}

bool ControlSim::isOpen(std::size_t a, std::size_t b) const
{
    return !m_cut.contains({std::min(a, b), std::max(a, b)});
}

std::vector<bool> ControlSim::connectedDataCentres() const
{
    std::vector<bool> connected(m_options.dataCentres, false);
    if (m_platform.faults.outage) {
        return connected;
    }
    std::vector<bool> relays(m_options.dataCentres, false); // only live agents pass objects on
    for (const SimNode &it : m_nodes) {
        relays[it.dataCentre] = relays[it.dataCentre] || it.up;
    }
    for (std::size_t i = 0; i < connected.size(); ++i) {
        connected[i] = isOpen(i, i);
    }
    for (std::size_t round = 0; round < connected.size(); ++round) {
        for (std::size_t a = 0; a < connected.size(); ++a) {
            for (std::size_t b = 0; b < connected.size(); ++b) {
                connected[a] = connected[a] || (connected[b] && relays[b] && isOpen(a, b));
            }
        }
    }
    return connected;
}

void ControlSim::setFaults(const standin::Faults &faults)
{
    m_platform.faults = faults;
    dropUnreachable();
    serveWatches();
}

void ControlSim::setLink(std::size_t a, std::size_t b, bool open)
{
    const std::pair<std::size_t, std::size_t> link{std::min(a, b), std::max(a, b)};
    if (open) {
        m_cut.erase(link);
    } else {
        m_cut.insert(link);
    }
    dropUnreachable();
}

void ControlSim::restart(std::size_t number, Time downFor)
{
    m_nodes[number].up = false;
    dropUnreachable();
    const std::int64_t generation = m_nodes[number].generation;
    at(m_now + downFor, [this, number, generation] {
        if (!m_nodes[number].up && m_nodes[number].generation == generation) {
            startNode(number);
        }
    });
}

void ControlSim::at(Time time, std::function<void()> action)
{
    m_events.push({time, ++m_sequence, std::move(action)});
}

void ControlSim::runUntil(Time end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        // The queue gives const access only; the action is moved out because the event is popped at once.
        auto action = std::move(const_cast<Event &>(m_events.top()).action);
        m_now = m_events.top().at;
        m_events.pop();
        action();
    }
    m_now = end;
}

Time ControlSim::now() const
{
    return m_now;
}

const std::vector<SimNode> &ControlSim::nodes() const
{
    return m_nodes;
}

const ControlFaults &ControlSim::faults() const
{
    return m_faults;
}

const standin::PlatformStore &ControlSim::platform() const
{
    return m_platform;
}

const std::vector<double> &ControlSim::latencies() const
{
    return m_latencies;
}

std::vector<std::string> checkConfigNeverReverts(const ControlSim &sim)
{
    std::vector<std::string> faults = sim.faults().reverts;
    faults.insert(faults.end(), sim.faults().late.begin(), sim.faults().late.end());
    return faults;
}

} // namespace pimentofold
