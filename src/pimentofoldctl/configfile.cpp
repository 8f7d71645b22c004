#include <pimentofoldctl/commands.h>

#include <array>
#include <fstream>
#include <iterator>

#include <pimentofold/configcheck/configcheck.h>
#include <platform/configtext.h>

namespace pimentofold::ctl {

using nlohmann::json;

namespace {

/// Names of the severities: singular, plural, and member of the JSON output.
struct SeverityNames {
    const char *one;
    const char *many;
};

constexpr std::array<SeverityNames, 3> severityNames{{{"error", "errors"}, {"warning", "warnings"}, {"difference", "differences"}}};

using Counts = std::array<std::size_t, severityNames.size()>;

std::string readText(const std::string &file)
{
    std::ifstream in(file);
    in.peek();
    if (in.bad() || !in.is_open()) {
        const std::string hint = isAddress(file) ? "; nodes don't serve their configuration" : "";
        throw UsageError(file + ": expected a readable file" + hint);
    }
    return {std::istreambuf_iterator<char>(in), {}};
}

std::string positionText(const FieldLocation &location)
{
    return location.line == 0 ? "" : std::to_string(location.line) + ":" + std::to_string(location.column) + ":";
}

std::string toText(const std::string &file, const ConfigFinding &finding)
{
    const FieldLocation &location = finding.location;
    return file + ":" + positionText(location) + " " + severityNames.at(static_cast<std::size_t>(severityOf(finding.code))).one + ": "
        + (location.field.empty() ? "" : location.field + ": ") + finding.message + " [" + std::string(name(finding.code)) + "]\n";
}

json toJson(const ConfigFinding &finding)
{
    const FieldLocation &location = finding.location;
    json entry = {{"line", location.line}, {"column", location.column}, {"field", location.field}, {"code", name(finding.code)}, {"message", finding.message}};
    if (severityOf(finding.code) == FindingSeverity::Difference) {
        entry["before"] = finding.before;
        entry["after"] = finding.after;
    }
    return entry;
}

/// @throws UsageError when the file can't be read or isn't JSON
std::vector<ConfigFinding> compareWith(const std::string &file, const ConfigDescription &config)
{
    const std::string content = readText(file);
    const platform::ConfigText previous = platform::describeConfig(content);
    for (const ConfigFinding &it : previous.findings) {
        if (it.code == FindingCode::NotJson) {
            throw UsageError(file + ":" + positionText(it.location) + " " + it.message);
        }
    }
    return compareConfigs(previous.config, config);
}

std::vector<ConfigFinding> findingsOf(const Options &options)
{
    const std::string content = readText(options.operands[1]);
    platform::ConfigText text = platform::describeConfig(content);
    std::vector<ConfigFinding> findings = std::move(text.findings);
    addConfigFindings(text.config, findings);
    sortFindings(findings);
    const bool comparable = findings.empty() || findings.front().code != FindingCode::NotJson;
    if (!options.against.empty() && comparable) {
        std::vector<ConfigFinding> differences = compareWith(options.against, text.config);
        findings.insert(findings.end(), std::move_iterator(differences.begin()), std::move_iterator(differences.end()));
    }
    return findings;
}

std::string countsText(const Counts &counts)
{
    std::string text;
    for (std::size_t n = 0; n < counts.size(); ++n) {
        text += (n == 0 ? "" : ", ") + std::to_string(counts.at(n)) + " " + (counts.at(n) == 1 ? severityNames.at(n).one : severityNames.at(n).many);
    }
    return text;
}

ExitCode exitCodeFor(const Counts &counts, bool strict)
{
    if (counts[static_cast<std::size_t>(FindingSeverity::Error)] > 0) {
        return ExitCode::ConfigInvalid;
    }
    const std::size_t others = counts[static_cast<std::size_t>(FindingSeverity::Warning)] + counts[static_cast<std::size_t>(FindingSeverity::Difference)];
    return strict && others > 0 ? ExitCode::ConfigDiffers : ExitCode::Ok;
}

} // namespace

Report checkConfigFile(Context &context)
{
    const Options &options = context.options;
    if (options.operands[0] != "check") {
        throw UsageError("expected: pimentofoldctl config check FILE");
    }
    Report report;
    Counts counts{};
    for (const SeverityNames &it : severityNames) {
        report.data[it.many] = json::array();
    }
    for (const ConfigFinding &it : findingsOf(options)) {
        const auto severity = static_cast<std::size_t>(severityOf(it.code));
        ++counts.at(severity);
        report.text += toText(options.operands[1], it);
        report.data[severityNames.at(severity).many].push_back(toJson(it));
    }
    report.text += options.operands[1] + ": " + countsText(counts) + "\n";
    report.exit = exitCodeFor(counts, options.strict);
    return report;
}

} // namespace pimentofold::ctl
