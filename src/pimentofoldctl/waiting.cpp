#include <pimentofoldctl/waiting.h>

#include <algorithm>

namespace pimentofold::ctl {

using nlohmann::json;

namespace {

/// Minimum time between two polls. Any write on the platform ends a long poll early, so without this limit frequent writes
/// by others would cause a call for each of them.
constexpr Time minPollInterval = 100 * millisecond;
constexpr int longPollSeconds = 1; ///< how long the platform may wait for a change before it responds

void readStatusChanges(Connection &connection, Convergence &convergence, std::int64_t &since, int waitSeconds)
{
    const ObjectList list = readObjects(connection, since, waitSeconds);
    for (const PlatformObject &it : list.objects) {
        recordStatus(convergence, it);
    }
    // A stale response has an older revision. Going back to it would only return known changes again.
    since = std::max(since, list.revision);
}

std::size_t countExpectedStatuses(const Convergence &convergence)
{
    std::size_t n = 0;
    for (const Expectation &it : convergence.expectations) {
        n += it.statusNames.size();
    }
    return n;
}

std::string progressLine(const std::vector<LaggingVersion> &lagging, std::size_t expectedCount)
{
    std::string line = "in force: " + std::to_string(expectedCount - lagging.size()) + " of " + std::to_string(expectedCount);
    std::set<std::string> names;
    for (const LaggingVersion &it : lagging) {
        names.insert(it.statusName);
    }
    std::string separator = "; waiting for ";
    for (const std::string &it : names) {
        line += separator + it;
        separator = ", ";
    }
    return line;
}

/// Polls the status objects until all expected versions are in force or Options::waitLimit has passed.
/// @return the error of the last poll; empty when it succeeded
std::string pollStatuses(Context &context, Convergence &convergence, std::int64_t since)
{
    Connection &connection = context.connection;
    const Time waitUntil = connection.now() + context.options.waitLimit;
    connection.retryTimeout = 0;
    const std::size_t expectedCount = countExpectedStatuses(convergence);
    std::string lastError;
    std::string lastLine;
    for (;;) {
        try {
            readStatusChanges(connection, convergence, since, waitUntil - connection.now() < longPollSeconds * second ? 0 : longPollSeconds);
            lastError.clear();
        } catch (const PlatformUnreachable &error) {
            lastError = error.what();
        }
        const std::vector<LaggingVersion> lagging = findLaggingVersions(convergence, context.wallNow());
        const std::string line = progressLine(lagging, expectedCount);
        if (line != lastLine) {
            context.progress << line << std::endl;
            lastLine = line;
        }
        if (lagging.empty() || connection.now() >= waitUntil) {
            return lastError;
        }
        connection.pause(minPollInterval);
    }
}

/// Reads all status objects, so that the report can include the data centres whose status has not changed recently.
void readAllStatuses(Connection &connection, Convergence &convergence)
{
    std::int64_t since = 0;
    try {
        readStatusChanges(connection, convergence, since, 0);
    } catch (const PlatformUnreachable &) {
        return; // The report then uses the statuses that were read before.
    }
}

void readIfPresent(Connection &connection, const ObjectKey &key, ObjectValues &values)
{
    const PlatformObject object = readObject(connection, key);
    if (isPresent(object)) {
        values[key] = object.value;
    }
}

} // namespace

ObjectValues readTeam(Connection &connection, const std::string &team)
{
    ObjectValues values;
    const ObjectKey key{"team", team};
    readIfPresent(connection, key, values);
    if (values.contains(key)) {
        readIfPresent(connection, {"template", parseTeam(team, values[key]).templateName}, values);
    }
    return values;
}

ObjectValues readTemplatesAndTeams(Connection &connection)
{
    ObjectValues values;
    for (const PlatformObject &it : readObjects(connection).objects) {
        if (isPresent(it) && (it.key.kind == "template" || it.key.kind == "team")) {
            values[it.key] = it.value;
        }
    }
    return values;
}

Expectation expectationFor(const ObjectKey &key, std::int64_t version, const ObjectValues &values)
{
    Expectation expectation{key, version, {}};
    for (const std::string &team : affectedTeams(key, values)) {
        expectation.statusNames.merge(statusNames(expandTeamByName(team, values)));
    }
    return expectation;
}

void waitUntilInForce(Context &context, std::vector<Expectation> expectations, std::int64_t since, Report &report)
{
    Convergence convergence{std::move(expectations), {}};
    if (countExpectedStatuses(convergence) == 0) {
        report.text += "no team is affected, so there is nothing to wait for\n";
        report.data["inForce"] = true;
        return;
    }
    const std::string lastError = pollStatuses(context, convergence, since);
    std::vector<LaggingVersion> lagging = findLaggingVersions(convergence, context.wallNow());
    if (!lagging.empty()) {
        readAllStatuses(context.connection, convergence);
        lagging = findLaggingVersions(convergence, context.wallNow());
    }
    report.data["inForce"] = lagging.empty();
    report.data["lagging"] = toJson(lagging);
    if (lagging.empty()) {
        report.text += "in force everywhere\n";
        return;
    }
    report.exit = ExitCode::NotConverged;
    report.text += "not in force everywhere after " + std::to_string(context.options.waitLimit / millisecond) + " ms:\n";
    for (const LaggingVersion &it : lagging) {
        report.text += "  " + toString(it) + "\n";
    }
    report.text += lastError.empty() ? "" : "  " + lastError + "\n";
}

json toJson(const std::vector<LaggingVersion> &lagging)
{
    json list = json::array();
    for (const LaggingVersion &it : lagging) {
        list.push_back({{"status", it.statusName},
                        {"kind", it.key.kind},
                        {"name", it.key.name},
                        {"version", it.expectedVersion},
                        {"inForce", it.inForce},
                        {"nodes", it.nodes},
                        {"reason", it.reason}});
    }
    return list;
}

} // namespace pimentofold::ctl
