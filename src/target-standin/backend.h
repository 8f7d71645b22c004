#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <target_types.h>

#include <pimentofold/random.h>
#include <pimentofold/types.h>

/// A backend server of the stand-in as a state machine: frames and the time in, frames out.
namespace pimentofold {

/// What a server reports as its load.
enum class ReportedLoad { True, Idle, Full };

/// Fixed properties of a server.
struct BackendSettings {
    std::string team;
    std::string service;
    std::string instance;
    std::string dataCentre;
    std::string address; ///< "ip:port" on which the server listens
    bool session = true; ///< whether the server keeps flows and refuses requests on others
    int slots = 3; ///< requests that run at the same time
    Time serviceTime = 2 * millisecond; ///< mean of the exponentially distributed time of a request
    std::size_t queueLimit = 16;
    Time unusedLimit = 10 * second; ///< a flow without any request ends after this time
    Time coldStart = 0; ///< time after the start in which requests take coldFactor times as long
    double coldFactor = 4;
    std::int64_t answerBytes = 200; ///< length of each answer, at least answerHeaderBytes
};

/// Faults that can be switched on and off.
struct BackendFaults {
    bool unhealthy = false; ///< reports itself as unhealthy
    bool silent = false; ///< takes frames and answers none
    double shedShare = 0; ///< share of opens and requests that are shed in spite of room
    double slowFactor = 1; ///< multiplies the service time
    Time statusLag = 0; ///< delay of pushed reports
    ReportedLoad reportedLoad = ReportedLoad::True;
};

/// Counters since the start.
struct BackendCounts {
    std::int64_t opened = 0; ///< flows opened, repeated opens not counted
    std::int64_t unusedEnded = 0; ///< flows that ended since nobody used them
    std::int64_t requests = 0; ///< request frames, ranges included
    std::map<std::string, std::int64_t> outcomes; ///< answers to opens and requests by outcome
    std::int64_t foreign = 0; ///< frames of another service, team or flow
    std::int64_t lateNewWork = 0; ///< new flows and new work more than lateNewWorkLimit after the drain began
    Time busy = 0; ///< sum of the time of all slots
    std::size_t mostQueued = 0;
};

/// Bound of the invariant LeavingGetsNoNewWork.
constexpr Time lateNewWorkLimit = 2 * second;

/// Identifies one sending of work that must run at most once: operation, flow and request number.
using RunKey = std::tuple<std::string, std::int64_t, std::int64_t>;

/// A connection of a balancer; chosen by the owner of the sockets.
using ConnectionId = std::uint64_t;

/// A frame to be sent.
struct Outgoing {
    ConnectionId connection = 0;
    wire::TargetFrame frame;
};

/// A request that waits or runs.
struct Work {
    ConnectionId connection = 0;
    wire::TargetFrame frame;
    Time deadline = never; ///< for the start of the work
    Time due = never; ///< end of the work once it runs
    Time started = 0;
};

/// A report on its way to the subscribers.
struct PendingStatus {
    Time due = 0;
    wire::TargetStatus status;
};

/// State of one server.
struct Backend {
    BackendSettings settings;
    std::int64_t incarnation = 0;
    Time startedAt = 0;
    Random random;
    BackendFaults faults;
    BackendCounts counts;
    std::set<std::int64_t> flows;
    std::set<std::int64_t> unused; ///< flows without any request yet
    std::deque<std::pair<Time, std::int64_t>> opens; ///< when the flows in unused were opened, oldest first
    std::deque<Work> queue;
    std::vector<Work> running;
    std::map<RunKey, int> runs; ///< how often each request that must run at most once ran
    std::optional<Time> drainingSince;
    std::set<ConnectionId> subscribers;
    std::deque<PendingStatus> reports;
    bool statusChanged = false;
    Time nextReport = 0;
};

/// Handles one frame.
/// @param out frames to be sent are appended
void receive(Backend &backend, ConnectionId from, const wire::TargetFrame &frame, Time now, std::vector<Outgoing> &out);

/// Forgets a connection. Its requests run to their end, as on a server that doesn't notice the loss.
void connectionLost(Backend &backend, ConnectionId connection);

/// Ends work and sends reports that are due, and starts waiting work.
void advance(Backend &backend, Time now, std::vector<Outgoing> &out);

/// @return when advance() has something to do; never when there is nothing
Time nextDue(const Backend &backend);

/// Starts or ends the drain. Established flows go on; new flows and new work are refused.
void setDraining(Backend &backend, bool draining, Time now);

/// @return load and health as the server would report them now, with its faults
wire::TargetStatus statusOf(const Backend &backend, Time now);

/// @return whether the server has neither flows nor work left
bool isIdle(const Backend &backend);

} // namespace pimentofold
