#include <pimentofold/configcheck/configcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

#include <nlohmann/json.hpp>

namespace pimentofold {

namespace {

struct CodeInfo {
    std::string_view name;
    FindingSeverity severity;
};

/// In the order of FindingCode.
constexpr std::array<CodeInfo, 23> codes{{
    {"not_json", FindingSeverity::Error},         {"wrong_type", FindingSeverity::Error},         {"missing_field", FindingSeverity::Error},
    {"out_of_range", FindingSeverity::Error},     {"invalid_host", FindingSeverity::Error},       {"invalid_port", FindingSeverity::Error},
    {"unknown_type", FindingSeverity::Warning},   {"duplicate_field", FindingSeverity::Warning},  {"duplicate_service", FindingSeverity::Error},
    {"duplicate_route", FindingSeverity::Error},  {"unknown_service", FindingSeverity::Error},    {"shadowed_route", FindingSeverity::Error},
    {"no_weight", FindingSeverity::Error},        {"no_listed_service", FindingSeverity::Error},  {"unused_service", FindingSeverity::Warning},
    {"no_health_path", FindingSeverity::Warning}, {"goal_above_timeout", FindingSeverity::Error}, {"idle_timeout_below_timeout", FindingSeverity::Error},
    {"no_cold_rate", FindingSeverity::Warning},   {"no_connections", FindingSeverity::Error},     {"added", FindingSeverity::Difference},
    {"removed", FindingSeverity::Difference},     {"changed", FindingSeverity::Difference},
}};

const CodeInfo &infoOf(FindingCode code)
{
    return codes.at(static_cast<std::size_t>(code));
}

using Findings = std::vector<ConfigFinding>;

void add(Findings &findings, FindingCode code, const FieldLocation &location, std::string message)
{
    findings.push_back({code, location, std::move(message), "", ""});
}

std::string lineText(const FieldLocation &location)
{
    return "line " + std::to_string(location.line);
}

std::string milliseconds(Time time)
{
    return std::to_string(time / millisecond) + " ms";
}

/// Reports each entry whose name an earlier entry has.
template<typename Entry>
void addDuplicates(const std::vector<Entry> &entries, FindingCode code, const std::string &kind, Findings &findings)
{
    std::unordered_map<std::string_view, const Entry *> first;
    for (const Entry &it : entries) {
        const auto [found, added] = first.try_emplace(it.name, &it);
        if (!added && !it.name.empty()) {
            add(findings, code, it.location, kind + " " + quote(it.name) + " is defined before in " + lineText(found->second->location));
        }
    }
}

/// Reports routes whose address a later route has. A node keeps one route for each address, the last one.
void addShadowedRoutes(const ConfigDescription &config, Findings &findings)
{
    std::map<Address, const DescribedRoute *> last;
    for (const DescribedRoute &it : config.routes) {
        if (it.address) {
            last[*it.address] = &it;
        }
    }
    for (const DescribedRoute &it : config.routes) {
        const DescribedRoute *other = it.address ? last.at(*it.address) : &it;
        if (other != &it) {
            add(findings,
                FindingCode::ShadowedRoute,
                it.location,
                "route " + quote(it.name) + " never matches: route " + quote(other->name) + " in " + lineText(other->location) + " has the same host and port, "
                    + toString(*it.address) + ", and the last one counts");
        }
    }
}

using Names = std::unordered_set<std::string_view>;

void addUnlistedServices(const DescribedRoute &route, const Names &listed, Findings &findings)
{
    bool anyListed = false;
    for (const ServiceReference &it : route.services) {
        if (listed.contains(it.service)) {
            anyListed = true;
        } else {
            add(findings, FindingCode::UnknownService, it.location, "service " + quote(it.service) + " is not listed in the services");
        }
    }
    if (!anyListed && route.servicesDecoded && !route.services.empty()) {
        add(findings,
            FindingCode::NoListedService,
            route.servicesLocation,
            "route " + quote(route.name) + " never gets a target: none of its services is listed");
    }
}

void addRouteServices(const ConfigDescription &config, Findings &findings)
{
    Names listed;
    for (const DescribedService &it : config.services) {
        listed.insert(it.name);
    }
    for (const DescribedRoute &it : config.routes) {
        const bool noWeight = std::ranges::all_of(it.services, [](const ServiceReference &reference) { return reference.weight == 0; });
        if (noWeight && it.servicesDecoded && !it.services.empty()) {
            add(findings, FindingCode::NoWeight, it.servicesLocation, "all weights of route " + quote(it.name) + " are 0");
        }
        if (config.servicesDecoded) {
            addUnlistedServices(it, listed, findings);
        }
    }
}

void addUnusedServices(const ConfigDescription &config, Findings &findings)
{
    Names named;
    for (const DescribedRoute &route : config.routes) {
        for (const ServiceReference &it : route.services) {
            named.insert(it.service);
        }
    }
    for (const DescribedService &it : config.services) {
        if (!it.name.empty() && !named.contains(it.name)) {
            add(findings, FindingCode::UnusedService, it.location, "service " + quote(it.name) + " is named by no route");
        }
    }
}

/// Reports services without a health path if at least half of the services have one.
void addMissingHealthPaths(const ConfigDescription &config, Findings &findings)
{
    const auto n = static_cast<std::size_t>(std::ranges::count_if(config.services, &DescribedService::hasHealthPath));
    if (n * 2 < config.services.size()) {
        return;
    }
    for (const DescribedService &it : config.services) {
        if (!it.hasHealthPath) {
            add(findings,
                FindingCode::NoHealthPath,
                it.location,
                "service " + quote(it.name) + " has no health path; " + std::to_string(n) + " of " + std::to_string(config.services.size())
                    + " services have one");
        }
    }
}

void addServiceLimits(const ConfigDescription &config, Findings &findings)
{
    for (const DescribedService &it : config.services) {
        if (it.maxConnections == 0) {
            add(findings, FindingCode::NoConnections, it.maxConnectionsLocation, "service " + quote(it.name) + " allows no connections");
        }
        if (it.coldTime > 0 && it.coldRate == 0) {
            add(findings,
                FindingCode::NoColdRate,
                it.coldLocation,
                "cold targets of service " + quote(it.name) + " can take no requests for " + milliseconds(it.coldTime)
                    + ": a restart of the whole service leaves only the overshoot allowance");
        }
    }
}

void addTimeouts(const ConfigDescription &config, Findings &findings)
{
    const DescribedRoute *longest = nullptr;
    for (const DescribedRoute &it : config.routes) {
        if (it.timeout > 0 && it.responseTimeGoal > it.timeout) {
            add(findings,
                FindingCode::GoalAboveTimeout,
                it.goalLocation,
                "the response time goal of route " + quote(it.name) + ", " + milliseconds(it.responseTimeGoal) + ", is above its timeout, "
                    + milliseconds(it.timeout));
        }
        longest = longest == nullptr || it.timeout > longest->timeout ? &it : longest;
    }
    if (longest != nullptr && config.idleTimeout > 0 && config.idleTimeout < longest->timeout) {
        add(findings,
            FindingCode::IdleTimeoutBelowTimeout,
            config.idleTimeoutLocation,
            "the idle timeout, " + milliseconds(config.idleTimeout) + ", is below the longest timeout of a route, " + milliseconds(longest->timeout)
                + " of route " + quote(longest->name) + " in " + lineText(longest->location));
    }
}

} // namespace

std::string_view name(FindingCode code)
{
    return infoOf(code).name;
}

FindingSeverity severityOf(FindingCode code)
{
    return infoOf(code).severity;
}

std::string quote(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void addConfigFindings(const ConfigDescription &config, Findings &findings)
{
    addDuplicates(config.services, FindingCode::DuplicateService, "service", findings);
    addDuplicates(config.routes, FindingCode::DuplicateRoute, "route", findings);
    addShadowedRoutes(config, findings);
    addRouteServices(config, findings);
    addUnusedServices(config, findings);
    addMissingHealthPaths(config, findings);
    addServiceLimits(config, findings);
    addTimeouts(config, findings);
}

void sortFindings(Findings &findings)
{
    const auto position = [](const ConfigFinding &it) { return std::tuple(it.location.line, it.location.column, it.code); };
    std::ranges::stable_sort(findings, {}, position);
}

} // namespace pimentofold
