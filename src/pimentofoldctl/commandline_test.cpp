#include <filesystem>
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include <pimentofold/eventlog.h>

#include <pimentofoldctl/difference.h>
#include <pimentofoldctl/objectfile.h>
#include <pimentofoldctl/options.h>
#include <pimentofoldctl/program.h>

using namespace pimentofold;
using namespace pimentofold::ctl;
using nlohmann::json;

namespace {

struct Line {
    std::vector<std::string> arguments;
    int exit;
    const char *text; ///< substring of the output or the error
};

std::vector<FileObject> files(const std::string &text)
{
    return parseObjectFile(text, "x.json");
}

const char *const templateFile = R"({"objects": [{"kind": "template", "name": "t", "value": {
    "parameters": {"slots": {"type": "integer", "default": 1}},
    "services": [{"name": "s", "port": 1, "dataCentres": ["dc1"], "slots": "${slots}", "workKinds": [{"name": "w"}]}]}}]})";

} // namespace

// Guards against invalid command lines that are accepted, options that are ignored silently, and wrong exit codes.
TEST_CASE("command lines and exit codes")
{
    const std::string platform = "127.14.0.1:25999";
    const Line lines[] = {
        {{}, 2, "expected a command"},
        {{"--help"}, 0, "exit codes"},
        {{"--version"}, 0, "pimentofoldctl 9.9"},
        {{"apply", "--help"}, 0, "--dry-run"},
        {{"frobnicate"}, 2, "no command named 'frobnicate'"},
        {{"apply", "--platform", platform}, 2, "apply FILE..."},
        {{"apply", "x.json"}, 2, "--platform"},
        {{"apply", "--platform", "localhost:80", "x.json"}, 2, "IPv4"},
        {{"apply", "--platform", platform, "--operator", "a.b", "x.json"}, 2, "--operator"},
        {{"apply", "--platform", platform, "--if-version", "-4", "x.json"}, 2, "--if-version"},
        {{"apply", "--platform", platform, "--if-version", "x", "x.json"}, 2, "if-version"},
        {{"apply", "--platform", platform, "--deadline-ms", "0", "x.json"}, 2, "--deadline-ms"},
        {{"list", "--platform", platform, "--flow", "100.66.0.14:1372"}, 2, "--flow"},
        {{"timeline", "--flow", "100.66.0.14", "x.log"}, 2, "--flow"},
        {{"config", "check", "/nonexistent/x.json"}, 2, "expected a readable file"},
        {{"config", "check", "/tmp"}, 2, "expected a readable file"},
        {{"config", "check", "127.0.0.1:9464"}, 2, "nodes don't serve their configuration"},
        {{"config", "write", "x.json"}, 2, "config check FILE"},
        {{"config", "check", "x.json", "--flow", "100.66.0.14:1372"}, 2, "--flow"},
        {{"validate", "x.json", "--strict"}, 2, "--strict"},
        {{"validate", "x.json", "--against", "y.json"}, 2, "--against"},
        {{"timeline", "--flow", "100.66.0.14:1372>198.18.0.1", "x.log"}, 2, "--flow"},
        {{"timeline", "--flow", "100.66.0.14:1372>198.18.0.1:443", "/nonexistent/x.log"}, 1, "readable file"},
        {{"apply", "--platfrm", platform, "x.json"}, 2, "--platfrm"},
        {{"get", "team", "a", "--platform", platform, "--wait"}, 2, "--wait: not an option of 'get'"},
        {{"get", "team", "a", "--platform", platform, "--reason", "x"}, 2, "--reason"},
        {{"keys", "turn", "a", "--platform", platform}, 2, "keys rotate TEAM"},
        {{"validate", "--settings", "/nonexistent/ctl.json", "x.json"}, 2, "readable file"},
        {{"validate", "/nonexistent/x.json"}, 1, "readable file"},
        {{"get", "colour", "a", "--platform", platform}, 1, "one of template"},
        {{"get", "team", "a/../b", "--platform", platform}, 1, "lower-case"},
        {{"get", "team", "a", "--platform", platform, "--deadline-ms", "1"}, 4, "no answer"},
    };
    for (const Line &it : lines) {
        CAPTURE(it.text);
        std::ostringstream out;
        CHECK(runProgram(it.arguments, "9.9", out, out) == it.exit);
        CHECK_MESSAGE(out.str().find(it.text) != std::string::npos, out.str());
    }
}

// Guards against settings that are accepted without validation.
TEST_CASE("settings of the operators' command")
{
    const Options options = parseCtlSettings(parseSettings(R"({"platform": "127.0.0.1:8080", "operator": "alice", "deadlineMs": 5000})", "c.json"));
    CHECK(options.platform == "127.0.0.1:8080");
    CHECK(options.author == "alice");
    CHECK(options.deadline == 5 * second);
    for (const char *it : {R"({"platform": 1})", R"({"deadlineMs": 0})", R"({"colour": 1})"}) {
        CHECK_THROWS_AS(parseCtlSettings(parseSettings(it, "c.json")), SettingsError);
    }
}

// Guards against invalid object files that are accepted, and errors that don't name the file.
TEST_CASE("object files")
{
    CHECK(files(templateFile).size() == 1);
    CHECK(files(R"({"kind": "team", "name": "a", "value": {}, "version": 4, "changeId": "x", "deleted": false})").front().version == 4);
    for (const char *it : {"[]",
                           "{",
                           R"({"kind": "keys", "name": "a", "value": {}})",
                           R"({"kind": "team", "name": "a"})",
                           R"({"kind": "team", "name": "a", "value": 1})",
                           R"({"kind": "team", "name": "a", "value": {}, "version": -1})",
                           R"({"kind": "team", "name": "a", "value": {}, "colour": 1})",
                           R"({"objects": [], "colour": 1})"}) {
        CAPTURE(it);
        CHECK_THROWS_WITH_AS(files(it), doctest::Contains("x.json"), SettingsError);
    }
}

// Guards against a changed template that makes an existing team invalid which isn't in the file.
TEST_CASE("objects are checked together with those that exist")
{
    const auto objects = files(templateFile);
    const ObjectValues fits = {{{"team", "a"}, {{"template", "t"}, {"parameters", {{"slots", 2}}}}}};
    const ObjectValues broken = {{{"team", "a"}, {{"template", "t"}, {"parameters", {{"gone", 2}}}}}};
    CHECK_NOTHROW(checkObjects(objects, fits));
    CHECK_THROWS_WITH_AS(checkObjects(objects, broken), doctest::Contains("team/a: field 'parameters.gone'"), SettingsError);
    CHECK_THROWS_WITH_AS(
        checkObjects(files(R"({"kind": "team", "name": "a", "value": {"template": "t"}})"), {}), doctest::Contains("template/t"), SettingsError);
    CHECK(affectedTeams({"template", "t"}, fits) == std::vector<std::string>{"a"});
    CHECK(affectedTeams({"drain", "a.s.t1"}, {}) == std::vector<std::string>{"a"});
}

// Guards against differences that omit a changed field or reveal a secret.
TEST_CASE("difference of two values")
{
    const json before = {{"a", 1}, {"list", {{{"x", 1}}, {{"x", 2}}}}, {"gone", true}};
    const json after = {{"a", 1}, {"list", {{{"x", 3}}}}, {"fresh", "y"}};
    const std::string text = toText(difference("team", before, after));
    for (const char *it : {"  list[0].x: 1 -> 3\n", "  list[1]: {\"x\":2} -> (absent)\n", "  gone: true -> (absent)\n", "  fresh: (absent) -> \"y\"\n"}) {
        CHECK_MESSAGE(text.find(it) != std::string::npos, text);
    }
    CHECK(difference("team", before, before).empty());
    const json keys = {{"epochs", {{{"epoch", 1}, {"secret", "abcdef"}}}}};
    CHECK(toText(difference("keys", json(), keys)).find("abcdef") == std::string::npos);
    CHECK(withoutSecrets("keys", {{"secret", "abcdef"}}).is_null());
}

// Guards against a failed request whose cause the command doesn't name: the log lines of a lost target are replayed.
TEST_CASE("the command follows a flow to the verdict on its target")
{
    const std::filesystem::path file = std::filesystem::temp_directory_path() / ("flow-" + std::to_string(wallNow()) + ".log");
    std::ofstream(file) << "time=1001 hlc=11 node=dc1-e2 event=flow_placed flow=100.66.0.14:1372>198.18.0.1:8443 target=i-1 load=3\n"
                           "time=5700 hlc=22 node=dc1-e3 event=target_lost target=i-1 flow=none reason=none stalled_flows=4 reporting_nodes=2\n"
                           "time=5752 hlc=23 node=dc1-e1 event=flow_reset target=i-1 flow=100.66.0.14:1372>198.18.0.1:8443 reason=working\n";
    std::ostringstream out;
    CHECK(runProgram({"timeline", "--flow", "100.66.0.14:1372>198.18.0.1:8443", file.string()}, "9.9", out, out) == 0);
    for (const char *it : {"0 ms dc1-e2: placed on target i-1", "declared lost: 4 stalled flows, reported by 2 nodes", "reset by dc1-e1: target i-1"}) {
        CHECK_MESSAGE(out.str().find(it) != std::string::npos, it);
    }
    std::filesystem::remove(file);
}
