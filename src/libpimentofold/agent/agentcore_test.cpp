#include <pimentofold/agent/agentcore.h>

#include <doctest/doctest.h>

#include <pimentofold/agent/agentobjects.h>

using namespace pimentofold;

namespace {

const std::string templateValue = R"({"parameters": {"slots": {"type": "integer", "default": 3, "least": 1, "most": 64}},
    "services": [{"name": "lookup", "port": 5301, "session": true, "dataCentres": ["dc1", "dc2"], "slots": "${slots}",
    "urgency": 0, "floorShare": 0.6, "ceilingShare": 1.0, "defaultDeadlineMs": 2000,
    "workKinds": [{"name": "lookup", "urgency": 0, "floorShare": 0.5, "ceilingShare": 1.0}],
    "targets": [{"instance": "named", "dataCentre": "dc1", "address": "127.2.1.1:6001", "slots": 5}]}]})";

ConfigObjectPointer makeObject(const std::string &kind, const std::string &name, std::int64_t version, const std::string &value)
{
    return std::make_shared<const ConfigObject>(ConfigObject{{kind, name}, version, value.empty(), value, "change"});
}

void fillStore(ConfigStore &store)
{
    applyObject(store, makeObject("template", "lexikon", 2, templateValue));
    applyObject(store, makeObject("team", "foundation", 4, R"({"template": "lexikon", "parameters": {}})"));
}

PlatformInstance target(const std::string &name, const std::string &team, const std::string &dataCentre, bool leaving)
{
    return {name, false, team, "lookup", dataCentre, "127.2.1.2:6001", leaving, 0};
}

wire::BalancerReport reportOf(std::int64_t generation, std::int64_t incarnation)
{
    wire::BalancerReport report;
    report.generationInForce = generation;
    wire::InstanceKey key;
    key.instance = idOf("dc1-e01");
    key.incarnation = incarnation;
    report.__set_instance(key);
    return report;
}

AgentState startedAgent()
{
    AgentState agent;
    startAgent(agent, {"dc1-e01", "dc1", "foundation", "127.1.1.1:7010", "127.1.1.1:7000", {"127.1.1.2:7010"}, {}}, 1, 0);
    return agent;
}

Member memberNamed(const std::string &name, wire::MemberState::type state = wire::MemberState::Alive)
{
    Member member;
    member.name = name;
    member.key = {idOf(name), 1};
    member.state = state;
    return member;
}

} // namespace

// Guards against work for targets that are leaving, and against flows that are interrupted because the instance list lacks
// a target.
TEST_CASE("state of targets in a view")
{
    struct Row {
        const char *name;
        bool listed;
        bool leaving;
        bool drained;
        bool reachable;
        int state; ///< 0: not in the view
    };
    const std::vector<Row> rows{{"live", true, false, false, true, 1},
                                {"leaving", true, true, false, true, 2},
                                {"drained", true, false, true, true, 2},
                                {"gone-reachable", false, false, false, true, 2},
                                {"gone-unreachable", false, false, false, false, 0}};
    ConfigStore store;
    fillStore(store);
    NodeViewInput input;
    wire::NodeView previous;
    for (const Row &it : rows) {
        wire::TargetView before;
        before.id = idOf("foundation", "lookup", it.name);
        before.serviceId = idOf("foundation", "lookup");
        previous.targets.push_back(before);
        input.observations[before.id].reachable = it.reachable;
        if (it.listed) {
            input.instances.push_back(target(it.name, "foundation", "dc2", it.leaving));
        }
        if (it.drained) {
            applyObject(store, makeObject("drain", std::string("foundation.lookup.") + it.name, 1, R"({"reason": "disk"})"));
        }
    }
    input.instances.push_back(target("of-other-team", "shop", "dc1", false));
    input.instances.push_back(target("of-other-data-centre", "foundation", "dc9", false));
    const std::optional<TeamServices> services = expandFromStore(store, "foundation");
    REQUIRE(services);
    input.team = "foundation";
    input.store = &store;
    input.services = &*services;
    const wire::NodeView view = buildNodeView(input, previous);
    std::map<Id, wire::TargetView> targets;
    for (const wire::TargetView &it : view.targets) {
        targets[it.id] = it;
    }
    for (const Row &it : rows) {
        const auto found = targets.find(idOf("foundation", "lookup", it.name));
        CHECK_MESSAGE((found == targets.end() ? 0 : static_cast<int>(found->second.state)) == it.state, it.name);
    }
    CHECK(targets.at(idOf("foundation", "lookup", "live")).slots == 3);
    CHECK(targets.at(idOf("foundation", "lookup", "named")).slots == 5);
    CHECK(targets.size() == 5);
    CHECK(digestOfHeads(view.objects) == store.rootDigest);
}

// Guards against an invalid configuration that removes services, and against a view with older objects than the balancer
// had in force before its agent restarted.
TEST_CASE("the view publisher never reverts the balancer")
{
    ConfigStore store;
    ViewPublisher publisher;
    publisher.team = "foundation";
    refreshView(publisher, store, {}, 0);
    CHECK(publisher.view.generation == 0);
    fillStore(store);
    refreshView(publisher, store, {}, 0);
    CHECK_FALSE(shouldSendView(publisher, store, true));
    wire::BalancerReport report = reportOf(1, 1);
    applyReport(publisher, report);
    CHECK(publisher.view.generation == 2);
    raiseMinVersion(store, {"team", "foundation"}, 5);
    CHECK_FALSE(shouldSendView(publisher, store, true));
    applyObject(store, makeObject("team", "foundation", 5, R"({"template": "lexikon", "parameters": {"slots": 9}})"));
    refreshView(publisher, store, {}, 0);
    REQUIRE(shouldSendView(publisher, store, true));
    recordSentView(publisher);
    CHECK_FALSE(shouldSendView(publisher, store, true));
    report.generationInForce = publisher.view.generation;
    applyReport(publisher, report);
    CHECK(versionInForce(publisher, {"team", "foundation"}) == 5);
    applyObject(store, makeObject("team", "foundation", 6, R"({"template": "lexikon", "parameters": {"slots": 1000}})"));
    refreshView(publisher, store, {}, 0);
    CHECK(publisher.problem.find("slots") != std::string::npos);
    CHECK(publisher.view.services.size() == 1);
    CHECK(versionInForce(publisher, {"team", "foundation"}) == 5);
    clearConnectionState(publisher);
    applyReport(publisher, reportOf(0, 2));
    CHECK(shouldSendView(publisher, store, true));
}

// Guards against endless repetition of a status write whose answer was lost, and against frequent writes when only the load
// changes.
TEST_CASE("status writes are conditional and bounded")
{
    Random random{1};
    StatusWriter writer;
    const nlohmann::json first = {{"refused", 0}, {"inForce", 1}};
    CHECK(isStatusWriteDue(writer, first, 0));
    startStatusWrite(writer, first, "change-1", 0);
    CHECK_FALSE(isStatusWriteDue(writer, first, minute));
    finishStatusWrite(writer, {0, 0, ""}, second, random);
    CHECK(isStatusWriteDue(writer, first, minute));
    startStatusWrite(writer, first, "change-2", minute);
    finishStatusWrite(writer, {409, 7, "change-1"}, minute, random);
    CHECK(isStatusWriteDue(writer, first, minute + statusInterval));
    startStatusWrite(writer, first, "change-3", 2 * minute);
    finishStatusWrite(writer, {409, 8, "change-3"}, 2 * minute, random);
    CHECK(writer.version == 8);
    CHECK_FALSE(isStatusWriteDue(writer, first, 3 * minute));
    const nlohmann::json load = {{"refused", 5}, {"inForce", 1}};
    CHECK_FALSE(isStatusWriteDue(writer, load, 2 * minute + statusInterval));
    CHECK(isStatusWriteDue(writer, load, 2 * minute + loadStatusInterval));
    const nlohmann::json changed = {{"refused", 5}, {"inForce", 2}};
    CHECK_FALSE(isStatusWriteDue(writer, changed, 2 * minute + second));
    CHECK(isStatusWriteDue(writer, changed, 2 * minute + statusInterval));
}

// Guards against reporting a version as in force before every live member has it.
TEST_CASE("a version is in force once every live member has it")
{
    ConfigStore store;
    fillStore(store);
    StatusReports board;
    StatusInput input;
    input.store = &store;
    input.members = {memberNamed("a"), memberNamed("b"), memberNamed("gone", wire::MemberState::Leaving)};
    const auto report = [&](const std::string &name, std::uint64_t rootDigest, std::int64_t teamVersion) {
        wire::PeerMessage message;
        message.kind = wire::PeerKind::InForce;
        message.sender.instance = idOf(name);
        message.report.generation = 1;
        message.report.rootDigest = static_cast<std::int64_t>(rootDigest);
        wire::ObjectHead head;
        head.kind = "team";
        head.name = "foundation";
        head.version = teamVersion;
        message.heads = {head};
        handleInForceReport(board, message);
    };
    report("a", store.rootDigest, 4);
    report("b", 0, 4);
    nlohmann::json value = statusValue(board, input);
    REQUIRE(value["inForce"].size() == 1);
    CHECK(value["inForce"][0]["kind"] == "team");
    CHECK(value["lagging"][0]["nodes"] == nlohmann::json{"b"});
    report("b", store.rootDigest, 4);
    value = statusValue(board, input);
    CHECK(value["inForce"].size() == 2);
    CHECK(value["lagging"].empty());
}

// Guards against an agent that announces a balancer before it has reported, or delays the announcement of its planned stop.
TEST_CASE("the agent announces its balancer after a report and a planned stop at once")
{
    AgentState agent = startedAgent();
    AgentOutput out;
    handleBalancerLeave(agent, 0, out);
    CHECK(out.messages.empty());
    agent = startedAgent();
    tickAgent(agent, balancerReportTimeout, 0, out);
    REQUIRE(agent.membershipStarted);
    CHECK(agent.membership.self.balancerAddress.empty());
    handleBalancerReport(agent, reportOf(0, 77), balancerReportTimeout, out);
    CHECK(agent.membership.self.key.incarnation == 77);
    CHECK(agent.membership.self.balancerAddress == "127.1.1.1:7000");
    const Member peer = memberNamed("dc1-e02");
    agent.membership.members[peer.key.instance] = peer;
    agent.membership.members[peer.key.instance].address = "127.1.1.2:7010";
    out = {};
    handleBalancerLeave(agent, 3 * second, out);
    REQUIRE(!out.messages.empty());
    CHECK(out.messages.front().message.kind == wire::PeerKind::Leave);
    handleBalancerReport(agent, reportOf(0, 99), 4 * second, out);
    CHECK(agent.membership.self.key.incarnation == 99);
    CHECK(presentMembers(agent.membership).front().state == wire::MemberState::Alive);
}

// Guards against a wrong instance list that removes most targets at once.
TEST_CASE("an instance list without most targets is used only after a delay")
{
    AgentState agent = startedAgent();
    AgentOutput out;
    const std::vector<PlatformInstance> full{
        target("a", "foundation", "dc1", false), target("b", "foundation", "dc1", false), target("c", "foundation", "dc1", false)};
    handleInstanceList(agent, full, 0, 1000, out);
    CHECK(storedInstances(agent.spread.store, "foundation").size() == 3);
    const std::vector<PlatformInstance> shrunk{full[0]};
    struct Step {
        Time at;
        std::size_t held;
    };
    for (const Step &it : std::vector<Step>{{second, 3}, {second + shrunkListDelay / 2, 3}, {second + shrunkListDelay, 1}}) {
        handleInstanceList(agent, shrunk, it.at, 1000 + it.at / millisecond, out);
        CHECK(storedInstances(agent.spread.store, "foundation").size() == it.held);
    }
}
