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

/// Runs the event loop until the condition holds; fails the test after 30 s.
template<typename Condition>
void runUntil(Condition condition)
{
    const Time start = monotonicNow();
    while (!condition()) {
        REQUIRE(monotonicNow() - start < 30 * second);
        ev_run(EV_DEFAULT, EVRUN_ONCE);
    }
}

/// Stand-in for the balancer: stores each view that it receives and reports the view's generation as in force.
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
        wire::BalancerReport balancerReport;
        balancerReport.generationInForce = generation;
        wire::InstanceKey key;
        key.instance = idOf("dc1-e01");
        key.incarnation = 7;
        balancerReport.__set_instance(key);
        message.__set_report(balancerReport);
        connection->send(codec.encode(message));
    }
};

HttpResponse platformResponse(const HttpRequest &request)
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

// Guards against invalid settings that are only detected at run time, and against errors that don't name the field.
TEST_CASE("agent settings are checked")
{
    CHECK(parseAgentSettings(parseSettings(validSettings, "agent.json")).remoteSeeds.size() == 1);
    struct Row {
        const char *field;
        nlohmann::json value;
        const char *expectedField;
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
            FAIL("invalid value accepted for field " << it.field);
        } catch (const SettingsError &error) {
            CHECK(error.field == it.expectedField);
        }
    }
}

// Guards against an invalid response of the platform that is processed as an empty one or terminates the agent.
TEST_CASE("invalid responses to long polls count as failed")
{
    for (const char *body : {"", "[]", R"({"revision": 1})", R"({"revision": 1, "objects": [{}]})", R"({"revision": "1", "objects": []})"}) {
        CHECK_FALSE(parseWatchResponse(body).succeeded);
    }
    CHECK(parseWatchResponse(R"({"revision": 1, "objects": []})").succeeded);
}

// Guards against a view that isn't delivered to the balancer although the platform has its objects, and against a restarted
// balancer that receives no view.
TEST_CASE("a view built from the platform's objects reaches the balancer, also after its restart")
{
    const AgentSettings settings = parseAgentSettings(parseSettings(validSettings, "agent.json"));
    std::vector<HttpResponder> pendingPolls;
    HttpServer platform(
        parseAddress(settings.platform),
        [&](const HttpRequest &request, const HttpResponder &respond) {
            if (request.path == "/v1/objects" && request.query.at("since") != "0") {
                pendingPolls.push_back(respond);
                return;
            }
            respond(platformResponse(request));
        },
        1'000'000);
    FakeBalancer balancer;
    balancer.listen(parseAddress(settings.balancerViewAddress));
    const Agent agent(settings);
    const auto viewIsComplete = [&] { return balancer.view && balancer.view->targets.size() == 1 && balancer.view->members.size() == 1; };
    runUntil(viewIsComplete);
    CHECK(balancer.view->services.front().serviceName == "booking");
    CHECK(balancer.view->targets.front().address == "127.2.1.1:6001");
    CHECK(balancer.view->members.front().key.incarnation == 7);
    const std::int64_t generationBefore = balancer.view->generation;
    balancer.view.reset();
    balancer.connection->close();
    runUntil(viewIsComplete);
    CHECK(balancer.view->generation > generationBefore);
}
