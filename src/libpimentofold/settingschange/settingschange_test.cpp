#include <doctest/doctest.h>

#include <functional>

#include <pimentofold/settingschange/settingschange.h>

using namespace pimentofold;

// Guards against settings of which a part is applied, and against nodes that silently go on with an address that has changed.
TEST_CASE("settings are refused exactly when a field that needs a restart has changed")
{
    EdgeSettings current;
    current.node = "n1";
    current.dataCentre = "a";
    current.packetAddress = {0x0a010001, 8172};
    current.readinessAddress = {0x0a010001, 8167};
    current.peerAddress = {0x0a010001, 7720};
    current.storeAddress = {0x0a0a0001, 8169};

    struct Row {
        std::string field; ///< refused field; empty: the change is applied
        std::function<void(EdgeSettings &)> change;
    };
    const Row rows[] = {
        {"", [](EdgeSettings &) {}},
        {"", [](EdgeSettings &it) { it.storeAddress.port = 8171; }},
        {"",
         [](EdgeSettings &it) {
             it.seeds = {{0x0a010002, 7720}};
         }},
        {"", [](EdgeSettings &it) { it.stopGracePeriod = second; }},
        {"", [](EdgeSettings &it) { it.firstStart = true; }},
        {"node", [](EdgeSettings &it) { it.node = "n2"; }},
        {"zone", [](EdgeSettings &it) { it.dataCentre = "b"; }},
        {"listen.packets", [](EdgeSettings &it) { it.packetAddress.ip = 0x0a010002; }},
        {"listen.readiness", [](EdgeSettings &it) { it.readinessAddress.port = 1; }},
        {"port_range", [](EdgeSettings &it) { it.peerAddress.port = 7800; }},
        {"zone",
         [](EdgeSettings &it) {
             it.storeAddress.port = 8171;
             it.dataCentre = "b";
         }},
    };
    for (const Row &row : rows) {
        CAPTURE(row.field);
        EdgeSettings changed = current;
        row.change(changed);
        const std::optional<RefusedSettings> refused = findRefusedChange(current, changed);
        CHECK((refused ? refused->field : "") == row.field);
        CHECK((!refused || !refused->value.empty()));
    }
}
