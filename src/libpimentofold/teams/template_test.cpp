#include <pimentofold/teams/template.h>

#include <doctest/doctest.h>

using namespace pimentofold;
using nlohmann::json;

namespace {

const json baseTemplate = json::parse(R"({
    "parameters": {
        "slots": {"type": "integer", "default": 3, "least": 1, "most": 64},
        "floor": {"type": "number", "default": 0.5},
        "places": {"type": "strings", "default": ["dc1", "dc2"]},
        "sticky": {"type": "boolean", "default": true}
    },
    "services": [
        {
            "name": "lookup", "port": 5301, "session": "${sticky}", "dataCentres": "${places}", "slots": "${slots}",
            "floorShare": "${floor}", "workKinds": [{"name": "lookup", "floorShare": 0.5}, {"name": "ruling", "floorShare": 0.2}],
            "targets": [{"instance": "t1", "dataCentre": "dc1", "address": "127.2.1.1:6001"}]
        },
        {"name": "list", "port": 5302, "dataCentres": ["dc1"], "slots": 2, "floorShare": 0.2, "workKinds": [{"name": "list"}]}
    ]
})");

const json baseTeam = json::parse(R"({"template": "lexikon", "parameters": {"slots": 4}})");

json patched(json value, const char *pointer, const char *replacement)
{
    value[json::json_pointer(pointer)] = json::parse(replacement);
    return value;
}

TeamSpec expand(const json &from, const json &team)
{
    return expandTeam(parseTemplate("lexikon", from), parseTeam("foundation", team));
}

struct BadCase {
    const char *pointer;
    const char *replacement;
    const char *file;
    const char *field;
    const char *expected;
};

template<typename F>
void checkError(const BadCase &row, const F &parse)
{
    CAPTURE(row.pointer);
    CAPTURE(row.replacement);
    try {
        parse();
        FAIL_CHECK("no error");
    } catch (const SettingsError &error) {
        CHECK(error.file == row.file);
        CHECK(error.field == row.field);
        CHECK_MESSAGE(error.expected.find(row.expected) != std::string::npos, error.expected);
    }
}

TeamSecret filled(std::uint8_t byte)
{
    TeamSecret secret{};
    secret.fill(byte);
    return secret;
}

SecretSource countingSource(std::uint8_t &n)
{
    return [&n](TeamSecret &secret) { secret = filled(++n); };
}

} // namespace

// Guards against parameters that are ignored or change their type when they are substituted in the services.
TEST_CASE("a team expands to its services")
{
    const TeamSpec team = expand(baseTemplate, baseTeam);
    CHECK(team.name == "foundation");
    REQUIRE(team.services.size() == 2);
    const ServiceSpec &lookup = team.services[0];
    CHECK(lookup.port == 5301);
    CHECK(lookup.session);
    CHECK(lookup.slots == 4);
    CHECK(lookup.floorShare == 0.5);
    CHECK(lookup.dataCentres == std::vector<std::string>{"dc1", "dc2"});
    REQUIRE(lookup.workKinds.size() == 2);
    CHECK(lookup.workKinds[1].name == "ruling");
    REQUIRE(lookup.targets.size() == 1);
    CHECK(lookup.targets[0].slots == 4);
    CHECK(team.services[1].defaultDeadlineMs == 2000);
    CHECK_FALSE(expand(baseTemplate, patched(baseTeam, "/parameters/sticky", "false")).services[0].session);
}

// Guards against invalid templates that are accepted, and against errors that don't name the invalid field.
TEST_CASE("errors of a template name the field and what was expected")
{
    const BadCase cases[] = {
        {"/services/0/port", "0", "template/lexikon", "services[0].port", "from 1 to 65535"},
        {"/services/0/port", "\"5301\"", "template/lexikon", "services[0].port", "an integer"},
        {"/services/1/port", "5301", "template/lexikon", "services[1].port", "no other service"},
        {"/services/1/name", "\"lookup\"", "template/lexikon", "services[1].name", "no other service"},
        {"/services/1/name", "\"Li st\"", "template/lexikon", "services[1].name", "lower-case"},
        {"/services/1/name", "\"a.b\"", "template/lexikon", "services[1].name", "lower-case letters, digits and '-'"},
        {"/services/1/floorShare", "0.6", "template/lexikon", "services", "sum to at most 1"},
        {"/services/1/floorShare", "1.5", "template/lexikon", "services[1].floorShare", "from 0 to 1"},
        {"/services/1/ceilingShare", "0.1", "template/lexikon", "services[1].ceilingShare", "at least the floorShare"},
        {"/services/0/workKinds/1/floorShare", "0.6", "template/lexikon", "services[0].workKinds", "sum to at most 1"},
        {"/services/0/workKinds/1/name", "\"lookup\"", "template/lexikon", "services[0].workKinds[1].name", "no other kind"},
        {"/services/0/workKinds/1/urgency", "10", "template/lexikon", "services[0].workKinds[1].urgency", "from 0 to 9"},
        {"/services/0/workKinds/1/urgncy", "1", "template/lexikon", "services[0].workKinds[1].urgncy", "unknown field"},
        {"/services/1/workKinds", "[]", "template/lexikon", "services[1].workKinds", "at least one"},
        {"/services/1/dataCentres", "[]", "template/lexikon", "services[1].dataCentres", "at least one"},
        {"/services/1/dataCentres", R"(["dc1", "dc1"])", "template/lexikon", "services[1].dataCentres[1]", "twice"},
        {"/services/1/defaultDeadlineMs", "30001", "template/lexikon", "services[1].defaultDeadlineMs", "to 30000"},
        {"/services/1/slots", "\"${slotz}\"", "template/lexikon", "services[1].slots", "a declared parameter"},
        {"/services/0/targets/0/dataCentre", "\"dc9\"", "template/lexikon", "services[0].targets[0].dataCentre", "one of the service's"},
        {"/services/0/targets/0/address", "\"somewhere\"", "template/lexikon", "services[0].targets[0].address", "IPv4"},
        {"/services", "[]", "template/lexikon", "services", "at least one"},
        {"/services", "3", "template/lexikon", "services", "an array of objects"},
        {"/service", "3", "template/lexikon", "service", "unknown field"},
        {"/parameters", "[]", "template/lexikon", "parameters", "a JSON object"},
        {"/parameters/slots/type", "\"int\"", "template/lexikon", "parameters.slots.type", "one of integer"},
        {"/parameters/slots/default", "65", "template/lexikon", "parameters.slots.default", "at most 64"},
        {"/parameters/slots", R"({"type": "integer"})", "template/lexikon", "parameters.slots.default", "missing"},
        {"/parameters/slots/least", "65", "template/lexikon", "parameters.slots.most", "at least 'least'"},
        {"/parameters/places/least", "1", "template/lexikon", "parameters.places.least", "no bound"},
        {"/parameters/floor/default", "1.5", "template/lexikon", "services[0].floorShare", "parameter 'floor'"},
    };
    for (const BadCase &it : cases) {
        checkError(it, [&it] { parseTemplate("lexikon", patched(baseTemplate, it.pointer, it.replacement)); });
    }
}

// Guards against invalid teams that are accepted, and against errors that name the template when a team's parameter is
// invalid.
TEST_CASE("errors of a team name the parameter")
{
    const BadCase cases[] = {
        {"/parameters/slots", "65", "team/foundation", "parameters.slots", "an integer of at least 1 and at most 64"},
        {"/parameters/slots", "2.5", "team/foundation", "parameters.slots", "an integer"},
        {"/parameters/places", R"(["dc1", 2])", "team/foundation", "parameters.places", "an array of strings"},
        {"/parameters/slotz", "1", "team/foundation", "parameters.slotz", "floor, places, slots, sticky"},
        {"/parameters/places", R"(["dc1", "DC"])", "template/lexikon", "services[0].dataCentres[1]", "parameter 'places' of team 'foundation'"},
        {"/parameters/floor", "0.9", "template/lexikon", "services", "sum to at most 1"},
        {"/template", "7", "team/foundation", "template", "a string"},
        {"/parameters", "[]", "team/foundation", "parameters", "a JSON object"},
        {"/extra", "[]", "team/foundation", "extra", "unknown field"},
    };
    for (const BadCase &it : cases) {
        checkError(it, [&it] { expand(baseTemplate, patched(baseTeam, it.pointer, it.replacement)); });
    }
}

// Guards against writing a value that the platform refuses as too large.
TEST_CASE("values near the platform's limit are refused")
{
    const std::string text(maxObjectValueBytes, 'x');
    checkError({"", "", "team/foundation", "", "at most 950000 bytes"}, [&text] {
        parseTeam("foundation", {{"template", "lexikon"}, {"parameters", {{"a", text}}}});
    });
    checkError({"", "", "drain/a.b.c", "", "at most 950000 bytes"}, [&text] { parseDrain("a.b.c", {{"reason", text}}); });
}

// Guards against names of drain objects that can't be split into team, service and instance.
TEST_CASE("names of drain objects")
{
    CHECK(toString(DrainName{"foundation", "lookup", "t1.rack2"}) == "foundation.lookup.t1.rack2");
    const auto drain = parseDrainName("foundation.lookup.t1.rack2");
    REQUIRE(drain);
    CHECK(drain->instance == "t1.rack2");
    for (const char *it : {"", "a", "a.b", "a.b.", ".b.c", "a..c", "A.b.c", "a.b.c d"}) {
        CAPTURE(it);
        CHECK_FALSE(parseDrainName(it));
    }
    CHECK(parseDrain("a.b.c", {{"reason", "disk"}}) == "disk");
}

// Guards against keys objects whose epochs are missing or out of order, and against errors that disclose a secret.
TEST_CASE("errors of keys name the field and never a secret")
{
    const std::string secret(64, 'a');
    const json base = {{"epochs", {{{"epoch", 2}, {"secret", secret}}, {{"epoch", 1}, {"secret", secret}, {"validUntil", 5}}}}};
    const BadCase cases[] = {
        {"/epochs", "[]", "keys/shop", "epochs", "1 to 8 epochs"},
        {"/epochs/0/epoch", "1", "keys/shop", "epochs[1].epoch", "newest comes first"},
        {"/epochs/0/epoch", "0", "keys/shop", "epochs[0].epoch", "from 1"},
        {"/epochs/1/secret", "\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"", "keys/shop", "epochs[1].secret", "64 hex"},
        {"/epochs/1/secret", "\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaag\"", "keys/shop", "epochs[1].secret", "64 hex"},
        {"/epochs/1/validUntil", "-1", "keys/shop", "epochs[1].validUntil", "from 0"},
        {"/epochs/1/colour", "1", "keys/shop", "epochs[1].colour", "unknown field"},
    };
    for (const BadCase &it : cases) {
        checkError(it, [&it, &base] {
            try {
                parseKeys("shop", patched(base, it.pointer, it.replacement));
            } catch (const SettingsError &error) {
                CHECK(std::string(error.what()).find("aaaa") == std::string::npos);
                throw;
            }
        });
    }
    CHECK(keysValue(parseKeys("shop", base))["epochs"][0]["secret"] == secret);
}

// Guards against a rotation of keys that invalidates tokens early, and against new tokens under an epoch that other
// balancers don't have yet.
TEST_CASE("rotation of keys")
{
    constexpr WallTime now = 1'000'000'000;
    std::uint8_t n = 0;
    const TeamKeys initial = rotateKeys({"shop", {}}, now, countingSource(n));
    REQUIRE(initial.epochs.size() == 1);
    CHECK(initial.epochs[0].epoch == 1);
    CHECK(initial.epochs[0].useFrom == 0);

    const TeamKeys rotated = parseKeys("shop", keysValue(rotateKeys(initial, now, countingSource(n))));
    REQUIRE(rotated.epochs.size() == 2);
    CHECK(rotated.epochs[0].epoch == 2);
    CHECK(rotated.epochs[0].secret == filled(2));
    CHECK(rotated.epochs[1].validUntil == now + keyUseDelayMs + replacedKeyValidMs);

    CHECK(keysInUse(rotated, now).front().epoch == 1);
    CHECK(keysInUse(rotated, now).size() == 2);
    CHECK(keysInUse(rotated, now + keyUseDelayMs).front().epoch == 2);
    CHECK(keysInUse(rotated, rotated.epochs[1].validUntil).size() == 1);

    TeamKeys many = initial;
    for (int i = 1; i < static_cast<int>(maxKeyEpochs); ++i) {
        many = rotateKeys(many, now, countingSource(n));
    }
    CHECK(many.epochs.size() == maxKeyEpochs);
    checkError({"", "", "keys/shop", "epochs", "fewer than 8"}, [&many, &n] { rotateKeys(many, now, countingSource(n)); });
    const TeamKeys later = rotateKeys(many, now + 2 * replacedKeyValidMs, countingSource(n));
    CHECK(later.epochs.size() == 2);
    CHECK(later.epochs[0].epoch == 9);
}
