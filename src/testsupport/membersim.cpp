#include <testsupport/membersim.h>

#include <algorithm>

#include <pimentofold/datagramauth.h>

namespace pimentofold::testsupport {

namespace {

constexpr Time tickInterval = 100 * millisecond;
constexpr std::int64_t startIncarnation = 1'800'000'000'000'000;

std::string addressOf(int node)
{
    return "10.1." + std::to_string(node / 250) + "." + std::to_string(node % 250 + 1) + ":7010";
}

void receive(MemberSim &sim, int to, const std::string &from, const std::string &bytes);

void noteChange(MemberSim &sim, const MemberChange &change)
{
    const SimAgent &about = sim.agents.at(sim.nodes.at(change.member.address));
    if (!about.up || about.membership.self.key != change.member.key || about.membership.leaving) {
        return;
    }
    sim.falseSuspicions += change.member.state == wire::MemberState::Suspect ? 1 : 0;
    sim.falseDeaths += change.member.state == wire::MemberState::Dead ? 1 : 0;
}

void carryOut(MemberSim &sim, SimAgent &agent, const MembershipOutput &out)
{
    for (const MemberChange &it : out.changes) {
        noteChange(sim, it);
    }
    for (const MemberMessage &it : out.messages) {
        wire::PeerMessage message = it.message;
        message.clock = startIncarnation * 64; // the agents stamp each message with their hybrid logical clock
        const std::string bytes(sim.codec.encode(message));
        const auto size = static_cast<std::int64_t>(bytes.size() + macBytes);
        sim.largestMessage = std::max(sim.largestMessage, size);
        agent.bytes += size + headerBytes;
        ++agent.messages;
        const auto to = sim.nodes.find(it.address);
        if (to != sim.nodes.end()) {
            transmit(sim.net, agent.node, to->second, message.kind, [&sim, node = to->second, from = agent.membership.self.address, bytes] {
                receive(sim, node, from, bytes);
            });
        }
    }
}

void handle(MemberSim &sim, SimAgent &agent, const std::string &from, const std::string &bytes)
{
    wire::PeerMessage message;
    sim.codec.decode(bytes, message);
    MembershipOutput out;
    handleMembership(agent.membership, message, from, sim.queue.now, out);
    carryOut(sim, agent, out);
}

void receive(MemberSim &sim, int to, const std::string &from, const std::string &bytes)
{
    SimAgent &agent = sim.agents.at(to);
    if (!agent.up) {
        return;
    }
    if (agent.paused) {
        agent.inbox.push_back([&sim, &agent, from, bytes] { handle(sim, agent, from, bytes); });
    } else {
        handle(sim, agent, from, bytes);
    }
}

void tick(MemberSim &sim, SimAgent &agent)
{
    MembershipOutput out;
    tickMembership(agent.membership, sim.queue.now, out);
    carryOut(sim, agent, out);
}

void scheduleTick(MemberSim &sim, SimAgent &agent, Time wait)
{
    schedule(sim.queue, sim.queue.now + wait, [&sim, &agent, life = agent.life] {
        if (agent.life != life) {
            return;
        }
        if (!agent.paused) {
            tick(sim, agent);
        }
        scheduleTick(sim, agent, tickInterval);
    });
}

} // namespace

void setUp(MemberSim &sim, std::uint64_t seed)
{
    sim.random.state = seed;
    sim.net.queue = &sim.queue;
    sim.net.random.state = mix(seed, 1);
    sim.net.meanExtraDelay = 300 * microsecond;
}

int addAgent(MemberSim &sim, const std::vector<int> &seeds)
{
    const int node = static_cast<int>(sim.agents.size());
    sim.agents.emplace_back();
    sim.agents.back().node = node;
    sim.nodes[addressOf(node)] = node;
    startAgent(sim, node, seeds);
    return node;
}

void startAgent(MemberSim &sim, int node, const std::vector<int> &seeds)
{
    SimAgent &agent = sim.agents.at(node);
    agent.up = true;
    agent.startedAt = sim.queue.now;
    agent.downAt = never;
    ++agent.life;
    agent.membership = {};
    agent.membership.options = sim.options;
    const std::string name = "dc1-e" + std::to_string(node);
    const std::string address = addressOf(node);
    Member self{{idOf(name), startIncarnation + sim.queue.now}, wire::MemberState::Alive, name, address, address, "dc1", 0, 0};
    self.balancerAddress.replace(address.size() - 4, 4, "7000");
    std::vector<std::string> addresses;
    addresses.reserve(seeds.size());
    for (const int it : seeds) {
        addresses.push_back(addressOf(it));
    }
    startMembership(agent.membership, self, addresses, next(sim.random), sim.queue.now);
    scheduleTick(sim, agent, static_cast<Time>(below(sim.random, tickInterval)));
}

void crashAgent(MemberSim &sim, int node)
{
    SimAgent &agent = sim.agents.at(node);
    agent.up = false;
    agent.paused = false;
    agent.inbox.clear();
    agent.downAt = sim.queue.now;
    ++agent.life;
}

void pauseAgent(MemberSim &sim, int node, Time length)
{
    SimAgent &agent = sim.agents.at(node);
    agent.paused = true;
    schedule(sim.queue, sim.queue.now + length, [&agent, life = agent.life] {
        if (agent.life != life) {
            return;
        }
        agent.paused = false;
        const auto inbox = std::move(agent.inbox);
        agent.inbox.clear();
        for (const auto &it : inbox) {
            it();
        }
    });
}

void leaveAgent(MemberSim &sim, int node)
{
    SimAgent &agent = sim.agents.at(node);
    MembershipOutput out;
    leaveMembership(agent.membership, sim.queue.now, out);
    carryOut(sim, agent, out);
    schedule(sim.queue, sim.queue.now + second, [&sim, node, life = agent.life] {
        if (sim.agents.at(node).life == life) {
            crashAgent(sim, node);
        }
    });
}

bool agreed(const MemberSim &sim)
{
    std::vector<InstanceKey> running;
    for (const SimAgent &it : sim.agents) {
        if (it.up && !it.membership.leaving) {
            running.push_back(it.membership.self.key);
        }
    }
    std::sort(running.begin(), running.end());
    return std::all_of(sim.agents.begin(), sim.agents.end(), [&running](const SimAgent &agent) {
        if (!agent.up || agent.membership.leaving) {
            return true;
        }
        std::vector<InstanceKey> live;
        for (const auto &[id, member] : agent.membership.members) {
            if (member.state == wire::MemberState::Alive || member.state == wire::MemberState::Suspect) {
                live.push_back(member.key);
            }
        }
        std::sort(live.begin(), live.end());
        return live == running;
    });
}

Time runUntilAgreed(MemberSim &sim, Time limit)
{
    while (sim.queue.now < limit) {
        if (agreed(sim)) {
            return sim.queue.now;
        }
        runUntil(sim.queue, std::min(limit, sim.queue.now + 500 * millisecond));
    }
    return agreed(sim) ? sim.queue.now : never;
}

int unawareOf(const MemberSim &sim, int node)
{
    const InstanceKey key = sim.agents.at(node).membership.self.key;
    return static_cast<int>(std::count_if(sim.agents.begin(), sim.agents.end(), [&key](const SimAgent &agent) {
        const auto it = agent.membership.members.find(key.instance);
        return agent.up && it != agent.membership.members.end() && it->second.key == key && it->second.state != wire::MemberState::Dead;
    }));
}

} // namespace pimentofold::testsupport
