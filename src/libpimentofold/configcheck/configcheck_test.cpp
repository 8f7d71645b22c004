#include <doctest/doctest.h>

#include <pimentofold/configcheck/configcheck.h>

using namespace pimentofold;

namespace {

using Codes = std::vector<FindingCode>;

/// @return a valid configuration: two services that share each of two routes
ConfigDescription makeConfig()
{
    ConfigDescription config;
    config.servicesDecoded = true;
    for (const char *it : {"x", "y"}) {
        config.services.push_back({it, {}, true, 10, {}, 0, 0, {}, {}});
    }
    for (const std::uint16_t port : {1, 2}) {
        const std::string routeName(1, static_cast<char>('a' + port));
        config.routes.push_back({routeName, {}, Address{1, port}, {{"x", 1, {}}, {"y", 0, {}}}, true, {}, 200 * millisecond, {}, 500 * millisecond, {}});
    }
    config.idleTimeout = 500 * millisecond;
    return config;
}

Codes codesOf(const std::vector<ConfigFinding> &findings)
{
    Codes result;
    for (const ConfigFinding &it : findings) {
        result.push_back(it.code);
    }
    return result;
}

std::vector<DescribedField> makeFields(const std::string &goal)
{
    return {{"aim_ms", goal, {4, 1, "routes[0].aim_ms"}}};
}

} // namespace

// Guards against entries without effect and contradicting limits that pass unnoticed, and against errors where limits are equal
// or not set.
TEST_CASE("entries without effect and contradicting limits are found")
{
    struct Row {
        const char *what;
        void (*change)(ConfigDescription &);
        Codes expected;
    };
    using Config = ConfigDescription;
    const Row rows[] = {
        {"valid", [](Config &) {}, {}},
        {"goal is the timeout", [](Config &it) { it.routes[0].responseTimeGoal = it.routes[0].timeout; }, {}},
        {"goal above the timeout", [](Config &it) { ++(it.routes[0].responseTimeGoal = it.routes[0].timeout); }, {FindingCode::GoalAboveTimeout}},
        {"goal without timeout", [](Config &it) { it.routes[0].timeout = 0; }, {}},
        {"idle timeout below one", [](Config &it) { ++it.routes[1].timeout; }, {FindingCode::IdleTimeoutBelowTimeout}},
        {"idle timeout not set", [](Config &it) { it.idleTimeout = 0; }, {}},
        {"no connections", [](Config &it) { it.services[1].maxConnections = 0; }, {FindingCode::NoConnections}},
        {"connections not limited", [](Config &it) { it.services[1].maxConnections.reset(); }, {}},
        {"cold without rate", [](Config &it) { it.services[1].coldTime = 1; }, {FindingCode::NoColdRate}},
        {"cold with rate", [](Config &it) { it.services[1].coldTime = 1, it.services[1].coldRate = 0.5; }, {}},
        {"same host and port", [](Config &it) { it.routes[0].address = it.routes[1].address; }, {FindingCode::ShadowedRoute}},
        {"unreadable addresses", [](Config &it) { it.routes[0].address = it.routes[1].address = std::nullopt; }, {}},
        {"same route name", [](Config &it) { it.routes[0].name = it.routes[1].name; }, {FindingCode::DuplicateRoute}},
        {"unreadable route names", [](Config &it) { it.routes[0].name = it.routes[1].name = ""; }, {}},
        {"no weight", [](Config &it) { it.routes[0].services[0].weight = 0; }, {FindingCode::NoWeight}},
        {"one unlisted", [](Config &it) { it.routes[0].services[0].service = "z"; }, {FindingCode::UnknownService}},
        {"all unlisted",
         [](Config &it) {
             it.routes[0].services = {{"z", 1, {}}};
         },
         {FindingCode::UnknownService, FindingCode::NoListedService}},
        {"services unreadable", [](Config &it) { it.services.clear(), it.servicesDecoded = false; }, {}},
        {"service of no route", [](Config &it) { it.routes[0].services.pop_back(), it.routes[1].services.pop_back(); }, {FindingCode::UnusedService}},
        {"half without health path", [](Config &it) { it.services[0].hasHealthPath = false; }, {FindingCode::NoHealthPath}},
        {"no health paths", [](Config &it) { it.services[0].hasHealthPath = it.services[1].hasHealthPath = false; }, {}},
        {"same service", [](Config &it) { it.services.push_back(it.services[0]); }, {FindingCode::DuplicateService}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ConfigDescription config = makeConfig();
        row.change(config);
        std::vector<ConfigFinding> findings;
        addConfigFindings(config, findings);
        CHECK(codesOf(findings) == row.expected);
    }
}

// Guards against differences that are missed, and against a changed order that is taken for a difference.
TEST_CASE("versions are compared by the names of services and routes")
{
    struct Row {
        const char *what;
        void (*change)(ConfigDescription &);
        Codes expected;
    };
    using Config = ConfigDescription;
    const Row rows[] = {
        {"equal", [](Config &) {}, {}},
        {"order", [](Config &it) { std::swap(it.routes[0], it.routes[1]), std::swap(it.services[0], it.services[1]); }, {}},
        {"field changed", [](Config &it) { it.routes[0].fields = makeFields("300"); }, {FindingCode::Changed}},
        {"field added", [](Config &it) { it.routes[1].fields = makeFields("200"); }, {FindingCode::Added}},
        {"field removed", [](Config &it) { it.routes[0].fields.clear(); }, {FindingCode::Removed}},
        {"version", [](Config &it) { it.fields[0].value = "8"; }, {FindingCode::Changed}},
        {"service added",
         [](Config &it) {
             it.services.push_back({"z", {}, true, {}, {}, 0, 0, {}, {}});
         },
         {FindingCode::Added}},
        {"service removed", [](Config &it) { it.services.pop_back(); }, {FindingCode::Removed}},
        {"route renamed", [](Config &it) { it.routes[0].name = "z"; }, {FindingCode::Added, FindingCode::Removed}},
        {"second of the same name", [](Config &it) { it.routes.push_back(it.routes[0]); }, {FindingCode::Added}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ConfigDescription before = makeConfig();
        before.fields = {{"version", "7", {}}};
        before.routes[0].fields = makeFields("200");
        ConfigDescription after = before;
        row.change(after);
        CHECK(codesOf(compareConfigs(before, after)) == row.expected);
    }
}
