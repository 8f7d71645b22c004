#include <target-standin/targetadmin.h>

#include <utility>

#include <target-standin/targetsettings.h>

namespace pimentofold {

using nlohmann::json;

namespace {

using Servers = std::vector<std::unique_ptr<BackendServer>>;
using Query = std::map<std::string, std::string>;

std::vector<BackendServer *> serversFor(const Servers &servers, const Query &query)
{
    const auto name = query.find("instance");
    std::vector<BackendServer *> chosen;
    for (const auto &it : servers) {
        if (name == query.end() || it->state().settings.instance == name->second) {
            chosen.push_back(it.get());
        }
    }
    if (chosen.empty()) {
        throw BadRequest("no server of that instance name");
    }
    return chosen;
}

BackendFaults parseFaults(const json &body)
{
    BackendFaults faults;
    faults.unhealthy = body.value("unhealthy", false);
    faults.silent = body.value("silent", false);
    faults.shedShare = body.value("shedShare", 0.0);
    faults.slowFactor = body.value("slowFactor", 1.0);
    faults.statusLag = body.value("statusLagMs", std::int64_t{0}) * millisecond;
    const std::optional<ReportedLoad> load = parseReportedLoad(body.value("reportedLoad", "true"));
    if (!load) {
        throw BadRequest("reportedLoad: expected true, idle or full");
    }
    faults.reportedLoad = *load;
    return faults;
}

json countsOf(const Backend &backend)
{
    return {{"team", backend.settings.team},
            {"service", backend.settings.service},
            {"instance", backend.settings.instance},
            {"serviceId", idOf(backend.settings.team, backend.settings.service)},
            {"id", idOf(backend.settings.team, backend.settings.service, backend.settings.instance)},
            {"slots", backend.settings.slots},
            {"flows", backend.flows.size()},
            {"opened", backend.counts.opened},
            {"unusedEnded", backend.counts.unusedEnded},
            {"requests", backend.counts.requests},
            {"outcomes", backend.counts.outcomes},
            {"foreign", backend.counts.foreign},
            {"lateNewWork", backend.counts.lateNewWork},
            {"busyUs", backend.counts.busy},
            {"mostQueued", backend.counts.mostQueued},
            {"inUse", backend.running.size()},
            {"queued", backend.queue.size()},
            {"draining", backend.drainingSince.has_value()}};
}

void appendRuns(const Backend &backend, json &list)
{
    for (const auto &[key, runs] : backend.runs) {
        const auto &[operation, flow, request] = key;
        list.push_back({{"operation", operation}, {"flow", flow}, {"request", request}, {"runs", runs}, {"instance", backend.settings.instance}});
    }
}

json changeFaults(const Servers &servers, const Query &query, const json &body)
{
    const BackendFaults faults = parseFaults(body);
    for (BackendServer *it : serversFor(servers, query)) {
        it->setFaults(faults);
        if (body.value("dropConnections", false)) {
            it->dropConnections();
        }
    }
    return json::object();
}

} // namespace

std::unique_ptr<HttpServer> serveTargetAdmin(const Address &address, Servers &servers, std::function<void(const BackendServer &)> onDrain)
{
    std::map<std::string, JsonRoute> routes;
    routes["PUT /admin/drain"] = [&servers, onDrain = std::move(onDrain)](const Query &query, const json &body) {
        const bool draining = body.is_null() || body.value("draining", true);
        for (BackendServer *it : serversFor(servers, query)) {
            it->setDraining(draining);
            onDrain(*it);
        }
        return json::object();
    };
    routes["PUT /admin/faults"] = [&servers](const Query &query, const json &body) { return changeFaults(servers, query, body); };
    routes["GET /admin/counts"] = [&servers](const Query &query, const json &) {
        json list = json::array();
        for (const BackendServer *it : serversFor(servers, query)) {
            list.push_back(countsOf(it->state()));
        }
        return json{{"servers", list}};
    };
    routes["GET /admin/runs"] = [&servers](const Query &query, const json &) {
        json list = json::array();
        for (const BackendServer *it : serversFor(servers, query)) {
            appendRuns(it->state(), list);
        }
        return json{{"runs", list}};
    };
    return serveJson(address, std::move(routes));
}

} // namespace pimentofold
