#include <pimentofold/viewkeeper.h>

#include <algorithm>
#include <utility>

#include <pimentofold/agentobjects.h>

namespace pimentofold {

namespace {

// Views that the balancer hasn't reported; with one report a second there are rarely more than a few.
constexpr std::size_t mostSentViews = 64;

bool isUpToDate(const ViewKeeper &keeper, const ConfigStore &store)
{
    return keeper.services && keeper.problem.empty()
        && std::ranges::all_of(keeper.services->heads, [&](const wire::ObjectHead &it) { return versionOf(store, keyOf(it)) == it.version; });
}

void refreshServices(ViewKeeper &keeper, const ConfigStore &store)
{
    if (isUpToDate(keeper, store)) {
        return;
    }
    try {
        std::optional<TeamServices> services = expandFromStore(store, keeper.team);
        keeper.problem = services ? "" : "team '" + keeper.team + "' or its template is missing";
        if (services) {
            keeper.services = std::move(services);
        }
    } catch (const SettingsError &error) {
        keeper.problem = error.what();
    }
}

NodeViewInput inputOf(const ViewKeeper &keeper, const ConfigStore &store, const std::vector<Member> &members, WallTime wall)
{
    NodeViewInput input;
    input.team = keeper.team;
    input.dataCentre = keeper.dataCentre;
    input.store = &store;
    input.services = &*keeper.services;
    input.instances = heldInstances(store, keeper.team);
    input.members = members;
    const std::vector<Member> remote = remoteEntries(store, keeper.team, keeper.dataCentre);
    input.members.insert(input.members.end(), remote.begin(), remote.end());
    input.observations = keeper.observations;
    input.wall = wall;
    return input;
}

} // namespace

void refreshView(ViewKeeper &keeper, const ConfigStore &store, const std::vector<Member> &members, WallTime wall)
{
    refreshServices(keeper, store);
    if (!keeper.services) {
        return;
    }
    wire::NodeView view;
    try {
        view = buildNodeView(inputOf(keeper, store, members, wall), keeper.view);
    } catch (const std::exception &error) {
        keeper.problem = error.what();
        return;
    }
    if (keeper.view.generation > 0 && view == keeper.view) {
        return;
    }
    view.generation = std::max(keeper.view.generation, keeper.inForce) + 1;
    keeper.view = std::move(view);
}

void takeReport(ViewKeeper &keeper, const wire::BalancerReport &report)
{
    const bool first = !keeper.reported;
    keeper.reported = true;
    keeper.report = report;
    keeper.inForce = report.generationInForce;
    keeper.observations.clear();
    for (const wire::TargetObservation &it : report.targets) {
        keeper.observations[it.id] = it;
    }
    if (report.__isset.objects) {
        keeper.headsInForce = report.objects;
    }
    while (!keeper.sent.empty() && keeper.sent.front().generation <= keeper.inForce) {
        if (keeper.sent.front().generation == keeper.inForce) {
            keeper.headsInForce = keeper.sent.front().heads;
        }
        keeper.sent.pop_front();
    }
    const bool ownView = keeper.lastSent > 0 && keeper.lastSent == report.generationInForce;
    if (first && keeper.view.generation > 0 && !ownView) {
        keeper.view.generation = std::max(keeper.view.generation, report.generationInForce) + 1;
    }
}

void loseBalancer(ViewKeeper &keeper)
{
    keeper.reported = false;
    keeper.observations.clear();
    keeper.sent.clear();
    // A view that was under way may be lost; the first report of the next connection shows it.
    keeper.inForce = 0;
}

bool maySendView(const ViewKeeper &keeper, const ConfigStore &store, bool agentMade)
{
    return keeper.reported && keeper.view.generation > std::max(keeper.inForce, keeper.lastSent) && meetsMinVersions(store, agentMade);
}

void noteSent(ViewKeeper &keeper)
{
    keeper.lastSent = keeper.view.generation;
    keeper.sent.push_back({keeper.view.generation, keeper.view.objects});
    if (keeper.sent.size() > mostSentViews) {
        keeper.sent.pop_front();
    }
}

std::int64_t versionInForce(const ViewKeeper &keeper, const ObjectKey &key)
{
    const auto it = std::ranges::find_if(keeper.headsInForce, [&](const wire::ObjectHead &head) { return keyOf(head) == key; });
    return it == keeper.headsInForce.end() ? 0 : it->version;
}

} // namespace pimentofold
