#include <pimentofoldctl/convergence.h>

#include <doctest/doctest.h>

using namespace pimentofold;
using namespace pimentofold::ctl;
using nlohmann::json;

namespace {

PlatformObject status(const char *name, std::int64_t objectVersion, std::int64_t inForce, json lagging = json::array())
{
    const json value = {{"writtenAt", 900},
                        {"platformReachable", true},
                        {"inForce", {{{"kind", "team"}, {"name", "shop"}, {"version", inForce}}}},
                        {"lagging", std::move(lagging)},
                        {"instances", {{{"node", "dc1-e01"}, {"state", "alive"}, {"viewGeneration", 3}}}}};
    return {{"status", name}, objectVersion, false, value, ""};
}

Convergence waitingFor(std::int64_t version)
{
    return {{{{"team", "shop"}, version, {"dc1.shop", "dc2.shop"}}}, {}};
}

struct Row {
    const char *what;
    std::vector<PlatformObject> seen;
    std::vector<std::string> lagging; ///< "STATUS:VERSION", with the version that is in force
};

} // namespace

// Guards against a --wait that ends early because of outdated or another team's status objects, or that doesn't end although
// all versions are in force.
TEST_CASE("versions that are not in force are found")
{
    const std::vector<Row> rows = {
        {"no status", {}, {"dc1.shop:0", "dc2.shop:0"}},
        {"one in force", {status("dc1.shop", 1, 5)}, {"dc2.shop:0"}},
        {"both in force", {status("dc1.shop", 1, 5), status("dc2.shop", 9, 5)}, {}},
        {"a later version is in force", {status("dc1.shop", 1, 6), status("dc2.shop", 9, 7)}, {}},
        {"older version", {status("dc1.shop", 1, 5), status("dc2.shop", 9, 4)}, {"dc2.shop:4"}},
        {"stale status after a newer one", {status("dc1.shop", 1, 5), status("dc2.shop", 9, 5), status("dc2.shop", 8, 4)}, {}},
        {"other team's status", {status("dc1.shop", 1, 5), status("dc2.foundation", 1, 5)}, {"dc2.shop:0"}},
        {"other kind", {status("dc1.shop", 1, 5), {{"team", "dc2.shop"}, 3, false, status("dc2.shop", 3, 5).value, ""}}, {"dc2.shop:0"}},
        {"broken status", {status("dc1.shop", 1, 5), {{"status", "dc2.shop"}, 3, false, json::parse(R"({"inForce": [7, {"kind": 3}]})"), ""}}, {"dc2.shop:0"}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        Convergence convergence = waitingFor(5);
        for (const PlatformObject &it : row.seen) {
            recordStatus(convergence, it);
        }
        std::vector<std::string> lagging;
        for (const LaggingVersion &it : findLaggingVersions(convergence, 1000)) {
            lagging.push_back(it.statusName + ":" + std::to_string(it.inForce));
        }
        CHECK(lagging == row.lagging);
    }
}

// Guards against output that doesn't name the nodes on which a version isn't in force.
TEST_CASE("lagging versions are shown with version, age and nodes")
{
    Convergence convergence = waitingFor(5);
    recordStatus(convergence, status("dc1.shop", 1, 4, {{{"kind", "team"}, {"name", "shop"}, {"nodes", {"dc1-e01", "dc1-e02"}}}}));
    const auto lagging = findLaggingVersions(convergence, 1000);
    REQUIRE(lagging.size() == 2);
    CHECK(toString(lagging[0]) == "dc1.shop: team/shop version 5 is not in force (version 4 is; last status 100 ms ago); lagging nodes: dc1-e01, dc1-e02");
    CHECK(toString(lagging[1]) == "dc2.shop: team/shop version 5 is not in force (no version reported; has written no status)");
}
