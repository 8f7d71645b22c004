#include <pimentofold/settings.h>

#include <doctest/doctest.h>

using namespace pimentofold;

namespace {

struct Case {
    const char *text;
    const char *field;
    const char *expected;
};

void parseExample(const std::string &text)
{
    SettingsObject top = parseSettings(text, "x.json");
    takeString(top, "node");
    takeInteger(top, "port", 1, 65535);
    takeBoolean(top, "fast", false);
    takeAddress(top, "listen");
    for (SettingsObject &it : takeObjects(top, "peers")) {
        takeInteger(it, "weight", 0, 10);
        finishSettings(it);
    }
    finishSettings(top);
}

} // namespace

// Guards against settings errors that don't name the file and the field that are wrong.
TEST_CASE("settings errors name file, field and what was expected")
{
    const Case cases[] = {
        {R"({"port": 1, "listen": "127.0.0.1:1"})", "node", "missing"},
        {R"({"node": 3, "port": 1, "listen": "127.0.0.1:1"})", "node", "a string"},
        {R"({"node": "a", "port": 70000, "listen": "127.0.0.1:1"})", "port", "from 1 to 65535"},
        {R"({"node": "a", "port": 18446744073709551615, "listen": "127.0.0.1:1"})", "port", "integer"},
        {R"({"node": "a", "port": 1.5, "listen": "127.0.0.1:1"})", "port", "integer"},
        {R"({"node": "a", "port": 1, "listen": "127.0.0.1"})", "listen", "IPv4"},
        {R"({"node": "a", "port": 1, "listen": "127.0.0.1:1", "fast": 1})", "fast", "true or false"},
        {R"({"node": "a", "port": 1, "listen": "127.0.0.1:1", "peers": [{"weight": 11}]})", "peers[0].weight", "to 10"},
        {R"({"node": "a", "port": 1, "listen": "127.0.0.1:1", "peers": [{"weight": 1, "wieght": 1}]})", "peers[0].wieght", "unknown field"},
        {R"({"node": "a", "port": 1, "listen": "127.0.0.1:1", "colour": 1})", "colour", "unknown field"},
        {"[1]", "", "a JSON object"},
        {"{", "", "JSON with comments"},
    };
    for (const Case &it : cases) {
        CAPTURE(it.text);
        try {
            parseExample(it.text);
            FAIL("no error");
        } catch (const SettingsError &error) {
            CHECK(error.file == "x.json");
            CHECK(error.field == it.field);
            CHECK(error.expected.find(it.expected) != std::string::npos);
        }
    }
}

TEST_CASE("comments are allowed in settings")
{
    CHECK_NOTHROW(parseExample("{ // name\n \"node\": \"a\", /* UDP */ \"port\": 1, \"listen\": \"127.0.0.1:1\"}"));
}
