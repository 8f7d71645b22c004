#include <algorithm>

#include <doctest/doctest.h>

#include <pimentofold/random.h>
#include <platform/configtext.h>
#include <platform/storecalls.h>

using namespace pimentofold;
using namespace pimentofold::platform;

namespace {

const std::string valid = R"({"meta":{"name":"main","revision":9},"spec":{"version":7,
"services":[{"name":"x","health_path":"/h","max_conns":9,"cold_start_s":2.5,"cold_per_s":0.5},
{"name":"y","health_path":"/h"}],
"routes":[{"name":"a","host":"198.18.0.1","path_prefix":"/8443/","type":"safe","aim_ms":200,"timeout_ms":900,"priority":2,
"backends":[{"service":"x","weight":90},{"service":"y","weight":10}],"max_attempts":2},
{"name":"b","host":"198.18.0.2","path_prefix":"/80/","type":"unsafe","service":"x"}],
"limits":{"idle_timeout_ms":15000}}})";

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = valid;
    text.replace(text.find(from), from.size(), to);
    return text;
}

/// @return the text from the position on
std::string textAt(const std::string &text, const FieldLocation &location)
{
    std::size_t begin = 0;
    for (std::size_t n = 1; n < location.line; ++n) {
        begin = text.find('\n', begin) + 1;
    }
    return text.substr(begin + location.column - 1);
}

/// Checks that nodes use a configuration without errors as a whole.
void checkAgainstDecoder(const std::string &text, const std::vector<ConfigFinding> &findings)
{
    if (std::ranges::any_of(findings, [](const ConfigFinding &it) { return severityOf(it.code) == FindingSeverity::Error; })) {
        return;
    }
    const std::optional<StoreResponse> response =
        decodeStoreResponse(StoreKind::Config, std::string(R"({"items":[)").append(text).append(R"(],"has_more":false,"store_revision":50})"));
    REQUIRE(response);
    const auto *config = std::get_if<EdgeConfig>(&response->objects.at(0));
    REQUIRE_MESSAGE(config != nullptr, text);
    CHECK_MESSAGE(config->unreadableRoutes.empty(), text);
    CHECK_MESSAGE(config->unreadableServices.empty(), text);
    for (const ConfigProblem &it : config->problems) {
        CHECK_MESSAGE(it.problem.find("type is unknown") != std::string::npos, text);
    }
}

} // namespace

// Guards against invalid fields that pass unnoticed, are reported at a wrong place, or hide errors elsewhere.
TEST_CASE("invalid fields of a configuration are reported with their position")
{
    struct Row {
        std::string from;
        std::string to;
        FindingCode code;
        std::string field;
        std::string at; ///< beginning of the text at the reported position
    };
    const Row rows[] = {
        {"\"limits\":{", "\"limits\":[", FindingCode::NotJson, "", ":15000"},
        {R"("/h")", R"("\udce9")", FindingCode::NotJson, "", R"("\udce9")"},
        {"15000", "1e400", FindingCode::NotJson, "", "1e400}"},
        {R"("version":7)", R"("version":"7")", FindingCode::WrongType, "version", R"("7",)"},
        {R"("version":7)", R"("version":9223372036854775808)", FindingCode::OutOfRange, "version", "9223372036854775808,"},
        {R"("version":7,)", "", FindingCode::MissingField, "version", "{\n\"services\""},
        {R"("name":"x")", R"("name":7)", FindingCode::WrongType, "services[0].name", R"(7,"health_path")"},
        {R"("name":"y",)", "", FindingCode::MissingField, "services[1].name", R"({"health_path":"/h"}])"},
        {R"("max_conns":9)", R"("max_conns":9.5)", FindingCode::WrongType, "services[0].max_conns", "9.5,"},
        {R"("cold_start_s":2.5)", R"("cold_start_s":86401)", FindingCode::OutOfRange, "services[0].cold_start_s", "86401,"},
        {R"("cold_per_s":0.5)", R"("cold_per_s":null)", FindingCode::WrongType, "services[0].cold_per_s", "null}"},
        {R"("host":"198.18.0.1")", R"("host":"a.name")", FindingCode::InvalidHost, "routes[0].host", R"("a.name",)"},
        {R"("host":"198.18.0.1")", R"("host":"::1")", FindingCode::InvalidHost, "routes[0].host", R"("::1",)"},
        {R"("/8443/")", R"("/0/")", FindingCode::InvalidPort, "routes[0].path_prefix", R"("/0/",)"},
        {R"("/8443/")", R"("/65536/")", FindingCode::InvalidPort, "routes[0].path_prefix", R"("/65536/",)"},
        {R"("/8443/")", "8443", FindingCode::WrongType, "routes[0].path_prefix", "8443,"},
        {R"("type":"safe")", R"("type":"later")", FindingCode::UnknownType, "routes[0].type", R"("later",)"},
        {R"("type":"safe",)", "", FindingCode::MissingField, "routes[0].type", R"({"name":"a")"},
        {R"("aim_ms":200)", R"("aim_ms":-1)", FindingCode::OutOfRange, "routes[0].aim_ms", "-1,"},
        {R"("aim_ms":200)", R"("aim_ms":200,"aim_ms":201)", FindingCode::DuplicateField, "routes[0].aim_ms", "201,"},
        {R"("priority":2)", R"("priority":1001)", FindingCode::OutOfRange, "routes[0].priority", "1001,"},
        {R"("timeout_ms":900)", R"("timeout_ms":86400001)", FindingCode::OutOfRange, "routes[0].timeout_ms", "86400001,"},
        {R"("weight":90)", R"("weight":"most")", FindingCode::WrongType, "routes[0].backends[0].weight", R"("most"})"},
        {R"("weight":90)", R"("weight":-0.5)", FindingCode::OutOfRange, "routes[0].backends[0].weight", "-0.5}"},
        {R"({"service":"x","weight":90})", "null", FindingCode::WrongType, "routes[0].backends[0]", "null,"},
        {R"("service":"x"}],)", R"("service":"z","w":{}}],)", FindingCode::UnknownService, "routes[1].service", R"("z",)"},
        {R"("type":"unsafe","service":"x")", R"("type":"unsafe")", FindingCode::MissingField, "routes[1].service", R"({"name":"b")"},
        {R"("idle_timeout_ms":15000)", R"("idle_timeout_ms":[])", FindingCode::WrongType, "limits.idle_timeout_ms", "[]"},
    };
    CHECK(describeConfig(valid).findings.empty());
    for (const Row &row : rows) {
        CAPTURE(row.to);
        const std::string text = replaced(row.from, row.to);
        ConfigText read = describeConfig(text);
        addConfigFindings(read.config, read.findings);
        REQUIRE_FALSE(read.findings.empty());
        const ConfigFinding &first = read.findings.front();
        CHECK(name(first.code) == name(row.code));
        CHECK(first.location.field == row.field);
        CHECK_MESSAGE(textAt(text, first.location).starts_with(row.at), textAt(text, first.location));
        checkAgainstDecoder(text, read.findings);
    }
}

// Guards against a check that ends the process or finds no error where nodes leave out a part of the configuration.
TEST_CASE("corrupted configurations don't crash the check, and those without errors are decoded by nodes")
{
    checkAgainstDecoder(valid, {});
    const std::size_t specBegin = valid.find("{\"version\"");
    const std::string bytes = R"({}[]",:09.-eE/\x)";
    Random random{11};
    for (int n = 0; n < 20'000; ++n) {
        std::string text = valid;
        for (int k = 0; k < 2; ++k) {
            text[specBegin + below(random, text.size() - specBegin)] = bytes[below(random, bytes.size())];
        }
        ConfigText read = describeConfig(text);
        addConfigFindings(read.config, read.findings);
        compareConfigs(describeConfig(valid).config, read.config);
        checkAgainstDecoder(text, read.findings);
    }
}

// Guards against differences by the way in which a text is written, and against the loss of fields that this version doesn't know.
TEST_CASE("only changed values are differences")
{
    struct Row {
        std::string from;
        std::string to;
        std::string difference; ///< field, previous and new value; empty for none
    };
    const Row rows[] = {
        {"200", "200.0", ""},
        {R"("weight":90},{"service":"y","weight":10})", R"("weight":90 }, {"weight" : 10, "service":"\u0079"})", ""},
        {"2.5", "2.50", ""},
        {R"("weight":10)", R"("weight":20)", "routes[0].backends[1].weight 10 20"},
        {R"("max_attempts":2)", R"("max_attempts":2,"later":{"a": 1})", R"(routes[0].later  {"a":1})"},
        {"15000", "16000", "limits.idle_timeout_ms 15000 16000"},
        {R"("version":7)", R"("version":8)", "version 7 8"},
        {R"(,"max_attempts":2)", "", "routes[0].max_attempts 2 "},
    };
    const ConfigText before = describeConfig(valid);
    for (const Row &row : rows) {
        CAPTURE(row.to);
        const std::string text = replaced(row.from, row.to);
        std::string found;
        for (const ConfigFinding &it : compareConfigs(before.config, describeConfig(text).config)) {
            found += std::string(it.location.field).append(" ").append(it.before).append(" ").append(it.after);
        }
        CHECK(found == row.difference);
    }
    const std::string spec = valid.substr(valid.find("{\"version\""), valid.size() - valid.find("{\"version\"") - 1);
    CHECK(compareConfigs(before.config, describeConfig(spec).config).empty());
}
