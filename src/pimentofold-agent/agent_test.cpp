#include <doctest/doctest.h>

#include <memory>
#include <optional>

#include <libnet/framedconnection.h>
#include <pimentofold-agent/agent.h>

using namespace pimentofold;

namespace {

const char *const validSettings = R"({"node": "dc1-e01", "dataCentre": "dc1", "team": "shop", "peerAddress": "127.12.9.1:23210",
    "balancerPeerAddress": "127.12.9.1:23211", "balancerViewAddress": "127.12.9.1:23212", "metricsAddress": "127.12.9.1:23213",
    "platform": "127.12.9.1:23214", "seeds": [], "remoteSeeds": ["127.12.9.2:23210"], "peerSecrets": ["sixteen bytes or more"]})";

/// Runs the loop until the condition holds; fails the test after a generous bound.
template<typename Condition>
void runUntil(Condition condition)
{
    const Time start = monotonicNow();
    while (!condition()) {
        REQUIRE(monotonicNow() - start < 30 * second);
        ev_run(EV_DEFAULT, EVRUN_ONCE);
    }
}

/// A balancer that takes views and reports them.
struct FakeBalancer {
    std::unique_ptr<FramedConnection> connection;
    std::optional<wire::NodeView> view;
    std::optional<Listener> listener;
    Codec codec;

    void listen(const Address &at)
    {
        listener.emplace(at, [this](int descriptor) {
            connection = std::make_unique<FramedConnection>(
                descriptor, FramedConnection::Callbacks{{}, [this](std::string_view payload) { receive(payload); }, [](const std::string &) {}});
            report(0);
        });
    }

    void receive(std::string_view payload)
    {
        wire::LocalMessage message;
        codec.decode(payload, message);
        view = message.view;
        report(view->generation);
    }

    void report(std::int64_t generation)
    {
        wire::LocalMessage message;
        wire::BalancerReport made;
        made.generationInForce = generation;
        wire::InstanceKey key;
        key.instance = idOf("dc1-e01");
        key.incarnation = 7;
        made.__set_instance(key);
        message.__set_report(made);
        connection->send(codec.encode(message));
    }
};

HttpResponse platformAnswer(const HttpRequest &request)
{
    if (request.path == "/v1/instances") {
        return {200, "application/json", {}, R"({"instances": [{"name": "t1", "role": "target", "team": "shop", "service": "booking", "dataCentre": "dc1",
            "address": "127.2.1.1:6001", "state": "live", "slots": 2}, {"name": "t2", "address": "not an address"}]})"};
    }
    if (request.method == "PUT") {
        return {200, "application/json", {}, R"({"version": 1, "changeId": ""})"};
    }
    return {200, "application/json", {}, R"({"revision": 2, "objects": [
        {"kind": "template", "name": "tools", "version": 1, "deleted": false, "changeId": "", "value": {"parameters": {}, "services": [{"name": "booking",
         "port": 5301, "session": false, "dataCentres": ["dc1"], "slots": 2, "urgency": 0, "floorShare": 0.6, "ceilingShare": 1.0, "defaultDeadlineMs": 2000,
         "workKinds": [{"name": "booking", "urgency": 0, "floorShare": 0.5, "ceilingShare": 1.0}]}]}},
        {"kind": "team", "name": "shop", "version": 1, "deleted": false, "changeId": "", "value": {"template": "tools", "parameters": {}}}]})"};
}

} // namespace

// Guards against settings errors that are only found at run time or that don't name the field.
TEST_CASE("agent settings are checked")
{
    CHECK(parseAgentSettings(parseSettings(validSettings, "agent.json")).remoteSeeds.size() == 1);
    struct Row {
        const char *field;
        nlohmann::json value;
        const char *named;
    };
    const std::vector<Row> rows{{"node", "Upper", "node"},
                                {"platform", "localhost", "platform"},
                                {"seeds", {"127.0.0.1"}, "seeds[0]"},
                                {"peerSecrets", nlohmann::json::array(), "peerSecrets"},
                                {"peerSecrets", {"short"}, "peerSecrets[0]"},
                                {"unknown", 1, "unknown"}};
    for (const Row &it : rows) {
        nlohmann::json value = nlohmann::json::parse(validSettings);
        value[it.field] = it.value;
        try {
            parseAgentSettings(parseSettings(value.dump(), "agent.json"));
            FAIL("accepted " << it.field);
        } catch (const SettingsError &error) {
            CHECK(error.field == it.named);
        }
    }
}

// Guards against an answer of the platform that is taken for an empty one, or that ends the agent.
TEST_CASE("answers to polls that aren't valid count as failed")
{
    for (const char *body : {"", "[]", R"({"revision": 1})", R"({"revision": 1, "objects": [{}]})", R"({"revision": "1", "objects": []})"}) {
        CHECK_FALSE(parseWatchAnswer(body).succeeded);
    }
    CHECK(parseWatchAnswer(R"({"revision": 1, "objects": []})").succeeded);
}

// Guards against a break on the way from the platform to the balancer, and against a restarted balancer that gets
// no view.
TEST_CASE("a view made from the platform's objects reaches the balancer, also after its restart")
{
    const AgentSettings settings = parseAgentSettings(parseSettings(validSettings, "agent.json"));
    std::vector<HttpResponder> polls;
    HttpServer platform(
        parseAddress(settings.platform),
        [&](const HttpRequest &request, const HttpResponder &respond) {
            if (request.path == "/v1/objects" && request.query.at("since") != "0") {
                polls.push_back(respond);
                return;
            }
            respond(platformAnswer(request));
        },
        1'000'000);
    FakeBalancer balancer;
    balancer.listen(parseAddress(settings.balancerViewAddress));
    const Agent agent(settings);
    const auto complete = [&] { return balancer.view && balancer.view->targets.size() == 1 && balancer.view->members.size() == 1; };
    runUntil(complete);
    CHECK(balancer.view->services.front().serviceName == "booking");
    CHECK(balancer.view->targets.front().address == "127.2.1.1:6001");
    CHECK(balancer.view->members.front().key.incarnation == 7);
    const std::int64_t before = balancer.view->generation;
    balancer.view.reset();
    balancer.connection->close();
    runUntil(complete);
    CHECK(balancer.view->generation > before);
}
