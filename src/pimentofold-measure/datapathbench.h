#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <pimentofold/address.h>

/// Ends of the data path for measurements of a real balancer process: targets, callers and a bare datagram loop,
/// each on a thread of its own with blocking sockets, so that they cost little.
namespace pimentofold {

/// Addresses that the scripts in scripts/measure.d give to the balancer.
constexpr const char *benchBalancerIp = "127.10.8.1";
constexpr int benchServicePort = 21900;
constexpr int benchViewPort = 21901;
constexpr const char *benchTargetIp = "127.10.8.2";
constexpr int benchTargetPort = 21910;
constexpr const char *benchCallerIp = "127.10.8.3";
constexpr const char *benchEchoAddress = "127.10.8.4:21920";
constexpr const char *benchTeam = "measure";
constexpr const char *benchService = "lookup";

/// A target that accepts every flow and answers every request with a few bytes.
class BenchTarget
{
public:
    /// @param index of the target; its port and name follow from it
    explicit BenchTarget(int index);
    ~BenchTarget();
    BenchTarget(const BenchTarget &) = delete;
    BenchTarget &operator=(const BenchTarget &) = delete;

private:
    void serve();
    void serveConnection(int descriptor);

    int m_index;
    int m_listener = -1;
    std::atomic<bool> m_stop = false;
    std::thread m_thread;
};

/// Receives batches of datagrams and sends each one back.
class BareLoop
{
public:
    BareLoop();
    ~BareLoop();
    BareLoop(const BareLoop &) = delete;
    BareLoop &operator=(const BareLoop &) = delete;

    /// @return CPU time of the loop's thread in seconds
    double cpuSeconds();

private:
    void serve();

    int m_descriptor = -1;
    std::atomic<bool> m_stop = false;
    std::thread m_thread;
};

/// A caller with one request in flight on each of its flows.
class BenchCaller
{
public:
    /// @param index of the caller; tells flow numbers of different callers apart
    explicit BenchCaller(int index);
    ~BenchCaller();
    BenchCaller(const BenchCaller &) = delete;
    BenchCaller &operator=(const BenchCaller &) = delete;

    /// Opens flows through the balancer and prepares a request on each.
    /// @param first number of the first flow
    /// @param flows how many
    /// @param wantsToken whether they are token flows
    /// @param window most packets in flight
    /// @return flows that were opened
    std::size_t open(std::int64_t first, std::size_t flows, bool wantsToken, std::size_t window);

    /// Sends the prepared requests of all flows again and again.
    /// @param to the balancer or the bare loop
    /// @param seconds length of the run
    /// @return datagrams that came back
    std::uint64_t run(const Address &to, double seconds);

    /// Forgets the flows that were opened.
    void clear();

private:
    int m_descriptor = -1;
    std::vector<std::string> m_requests; ///< one datagram for each flow
    std::int64_t m_first = 0;
};

/// Gives the balancer a view with the bench's service and targets and waits until it is in force.
/// @param targets number of targets
/// @return false when it isn't in force within 10 s
bool pushBenchView(int targets);

} // namespace pimentofold
