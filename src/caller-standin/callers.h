#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <caller_types.h>

#include <pimentofold/random.h>

#include <caller-standin/callercounts.h>
#include <caller-standin/callersettings.h>
#include <caller-standin/rangefetch.h>

/// The state of all callers of one process. flows.h and calls.h change it; packets and the time go in, packets
/// come out in Callers::out.
namespace pimentofold {

/// Delay of the first retransmission; each further one waits twice as long, up to the most.
constexpr Time firstRetransmission = 150 * millisecond;
constexpr Time mostRetransmission = 2 * second;

enum class FlowPhase { Opening, Open, Closing };

/// A flow from its opening to its end.
struct Flow {
    std::size_t group = 0;
    FlowPhase phase = FlowPhase::Opening;
    bool carriesToken = false;
    std::string token; ///< the newest one
    std::string server; ///< "instance/incarnation" that answered first; empty before
    std::int64_t lastRequest = 0;
    int attempt = 1; ///< of Open or Close
    int lostInRow = 0; ///< requests in a row that ended because the target was lost
    Time startedAt = 0;
    std::size_t position = 0; ///< in the list of open flows
};

/// A request on its way.
struct Call {
    std::size_t group = 0;
    std::size_t work = 0;
    std::string operation; ///< for work that must run at most once
    int sending = 1; ///< counts the requests for this piece of work
    std::string token; ///< of the first sending; part of the record key of a request that may not be repeated
    int attempt = 1;
    Time startedAt = 0;
    Time deadline = 0;
    Time workDeadline = 0; ///< for all requests of this piece of work
    Time retransmitAt = 0;
    Time cancelAt = never;
    bool cancelled = false;
    bool delivered = false; ///< the fabric handed a copy of the request to a balancer
    bool startOnly = false; ///< one datagram of the answer is enough
    bool sweep = false; ///< checks that the flow still holds; see startSweep()
    RangeFetch fetch;
};

/// Names a request: flow and number.
using CallKey = std::pair<std::int64_t, std::int64_t>;

struct CallKeyHash {
    std::size_t operator()(const CallKey &key) const noexcept
    {
        return mix(static_cast<std::uint64_t>(key.first), static_cast<std::uint64_t>(key.second));
    }
};

/// A piece of work that is sent again after NotRun.
struct Resend {
    std::size_t group = 0;
    std::size_t work = 0;
    std::string operation;
    int sending = 1;
    Time workDeadline = 0;
};

enum class AlarmKind { Flow, Call, Close, Resend, FirstUse };

/// Something to do at a time. Alarms aren't removed; those of ended flows and calls do nothing.
struct Alarm {
    Time at = 0;
    AlarmKind kind = AlarmKind::Flow;
    std::int64_t flow = 0;
    std::int64_t number = 0; ///< of the request or of the resend

    friend bool operator>(const Alarm &a, const Alarm &b)
    {
        return a.at > b.at;
    }
};

/// The verdict on one request of work that must run at most once.
struct OperationVerdict {
    std::string operation;
    std::int64_t flow = 0;
    std::int64_t request = 0;
    std::string verdict; ///< as name(Verdict); "pending" until there is one
    std::string reason;
    std::string phase; ///< in which the request was sent
};

/// The check that every open flow still works.
struct Sweep {
    std::vector<std::int64_t> queue; ///< flows that wait for their check
    double perSecond = 1000;
    double credit = 0;
    std::size_t underWay = 0;
    std::map<std::int64_t, int> tries; ///< of flows whose check was refused
    std::int64_t total = 0;
    std::int64_t heldToken = 0; ///< flows with a token that answered from their server
    std::int64_t heldBare = 0;
    std::int64_t ended = 0; ///< flows that were closed, or counted as broken, meanwhile
    std::int64_t unresolved = 0; ///< flows without a clear result after all tries
};

/// State of the callers of one service.
struct Group {
    GroupSettings settings;
    std::vector<std::int64_t> openFlows[2]; ///< bare flows and flows with a token
    std::size_t opening = 0;
    double openCredit = 0;
    Time openPausedUntil = 0; ///< a refusal of Open asks to come back later
    std::vector<Time> nextArrival; ///< by kind of work
    std::vector<bool> running; ///< whether the load of a kind of work is on
};

/// A packet to be sent to a balancer of a group's service.
struct Sending {
    std::size_t group = 0;
    wire::CallerPacket packet;
};

struct Callers {
    std::string node;
    std::vector<Group> groups;
    std::unordered_map<std::int64_t, Flow> flows;
    std::unordered_map<CallKey, Call, CallKeyHash> calls;
    std::priority_queue<Alarm, std::vector<Alarm>, std::greater<>> alarms;
    std::map<std::int64_t, Resend> resends;
    std::vector<OperationVerdict> operations;
    std::unordered_map<CallKey, std::size_t, CallKeyHash> operationOf; ///< index in operations
    std::int64_t lastOperation = 0;
    std::int64_t lastResend = 0;
    Sweep sweep;
    CallerCounts counts;
    Random random;
    Time lastTick = 0;
    std::vector<Sending> out;
};

/// @return callers without flows
Callers makeCallers(const CallerSettings &settings, Time now);

/// Handles a packet from a balancer.
/// @param port from which the packet came
void receive(Callers &callers, const wire::CallerPacket &packet, std::uint16_t port, Time now);

/// Notes that the fabric has handed a packet to a balancer.
void noteDelivered(Callers &callers, const wire::CallerPacket &packet);

/// @return pieces of work without a final verdict: requests under way, and those that will be sent again after NotRun
std::size_t workUnderWay(const Callers &callers);

/// Opens flows, starts load and does what is due. Call it every few milliseconds.
void tick(Callers &callers, Time now);

} // namespace pimentofold
