#include <caller-standin/calleradmin.h>

#include <stdexcept>

#include <libnet/loop.h>

#include <caller-standin/calls.h>
#include <caller-standin/flows.h>

namespace pimentofold {

using nlohmann::json;

namespace {

using Query = std::map<std::string, std::string>;

bool matches(const json &body, const char *field, const std::string &value)
{
    return !body.contains(field) || body.at(field) == value;
}

json changeLoad(Callers &callers, const json &body)
{
    for (Group &group : callers.groups) {
        for (std::size_t i = 0; i < group.settings.work.size(); ++i) {
            WorkSettings &work = group.settings.work[i];
            if (matches(body, "team", group.settings.team) && matches(body, "service", group.settings.service) && matches(body, "kind", work.kind)) {
                group.running[i] = body.value("run", true);
                work.rate = body.value("rate", work.rate);
            }
        }
    }
    return json::object();
}

json changeFlows(Callers &callers, const json &body)
{
    for (Group &group : callers.groups) {
        if (matches(body, "team", group.settings.team) && matches(body, "service", group.settings.service)) {
            group.settings.flows = body.at("flows").get<std::size_t>();
        }
    }
    return json::object();
}

json changeBalancers(Callers &callers, const json &body)
{
    std::vector<std::uint32_t> numbers;
    for (const json &it : body.at("balancers")) {
        try {
            numbers.push_back(parseIp(it.get<std::string>()));
        } catch (const std::invalid_argument &) {
            throw BadRequest("balancers: expected IPv4 numbers");
        }
    }
    for (Group &group : callers.groups) {
        if (matches(body, "team", group.settings.team)) {
            group.settings.balancers = numbers;
        }
    }
    return json::object();
}

json sweepJson(const Sweep &sweep)
{
    return {{"total", sweep.total},
            {"heldToken", sweep.heldToken},
            {"heldBare", sweep.heldBare},
            {"ended", sweep.ended},
            {"unresolved", sweep.unresolved},
            {"waiting", sweep.queue.size() + sweep.underWay}};
}

json namesOf(const GroupSettings &group)
{
    return {{"team", group.team}, {"service", group.service}};
}

json phaseJson(const Callers &callers, const PhaseCounts &phase)
{
    json result{{"late", phase.late}, {"malformed", phase.malformed}, {"work", json::array()}, {"flows", json::array()}};
    for (const auto &[key, counts] : phase.work) {
        const GroupSettings &group = callers.groups[key.first].settings;
        json entry = toJson(counts);
        entry.update(namesOf(group));
        entry["kind"] = group.work[key.second].kind;
        result["work"].push_back(std::move(entry));
    }
    for (const auto &[group, counts] : phase.flows) {
        json entry = toJson(counts);
        entry.update(namesOf(callers.groups[group].settings));
        result["flows"].push_back(std::move(entry));
    }
    return result;
}

json countsJson(const Callers &callers)
{
    json phases = json::object();
    for (const auto &[phase, counts] : callers.counts.phases) {
        phases[phase] = phaseJson(callers, counts);
    }
    json groups = json::array();
    for (const Group &it : callers.groups) {
        json entry = namesOf(it.settings);
        entry.update({{"openToken", it.openFlows[1].size()},
                      {"openBare", it.openFlows[0].size()},
                      {"opening", it.opening},
                      {"wanted", it.settings.flows},
                      {"balancers", it.settings.balancers.size()}});
        groups.push_back(std::move(entry));
    }
    return {{"phase", callers.counts.current},
            {"phases", phases},
            {"groups", groups},
            {"sweep", sweepJson(callers.sweep)},
            {"requestsUnderWay", workUnderWay(callers)}};
}

json operationsJson(const Callers &callers)
{
    json list = json::array();
    for (const OperationVerdict &it : callers.operations) {
        list.push_back(
            {{"operation", it.operation}, {"flow", it.flow}, {"request", it.request}, {"verdict", it.verdict}, {"reason", it.reason}, {"phase", it.phase}});
    }
    return {{"operations", list}};
}

json flowJson(const Callers &callers, std::int64_t number)
{
    const auto it = callers.flows.find(number);
    if (it == callers.flows.end()) {
        return {{"held", false}};
    }
    const Flow &flow = it->second;
    const char *phase = flow.phase == FlowPhase::Open ? "open" : flow.phase == FlowPhase::Opening ? "opening" : "closing";
    return {{"held", true}, {"phase", phase}, {"token", flow.carriesToken}, {"server", flow.server}, {"requests", flow.lastRequest}};
}

json closeFlows(Callers &callers, const json &body)
{
    const Time within = body.value("withinMs", std::int64_t{0}) * millisecond;
    return {{"closing", closeFlowsOf(callers, body.at("instance").get<std::string>(), within, monotonicNow())}};
}

} // namespace

std::unique_ptr<HttpServer> serveCallerAdmin(const Address &address, Callers &callers)
{
    std::map<std::string, JsonRoute> routes;
    routes["PUT /admin/load"] = [&callers](const Query &, const json &body) { return changeLoad(callers, body); };
    routes["PUT /admin/flows"] = [&callers](const Query &, const json &body) { return changeFlows(callers, body); };
    routes["PUT /admin/balancers"] = [&callers](const Query &, const json &body) { return changeBalancers(callers, body); };
    routes["PUT /admin/close"] = [&callers](const Query &, const json &body) { return closeFlows(callers, body); };
    routes["PUT /admin/phase"] = [&callers](const Query &, const json &body) {
        callers.counts.current = body.at("name").get<std::string>();
        return json::object();
    };
    routes["PUT /admin/sweep"] = [&callers](const Query &, const json &body) {
        startSweep(callers, body.value("perSecond", 1000.0));
        return sweepJson(callers.sweep);
    };
    routes["GET /admin/counts"] = [&callers](const Query &, const json &) { return countsJson(callers); };
    routes["GET /admin/flow"] = [&callers](const Query &query, const json &) {
        const auto it = query.find("number");
        return flowJson(callers, it == query.end() ? 0 : json::parse(it->second).get<std::int64_t>());
    };
    routes["GET /admin/operations"] = [&callers](const Query &, const json &) { return operationsJson(callers); };
    return serveJson(address, std::move(routes));
}

} // namespace pimentofold
