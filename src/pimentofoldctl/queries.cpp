#include <pimentofoldctl/commands.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <set>

#include <pimentofold/flowreport.h>
#include <pimentofold/timeline.h>
#include <pimentofoldctl/changeid.h>
#include <pimentofoldctl/difference.h>
#include <pimentofoldctl/objectfile.h>
#include <pimentofoldctl/render.h>
#include <pimentofoldctl/waiting.h>

namespace pimentofold::ctl {

using nlohmann::json;

namespace {

std::string pad(std::string text, std::size_t width)
{
    text.resize(std::max(text.size() + 1, width), ' ');
    return text;
}

/// @return the counts by name as text, for example "4 alive, 1 leaving"
std::string countsText(const std::map<std::string, int> &counts)
{
    std::string text;
    for (const auto &[name, n] : counts) {
        text += (text.empty() ? "" : ", ") + std::to_string(n) + " " + (name.empty() ? "unknown" : name);
    }
    return text.empty() ? "none" : text;
}

std::string describeStatus(const DataCentreStatus &status, WallTime now)
{
    std::map<std::string, int> instances;
    std::map<std::string, int> targets;
    for (const InstanceStatus &it : status.instances) {
        ++instances[it.state];
    }
    for (const TargetStatus &it : status.targets) {
        ++targets[it.state];
    }
    return status.name + ": written " + std::to_string(now - status.writtenAt) + " ms ago, platform "
        + (status.platformReachable ? "reachable" : "not reachable") + "; instances: " + countsText(instances) + "; targets: " + countsText(targets)
        + "; requests refused: " + std::to_string(status.refused) + "\n";
}

bool affectsTeam(const PlatformObject &object, const std::string &team, const ObjectValues &values)
{
    const bool kind = object.key.kind == "template" || object.key.kind == "team" || object.key.kind == "keys" || object.key.kind == "drain";
    const auto teams = kind ? affectedTeams(object.key, values) : std::vector<std::string>();
    return team.empty() ? !teams.empty() : std::find(teams.begin(), teams.end(), team) != teams.end();
}

/// Names of status objects, by team.
using TeamStatusNames = std::map<std::string, std::set<std::string>>;

/// @param teamFilter name of the only team to include; empty for all teams
/// @param problems receives the error of each invalid team, which is left out of the result
TeamStatusNames teamStatusNames(const ObjectValues &values, const std::string &teamFilter, std::vector<std::string> &problems)
{
    TeamStatusNames names;
    for (const auto &[key, value] : values) {
        if (key.kind != "team" || (!teamFilter.empty() && key.name != teamFilter)) {
            continue;
        }
        try {
            names[key.name] = statusNames(expandTeamByName(key.name, values));
        } catch (const SettingsError &error) {
            problems.emplace_back(error.what());
        }
    }
    return names;
}

/// @return the version of the object and the status objects of the valid teams that it affects
Expectation expectationFromStatusNames(const PlatformObject &object, const TeamStatusNames &names, const ObjectValues &values)
{
    Expectation expectation{object.key, object.version, {}};
    for (const std::string &it : affectedTeams(object.key, values)) {
        const auto found = names.find(it);
        if (found != names.end()) {
            expectation.statusNames.insert(found->second.begin(), found->second.end());
        }
    }
    return expectation;
}

Convergence currentConvergence(const std::vector<PlatformObject> &objects, const std::string &team, std::vector<std::string> &problems)
{
    ObjectValues values;
    for (const PlatformObject &it : objects) {
        if (isPresent(it)) {
            values[it.key] = it.value;
        }
    }
    const TeamStatusNames names = teamStatusNames(values, team, problems);
    Convergence convergence;
    for (const PlatformObject &it : objects) {
        const bool matchesFilter = team.empty() || it.key.name.ends_with("." + team);
        if (isPresent(it) && it.key.kind == "status" && matchesFilter) {
            recordStatus(convergence, it);
        }
        if (isPresent(it) && affectsTeam(it, team, values)) {
            convergence.expectations.push_back(expectationFromStatusNames(it, names, values));
        }
    }
    return convergence;
}

bool isKnownTeam(const std::vector<PlatformObject> &objects, const std::string &team)
{
    return std::any_of(objects.begin(), objects.end(), [&team](const PlatformObject &it) { return isPresent(it) && it.key == ObjectKey{"team", team}; });
}

json statusJson(const Convergence &convergence, const std::vector<PlatformObject> &objects)
{
    json list = json::array();
    for (const PlatformObject &it : objects) {
        if (it.key.kind == "status" && convergence.statuses.contains(it.key.name)) {
            json entry = it.value;
            entry["name"] = it.key.name;
            list.push_back(std::move(entry));
        }
    }
    return list;
}

} // namespace

Report validateFiles(Context &context)
{
    const std::vector<FileObject> objects = readObjectFiles(context.options.operands);
    const bool online = !context.options.platform.empty();
    checkObjects(objects, online ? readTemplatesAndTeams(context.connection) : ObjectValues());
    Report report;
    for (const FileObject &it : objects) {
        report.text += toString(it.key) + ": valid\n";
        report.data["objects"].push_back({{"kind", it.key.kind}, {"name", it.key.name}, {"valid", true}});
    }
    return report;
}

Report diffFiles(Context &context)
{
    Report report;
    for (const FileObject &it : readObjectFiles(context.options.operands)) {
        const PlatformObject present = readObject(context.connection, it.key);
        const auto fields = difference(it.key.kind, present.value, it.value);
        report.text += toString(it.key) + ": " + (fields.empty() ? "same as " : "differs from ") + describeVersion(present) + "\n" + toText(fields);
        report.data["objects"].push_back({{"kind", it.key.kind}, {"name", it.key.name}, {"version", present.version}, {"difference", toJson(fields)}});
    }
    return report;
}

Report getObject(Context &context)
{
    const ObjectKey key = parseObjectKey(context.options.operands[0], context.options.operands[1]);
    const PlatformObject object = readObject(context.connection, key);
    Report report;
    if (!isPresent(object)) {
        report.exit = ExitCode::Error;
        report.text = toString(key) + ": does not exist (" + describeVersion(object) + ")\n";
        report.data = {{"error", "does not exist"}, {"version", object.version}};
        return report;
    }
    report.data = toJson(object);
    report.text = toString(key) + ": " + describeVersion(object) + "\n" + withoutSecrets(key.kind, object.value).dump(4) + "\n";
    return report;
}

Report listObjects(Context &context)
{
    Report report;
    report.data["objects"] = json::array();
    std::vector<PlatformObject> objects = readObjects(context.connection).objects;
    std::sort(objects.begin(), objects.end(), [](const PlatformObject &a, const PlatformObject &b) { return a.key < b.key; });
    for (const PlatformObject &it : objects) {
        const bool matchesFilter = context.options.operands.empty() || context.options.operands[0] == it.key.kind;
        if (!isPresent(it) || !matchesFilter) {
            continue;
        }
        report.text += pad(toString(it.key), 40) + describeVersion(it) + "\n";
        report.data["objects"].push_back({{"kind", it.key.kind}, {"name", it.key.name}, {"version", it.version}, {"changeId", it.changeId}});
    }
    return report;
}

Report showHistory(Context &context)
{
    const ObjectKey key = parseObjectKey(context.options.operands[0], context.options.operands[1]);
    const PlatformObject object = readObject(context.connection, key);
    Report report;
    report.data = {{"kind", key.kind}, {"name", key.name}, {"version", object.version}, {"deleted", object.deleted}, {"changes", json::array()}};
    if (object.version == 0) {
        report.exit = ExitCode::Error;
        report.text = toString(key) + ": never existed\n";
        return report;
    }
    report.text = toString(key) + ": " + describeVersion(object) + "\n";
    for (const ChangeEntry &it : parseChangeId(object.changeId)) {
        report.text += "  " + pad(formatTime(it.time), 24) + pad(it.author.empty() ? "-" : it.author, 16) + it.id + "\n";
        report.data["changes"].push_back({{"time", it.time}, {"author", it.author}, {"id", it.id}});
    }
    report.text += "The platform keeps the newest version only; these are the latest changes that its change id names, newest first.\n";
    return report;
}

Report showStatus(Context &context)
{
    const std::string team = context.options.operands.empty() ? "" : context.options.operands[0];
    const std::vector<PlatformObject> objects = readObjects(context.connection).objects;
    if (!team.empty() && !isKnownTeam(objects, team)) {
        throw SettingsError("team/" + team, "", "a team that exists");
    }
    std::vector<std::string> problems;
    const Convergence convergence = currentConvergence(objects, team, problems);
    const WallTime now = context.wallNow();
    const std::vector<LaggingVersion> lagging = findLaggingVersions(convergence, now);
    Report report;
    report.data = {{"inForce", lagging.empty() && problems.empty()}, {"lagging", toJson(lagging)}, {"statuses", statusJson(convergence, objects)}};
    for (const auto &[name, status] : convergence.statuses) {
        report.text += describeStatus(status, now);
    }
    for (const LaggingVersion &it : lagging) {
        report.text += toString(it) + "\n";
    }
    for (const std::string &it : problems) {
        report.text += "problem: " + it + "\n";
    }
    const bool converged = lagging.empty() && problems.empty();
    report.data["problems"] = problems;
    report.text += converged ? std::to_string(convergence.expectations.size()) + " objects are in force everywhere\n" : "";
    report.exit = converged ? ExitCode::Ok : ExitCode::NotConverged;
    return report;
}

Report showTimeline(Context &context)
{
    Timeline timeline;
    for (const std::string &file : context.options.operands) {
        std::ifstream in(file);
        if (!in) {
            throw SettingsError(file, "", "a readable file");
        }
        for (std::string line; std::getline(in, line);) {
            addLine(timeline, line);
        }
    }
    sortEvents(timeline);
    Report report;
    const std::size_t brokenLines = timeline.brokenLines;
    if (!context.options.flow.empty()) {
        timeline = eventsOfFlow(timeline, context.options.flow);
        report.text = "\n";
        for (const std::string &it : flowSteps(timeline)) {
            report.text += it + "\n";
        }
        report.text += "\n" + flowOutcome(timeline) + "\n";
    }
    report.data = {{"events", timeline.events.size()}, {"processes", processNames(timeline).size()}, {"brokenLines", brokenLines}};
    if (!context.options.flow.empty()) {
        report.data["steps"] = flowSteps(timeline);
        report.data["outcome"] = flowOutcome(timeline);
    }
    if (!context.options.html.empty()) {
        std::ofstream out(context.options.html);
        out << timelinePage(timeline);
        if (!out.flush()) {
            throw SettingsError(context.options.html, "", "a file that can be written");
        }
        report.data["html"] = context.options.html;
    } else {
        report.text = timelineText(timeline) + report.text;
    }
    report.text += std::to_string(timeline.events.size()) + " events of " + std::to_string(processNames(timeline).size()) + " processes, "
        + std::to_string(brokenLines) + " broken lines\n";
    return report;
}

} // namespace pimentofold::ctl
