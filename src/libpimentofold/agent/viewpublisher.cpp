#include <pimentofold/agent/viewpublisher.h>

#include <algorithm>
#include <utility>

#include <pimentofold/agent/agentobjects.h>

namespace pimentofold {

namespace {

// Maximum number of sent views that the balancer hasn't reported. With one report per second there are rarely more than a
// few.
constexpr std::size_t maxSentViews = 64;

bool isUpToDate(const ViewPublisher &publisher, const ConfigStore &store)
{
    return publisher.services && publisher.problem.empty()
        && std::ranges::all_of(publisher.services->heads, [&](const wire::ObjectHead &it) { return versionOf(store, keyOf(it)) == it.version; });
}

void refreshServices(ViewPublisher &publisher, const ConfigStore &store)
{
    if (isUpToDate(publisher, store)) {
        return;
    }
    try {
        std::optional<TeamServices> services = expandFromStore(store, publisher.team);
        publisher.problem = services ? "" : "team '" + publisher.team + "' or its template is missing";
        if (services) {
            publisher.services = std::move(services);
        }
    } catch (const SettingsError &error) {
        publisher.problem = error.what();
    }
}

NodeViewInput inputOf(const ViewPublisher &publisher, const ConfigStore &store, const std::vector<Member> &members, WallTime wall)
{
    NodeViewInput input;
    input.team = publisher.team;
    input.dataCentre = publisher.dataCentre;
    input.store = &store;
    input.services = &*publisher.services;
    input.instances = storedInstances(store, publisher.team);
    input.members = members;
    const std::vector<Member> remote = remoteEntries(store, publisher.team, publisher.dataCentre);
    input.members.insert(input.members.end(), remote.begin(), remote.end());
    input.observations = publisher.observations;
    input.wall = wall;
    return input;
}

} // namespace

void refreshView(ViewPublisher &publisher, const ConfigStore &store, const std::vector<Member> &members, WallTime wall)
{
    refreshServices(publisher, store);
    if (!publisher.services) {
        return;
    }
    wire::NodeView view;
    try {
        view = buildNodeView(inputOf(publisher, store, members, wall), publisher.view);
    } catch (const std::exception &error) {
        publisher.problem = error.what();
        return;
    }
    if (publisher.view.generation > 0 && view == publisher.view) {
        return;
    }
    view.generation = std::max(publisher.view.generation, publisher.inForce) + 1;
    publisher.view = std::move(view);
}

void applyReport(ViewPublisher &publisher, const wire::BalancerReport &report)
{
    const bool first = !publisher.reported;
    publisher.reported = true;
    publisher.report = report;
    publisher.inForce = report.generationInForce;
    publisher.observations.clear();
    for (const wire::TargetObservation &it : report.targets) {
        publisher.observations[it.id] = it;
    }
    if (report.__isset.objects) {
        publisher.headsInForce = report.objects;
    }
    while (!publisher.sent.empty() && publisher.sent.front().generation <= publisher.inForce) {
        if (publisher.sent.front().generation == publisher.inForce) {
            publisher.headsInForce = publisher.sent.front().heads;
        }
        publisher.sent.pop_front();
    }
    const bool ownView = publisher.lastSentGeneration > 0 && publisher.lastSentGeneration == report.generationInForce;
    if (first && publisher.view.generation > 0 && !ownView) {
        publisher.view.generation = std::max(publisher.view.generation, report.generationInForce) + 1;
    }
}

void clearConnectionState(ViewPublisher &publisher)
{
    publisher.reported = false;
    publisher.observations.clear();
    publisher.sent.clear();
    // A view that was being sent may have been lost; the first report on the next connection shows whether it was.
    publisher.inForce = 0;
}

bool shouldSendView(const ViewPublisher &publisher, const ConfigStore &store, bool includeAgentObjects)
{
    return publisher.reported && publisher.view.generation > std::max(publisher.inForce, publisher.lastSentGeneration)
        && meetsMinVersions(store, includeAgentObjects);
}

void recordSentView(ViewPublisher &publisher)
{
    publisher.lastSentGeneration = publisher.view.generation;
    publisher.sent.push_back({publisher.view.generation, publisher.view.objects});
    if (publisher.sent.size() > maxSentViews) {
        publisher.sent.pop_front();
    }
}

std::int64_t versionInForce(const ViewPublisher &publisher, const ObjectKey &key)
{
    const auto it = std::ranges::find_if(publisher.headsInForce, [&](const wire::ObjectHead &head) { return keyOf(head) == key; });
    return it == publisher.headsInForce.end() ? 0 : it->version;
}

} // namespace pimentofold
