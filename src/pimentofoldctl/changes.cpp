#include <pimentofoldctl/commands.h>

#include <algorithm>
#include <optional>

#include <pimentofoldctl/difference.h>
#include <pimentofoldctl/objectfile.h>
#include <pimentofoldctl/render.h>
#include <pimentofoldctl/waiting.h>

namespace pimentofold::ctl {

using nlohmann::json;

namespace {

/// The writes of one command and their report.
struct Changes {
    std::vector<ObjectWrite> writes; ///< finished writes, in the order in which they were made
    Report report;
};

ExitCode exitCodeFor(WriteOutcome outcome)
{
    switch (outcome) {
    case WriteOutcome::Written:
    case WriteOutcome::Unchanged:
        return ExitCode::Ok;
    case WriteOutcome::Conflict:
        return ExitCode::Conflict;
    case WriteOutcome::NotWritten:
    case WriteOutcome::Unknown:
        return ExitCode::Unreachable;
    case WriteOutcome::Refused:
    case WriteOutcome::Pending:
        break;
    }
    return ExitCode::Error;
}

void warn(Report &report, const std::string &text)
{
    report.text += "warning: " + text + "\n";
    report.data["warnings"].push_back(text);
}

/// Writes an object, or with --dry-run only reports what would change, and adds the result to the report.
void applyChange(Context &context, Changes &changes, WriteRequest request)
{
    request.entry = context.entry;
    if (context.options.dryRun) {
        const PlatformObject current = readObject(context.connection, request.key);
        const auto fields = difference(request.key.kind, current.value, request.makeValue(current));
        changes.report.text +=
            toString(request.key) + ": " + (fields.empty() ? "unchanged" : "would change") + ", present is " + describeVersion(current) + "\n" + toText(fields);
        changes.report.data["objects"].push_back(
            {{"kind", request.key.kind}, {"name", request.key.name}, {"present", current.version}, {"difference", toJson(fields)}});
        return;
    }
    ObjectWrite write;
    write.request = std::move(request);
    runWrite(context.connection, write);
    changes.report.text += describeWrite(write);
    changes.report.data["objects"].push_back(toJson(write));
    changes.report.exit = exitCodeFor(write.outcome);
    changes.writes.push_back(std::move(write));
}

/// Waits until the written versions are in force, if --wait was given and all writes succeeded.
/// @param values templates and teams that the written objects affect
void waitIfRequested(Context &context, Changes &changes, const ObjectValues &values)
{
    if (!context.options.wait || context.options.dryRun || changes.report.exit != ExitCode::Ok) {
        return;
    }
    try {
        std::vector<Expectation> expectations;
        std::optional<std::int64_t> since;
        for (const ObjectWrite &it : changes.writes) {
            expectations.push_back(expectationFor(it.request.key, it.version, values));
            since = std::min(since.value_or(INT64_MAX), it.revision.value_or(0));
        }
        waitUntilInForce(context, std::move(expectations), since.value_or(0), changes.report);
    } catch (const std::exception &error) {
        // The objects have been written, so an error while waiting must not be reported as a failed write.
        changes.report.exit = ExitCode::NotConverged;
        changes.report.text += std::string("written, but waiting failed: ") + error.what() + "\n";
        changes.report.data["waitError"] = error.what();
    }
}

bool hasTemplate(const std::vector<FileObject> &objects)
{
    return std::any_of(objects.begin(), objects.end(), [](const FileObject &it) { return it.key.kind == "template"; });
}

/// @return the templates and teams on the platform that are needed to check the objects and to find the teams that they affect
ObjectValues readReferencedObjects(Connection &connection, const std::vector<FileObject> &objects)
{
    if (hasTemplate(objects)) {
        return readTemplatesAndTeams(connection);
    }
    ObjectValues values;
    for (const FileObject &it : objects) {
        for (const std::string &team : affectedTeams(it.key, {})) {
            values.merge(readTeam(connection, team));
        }
        if (it.key.kind == "team") {
            const ObjectKey templateKey{"template", parseTeam(it.key.name, it.value).templateName};
            const PlatformObject current = readObject(connection, templateKey);
            if (isPresent(current)) {
                values[templateKey] = current.value;
            }
        }
    }
    return values;
}

void warnAboutMissingKeys(Context &context, const std::vector<FileObject> &objects, Report &report)
{
    for (const FileObject &it : objects) {
        if (it.key.kind == "team" && !isPresent(readObject(context.connection, {"keys", it.key.name}))) {
            warn(report, "team '" + it.key.name + "' has no keys, so its flows get no tokens; run 'pimentofoldctl keys rotate " + it.key.name + "'");
        }
    }
}

std::optional<std::int64_t> expectedVersionFor(const Context &context, const FileObject &object)
{
    return context.options.ifVersion ? context.options.ifVersion : object.version;
}

ObjectKey drainKey(const Options &options)
{
    const DrainName drain{options.operands[0], options.operands[1], options.operands[2]};
    ObjectKey key{"drain", toString(drain)};
    const auto parsed = parseDrainName(key.name);
    if (!parsed || parsed->team != drain.team || parsed->service != drain.service) {
        throw SettingsError(toString(key), "", "a team, a service and an instance");
    }
    return key;
}

bool isInInstanceList(Connection &connection, const DrainName &drain)
{
    const ApiResponse response = callRepeatedly(connection, {"GET", "/v1/instances", {}, "", 0});
    const json list = response.body.is_object() ? response.body.value("instances", json::array()) : json::array();
    return std::any_of(list.begin(), list.end(), [&drain](const json &it) {
        return it.is_object() && it.value("name", json()) == json(drain.instance) && it.value("team", json()) == json(drain.team)
            && it.value("service", json()) == json(drain.service);
    });
}

/// @throws SettingsError when the team has no such service
const ServiceSpec &findService(const TeamSpec &team, const std::string &service)
{
    std::string names;
    for (const ServiceSpec &it : team.services) {
        if (it.name == service) {
            return it;
        }
        names += (names.empty() ? "" : ", ") + it.name;
    }
    throw SettingsError("team/" + team.name, "", "one of the team's services (" + names + "), not '" + service + "'");
}

void checkDrainTarget(Context &context, const ObjectValues &values, Report &report)
{
    const auto &operands = context.options.operands;
    const DrainName drain{operands[0], operands[1], operands[2]};
    const TeamSpec team = expandTeamByName(drain.team, values);
    const ServiceSpec &service = findService(team, drain.service);
    const bool isConfigured =
        std::any_of(service.targets.begin(), service.targets.end(), [&drain](const TargetSpec &it) { return it.instance == drain.instance; });
    if (!isConfigured && !isInInstanceList(context.connection, drain)) {
        warn(report, "the instance list, which may lag, doesn't show '" + drain.instance + "' in this service");
    }
}

void checkDeletable(Context &context, const ObjectKey &key)
{
    if (key.kind == "template") {
        const auto users = affectedTeams(key, readTemplatesAndTeams(context.connection));
        if (!users.empty()) {
            throw SettingsError(toString(key), "", "a template that no team uses, but team '" + users.front() + "' does");
        }
    }
    if (key.kind == "keys" && isPresent(readObject(context.connection, {"team", key.name}))) {
        throw SettingsError(toString(key), "", "keys of a team that doesn't exist any more, since deleting them ends all tokens of the team");
    }
}

json rotatedKeys(const PlatformObject &base, const Context &context, const std::string &team)
{
    const TeamKeys current = isPresent(base) ? parseKeys(team, base.value) : TeamKeys{team, {}};
    return keysValue(rotateKeys(current, context.wallNow(), context.secrets));
}

} // namespace

Report applyFiles(Context &context)
{
    const std::vector<FileObject> objects = readObjectFiles(context.options.operands);
    ObjectValues values = readReferencedObjects(context.connection, objects);
    checkObjects(objects, values);
    Changes changes;
    warnAboutMissingKeys(context, objects, changes.report);
    for (const FileObject &it : objects) {
        values[it.key] = it.value;
        applyChange(context, changes, {it.key, [&it](const PlatformObject &) { return it.value; }, "", expectedVersionFor(context, it), 0});
        if (changes.report.exit != ExitCode::Ok) {
            changes.report.text += &it == &objects.back() ? "" : "the objects after this one were not written\n";
            return changes.report;
        }
    }
    waitIfRequested(context, changes, values);
    return changes.report;
}

Report deleteObject(Context &context)
{
    const ObjectKey key = parseObjectKey(context.options.operands[0], context.options.operands[1]);
    checkDeletable(context, key);
    const auto teams = affectedTeams(key, {});
    const ObjectValues values = teams.empty() ? ObjectValues() : readTeam(context.connection, teams.front());
    Changes changes;
    applyChange(context, changes, {key, [](const PlatformObject &) { return json(); }, "", context.options.ifVersion, 0});
    waitIfRequested(context, changes, values);
    return changes.report;
}

Report drainTarget(Context &context)
{
    const ObjectKey key = drainKey(context.options);
    const ObjectValues values = readTeam(context.connection, context.options.operands[0]);
    Changes changes;
    checkDrainTarget(context, values, changes.report);
    const std::string reason = context.options.reason.empty() ? "drained by " + context.options.author : context.options.reason;
    const json value = {{"reason", reason}};
    parseDrain(key.name, value);
    applyChange(context, changes, {key, [&value](const PlatformObject &) { return json(value); }, "", context.options.ifVersion, 0});
    waitIfRequested(context, changes, values);
    return changes.report;
}

Report undrainTarget(Context &context)
{
    const ObjectKey key = drainKey(context.options);
    const ObjectValues values = readTeam(context.connection, context.options.operands[0]);
    Changes changes;
    applyChange(context, changes, {key, [](const PlatformObject &) { return json(); }, "", context.options.ifVersion, 0});
    waitIfRequested(context, changes, values);
    return changes.report;
}

Report changeKeys(Context &context)
{
    if (context.options.operands[0] != "rotate") {
        throw UsageError("expected: pimentofoldctl keys rotate TEAM");
    }
    const std::string team = context.options.operands[1];
    const ObjectValues values = readTeam(context.connection, team);
    expandTeamByName(team, values);
    Changes changes;
    applyChange(
        context, changes, {{"keys", team}, [&](const PlatformObject &base) { return rotatedKeys(base, context, team); }, "", context.options.ifVersion, 0});
    waitIfRequested(context, changes, values);
    return changes.report;
}

} // namespace pimentofold::ctl
