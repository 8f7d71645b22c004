#include <pimentofold-measure/datapath.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <libnet/framedconnection.h>

#include <pimentofold-measure/datapathbench.h>

#include <pimentofold/codec.h>

#include "view_types.h"

namespace pimentofold {

namespace {

constexpr int targets = 2;
constexpr int callers = 2;
constexpr std::size_t flowsEach = 256;
constexpr int rounds = 7;
// The scripts in scripts/measure.d tell the balancer's process id in this variable.
constexpr const char *processVariable = "PIMENTOFOLD_BALANCER_PID";

wire::NodeView benchView(int targetCount)
{
    wire::NodeView view;
    view.generation = 1;
    view.dataCentre = "dc1";
    wire::ServiceView service;
    service.id = idOf(benchTeam, benchService);
    service.teamId = idOf(benchTeam);
    service.teamName = benchTeam;
    service.serviceName = benchService;
    service.port = benchServicePort;
    service.session = true;
    service.ceilingShare = 1;
    service.defaultDeadlineMs = 2000;
    view.services.push_back(service);
    for (int i = 0; i < targetCount; ++i) {
        wire::TargetView target;
        target.instance = "t" + std::to_string(i);
        target.id = idOf(benchTeam, benchService, target.instance);
        target.serviceId = service.id;
        target.address = std::string(benchTargetIp) + ":" + std::to_string(benchTargetPort + i);
        target.state = wire::TargetState::Serving;
        target.slots = 1024;
        view.targets.push_back(target);
    }
    wire::KeyView key;
    key.teamId = service.teamId;
    key.epoch = 1;
    key.secret = std::string(32, 'm');
    view.keys.push_back(key);
    return view;
}

std::string processFile(const char *name)
{
    const char *process = std::getenv(processVariable);
    return std::string("/proc/") + (process == nullptr ? "self" : process) + "/" + name;
}

/// @return CPU time of the balancer in seconds
double balancerCpu()
{
    std::ifstream in(processFile("stat"));
    std::string text((std::istreambuf_iterator<char>(in)), {});
    // The fields after the name in parentheses; user and system time are the 12th and 13th of them.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// @return resident memory of the balancer in bytes
double balancerMemory()
{
    std::ifstream in(processFile("statm"));
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

using Callers = std::vector<std::unique_ptr<BenchCaller>>;

std::uint64_t runAll(Callers &all, const Address &to, double seconds)
{
    std::vector<std::thread> threads;
    std::atomic<std::uint64_t> answered = 0;
    for (auto &it : all) {
        threads.emplace_back([&] { answered += it->run(to, seconds); });
    }
    for (std::thread &it : threads) {
        it.join();
    }
    return answered;
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/// Targets and callers around a balancer that has the bench's view.
struct Bench {
    Bench()
    {
        for (int i = 0; i < targets; ++i) {
            ends.push_back(std::make_unique<BenchTarget>(i));
        }
        if (!pushBenchView(targets)) {
            throw std::runtime_error("the balancer doesn't take the view; start the measurement with scripts/measure");
        }
    }

    std::vector<std::unique_ptr<BenchTarget>> ends;
};

} // namespace

bool pushBenchView(int targetCount)
{
    constexpr Time limit = 10 * second;
    const Time start = monotonicNow();
    const wire::NodeView view = benchView(targetCount);
    Codec codec;
    bool inForce = false;
    FramedConnection::Callbacks callbacks;
    callbacks.onFrame = [&](std::string_view payload) {
        wire::LocalMessage message;
        codec.decode(payload, message);
        const auto &seen = message.report.targets;
        inForce = message.report.generationInForce == view.generation && std::all_of(seen.begin(), seen.end(), [](const auto &it) { return it.reachable; });
    };
    callbacks.onClosed = [](const std::string &) {};
    FramedConnection agent(parseAddress(benchBalancerIp + (":" + std::to_string(benchViewPort))), std::move(callbacks));
    wire::LocalMessage message;
    message.__set_view(view);
    agent.send(codec.encode(message));
    Timer wake([] {});
    wake.start(0, 100 * millisecond);
    while (!inForce && !agent.isClosed() && monotonicNow() - start < limit) {
        ev_run(EV_DEFAULT, EVRUN_ONCE);
    }
    return inForce;
}

int measureForward(const MeasureOptions &options)
{
    const Bench bench;
    BareLoop bare;
    Callers all;
    for (int i = 0; i < callers; ++i) {
        all.push_back(std::make_unique<BenchCaller>(i));
        if (all.back()->open((i + 1) * 1'000'000LL, flowsEach, true, flowsEach) != flowsEach) {
            throw std::runtime_error("not all flows were opened");
        }
    }
    const Address balancer = parseAddress(benchBalancerIp + (":" + std::to_string(benchServicePort)));
    const Address echo = parseAddress(benchEchoAddress);
    const double seconds = std::min(1.0, options.seconds / (2 * rounds));
    std::vector<double> ratios;
    std::vector<double> bareRates;
    std::vector<double> rates;
    std::vector<double> cpuRatios;
    for (int i = 0; i < rounds; ++i) {
        // A packet is a datagram received or sent; each answered request is two for both. On a busy machine cpuRatio, packets
        // for each second of CPU time, varies less than ratio.
        const double bareBefore = bare.cpuSeconds();
        bareRates.push_back(2 * static_cast<double>(runAll(all, echo, seconds)) / seconds);
        const double bareCpu = bare.cpuSeconds() - bareBefore;
        const double before = balancerCpu();
        rates.push_back(2 * static_cast<double>(runAll(all, balancer, seconds)) / seconds);
        const double cpu = balancerCpu() - before;
        cpuRatios.push_back(rates.back() / cpu / (bareRates.back() / bareCpu));
        ratios.push_back(rates.back() / bareRates.back());
    }
    const nlohmann::json result{{"measurement", "forward"},
                                {"ratio", median(ratios)},
                                {"ratioLeast", *std::min_element(ratios.begin(), ratios.end())},
                                {"ratioMost", *std::max_element(ratios.begin(), ratios.end())},
                                {"packetsPerSecond", median(rates)},
                                {"barePacketsPerSecond", median(bareRates)},
                                {"cpuRatio", median(cpuRatios)},
                                {"rounds", rounds}};
    std::cout << result.dump() << '\n';
    return 0;
}

int measureBytesPerFlow(const MeasureOptions &options)
{
    const Bench bench;
    const std::size_t flows = options.size > 0 ? static_cast<std::size_t>(options.size) : 500'000;
    constexpr std::size_t warmUp = 50'000;
    constexpr std::size_t window = 256;
    BenchCaller caller(0);
    nlohmann::json result{{"measurement", "bytes_per_flow"}, {"flows", flows}};
    std::int64_t first = 1;
    for (const bool wantsToken : {true, false}) {
        // Buffers that don't grow with the flows reach their size first.
        caller.open(first, warmUp, wantsToken, window);
        first += static_cast<std::int64_t>(warmUp);
        const double before = balancerMemory();
        const std::size_t opened = caller.open(first, flows, wantsToken, window);
        first += static_cast<std::int64_t>(flows);
        const double growth = balancerMemory() - before;
        result[wantsToken ? "tokenFlowsOpened" : "bareFlowsOpened"] = opened;
        result[wantsToken ? "bytesPerTokenFlow" : "bytesPerBareFlow"] = growth / static_cast<double>(opened);
        caller.clear();
    }
    std::cout << result.dump() << '\n';
    return 0;
}

} // namespace pimentofold
