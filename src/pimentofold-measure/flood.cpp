#include <pimentofold-measure/measurements.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include <pimentofold-measure/floodmodel.h>

namespace pimentofold {

namespace {

constexpr Time warmUp = 2 * second;
constexpr Time floodFrom = 6 * second;
constexpr Time recoveryLength = 10 * second;
constexpr Time bin = 250 * millisecond;
// A bin has few invoices, so that one late answer must not count as a bin that hasn't recovered.
constexpr double recoveredShare = 0.9;

/// Requests of one service that were created in a period.
struct Share {
    std::int64_t created = 0;
    std::int64_t answered = 0; ///< within their deadlines
};

Share shareOf(const FloodModel &model, std::size_t service, Time from, Time until)
{
    Share share;
    for (const FloodRequest &it : model.requests) {
        if (it.service == service && it.created >= from && it.created < until) {
            share.created += 1;
            share.answered += it.answered <= it.deadline ? 1 : 0;
        }
    }
    return share;
}

double ratio(const Share &share)
{
    return share.created == 0 ? 1.0 : static_cast<double>(share.answered) / static_cast<double>(share.created);
}

/// @return 99th percentile of the time to an answer, over the answered requests that were created in a period
double responseP99(const FloodModel &model, std::size_t service, Time from, Time until)
{
    std::vector<Time> responses;
    for (const FloodRequest &it : model.requests) {
        if (it.service == service && it.created >= from && it.created < until && it.answered != never) {
            responses.push_back(it.answered - it.created);
        }
    }
    return percentile(responses, 0.99) / millisecond;
}

/// @return requests answered in time in a period over what the targets can finish in it
double goodput(const FloodModel &model, std::size_t service, Time from, Time until)
{
    const auto answered = std::count_if(model.requests.begin(), model.requests.end(), [&](const FloodRequest &it) {
        return it.service == service && it.answered <= it.deadline && it.answered >= from && it.answered < until;
    });
    const double length = static_cast<double>(until - from) / static_cast<double>(second);
    return static_cast<double>(answered) / (model.services[service].capacity * length);
}

/// @return time from the end of the flood to the end of the last bin in which a service answered less than usual
Time recovery(const FloodModel &model, Time floodUntil)
{
    Time recovered = 0;
    for (Time at = floodUntil; at < floodUntil + recoveryLength; at += bin) {
        for (std::size_t service = 0; service < floodServices; ++service) {
            if (ratio(shareOf(model, service, at, at + bin)) < recoveredShare) {
                recovered = at + bin - floodUntil;
            }
        }
    }
    return recovered;
}

struct FloodCase {
    std::string name;
    std::size_t flooded; ///< the service that floods; the other one is to be kept
    double times; ///< the flood's rate over the capacity of the flooded service
    Time length;
    Time slowness = 1; ///< factor on the processor time of each step
};

/// @return datagrams that the ingress gates dropped
std::int64_t gateDrops(const FloodModel &model)
{
    std::int64_t dropped = 0;
    for (const FloodBalancer &it : model.balancers) {
        for (const IngressService &service : it.gate.services) {
            dropped += service.dropped;
        }
    }
    return dropped;
}

nlohmann::json runCase(const FloodCase &flood, Protection protection, std::uint64_t seed)
{
    const auto model = std::make_unique<FloodModel>();
    setUpFlood(*model, protection, seed);
    slowDown(model->costs, flood.slowness);
    const Time floodUntil = floodFrom + flood.length;
    const Time until = floodUntil + recoveryLength;
    for (std::size_t service = 0; service < floodServices; ++service) {
        addArrivals(*model, service, model->services[service].usualRate, 0, until);
    }
    addArrivals(*model, flood.flooded, flood.times * model->services[flood.flooded].capacity, floodFrom, floodUntil);
    if (protection == Protection::InForce || protection == Protection::NoIngress) {
        addExpiry(*model, until);
    }
    runUntil(model->sim, floodFrom);
    std::array<double, floodBalancers> busyBefore{};
    for (std::size_t i = 0; i < floodBalancers; ++i) {
        busyBefore[i] = model->balancers[i].busyTime;
    }
    runUntil(model->sim, floodUntil);
    const double dispatcherBusy = (model->balancers[floodDispatcher].busyTime - busyBefore[floodDispatcher]) / static_cast<double>(flood.length);
    const double entryBusy = (model->balancers[1].busyTime - busyBefore[1]) / static_cast<double>(flood.length);
    const std::int64_t limits = model->limitMessages;
    runUntil(model->sim, until + 5 * second);
    const std::size_t keptService = 1 - flood.flooded;
    const double before = ratio(shareOf(*model, keptService, warmUp, floodFrom));
    const double during = ratio(shareOf(*model, keptService, floodFrom, floodUntil));
    return {{"before", before},
            {"kept", before > 0 ? during / before : 0},
            {"kept_p99_before_ms", responseP99(*model, keptService, warmUp, floodFrom)},
            {"kept_p99_ms", responseP99(*model, keptService, floodFrom, floodUntil)},
            {"flooded_goodput", goodput(*model, flood.flooded, floodFrom, floodUntil)},
            {"false_not_run", model->falseNotRun},
            {"recovery_ms", recovery(*model, floodUntil) / millisecond},
            {"dispatcher_busy", dispatcherBusy},
            {"entry_busy", entryBusy},
            {"limit_messages", limits},
            {"gate_drops", gateDrops(*model)},
            {"socket_drops", model->socketDrops}};
}

struct NamedProtection {
    const char *name;
    Protection protection;
};

constexpr NamedProtection protections[] = {
    {"in_force", Protection::InForce},
    {"no_ingress", Protection::NoIngress},
    {"no_admission", Protection::NoAdmission},
    {"random_choice", Protection::RandomChoice},
};

} // namespace

int measureFlood(const MeasureOptions &options)
{
    const Time length = (options.size > 0 ? options.size : 4) * second;
    const FloodCase cases[] = {
        {"invoice_10", 1, 10, length},
        {"invoice_100", 1, 100, length},
        {"booking_10", 0, 10, length},
        {"booking_100", 0, 100, length / 2}, // 150,000 requests a second
        {"invoice_100_slow", 1, 100, length, 3}, // saturates the dispatcher
        {"booking_100_slow", 0, 100, length / 2, 3}, // saturates every balancer
    };
    nlohmann::json result{{"measurement", "flood"}, {"seed", options.seed}};
    std::int64_t falseNotRun = 0;
    for (const FloodCase &it : cases) {
        for (const NamedProtection &protection : protections) {
            const nlohmann::json row = runCase(it, protection.protection, options.seed);
            falseNotRun += protection.protection == Protection::InForce ? row["false_not_run"].get<std::int64_t>() : 0;
            result[it.name][protection.name] = row;
        }
    }
    std::cout << result.dump() << '\n';
    return falseNotRun == 0 ? 0 : 1;
}

} // namespace pimentofold
