#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include <pimentofold/dispatch.h>

/// Requests in progress as the owner of the targets counts them, to check evidence against a target.
///
/// At a silent target all requests stall, and callers that get their answers from other targets have sent them. At a target
/// that hangs most requests are acknowledged, and lossy links of callers show in their requests to all targets.
namespace pimentofold {

/// A request without an answer for this long is overdue. Its caller has retransmitted it unless the target has acknowledged it.
constexpr Time overdueTime = 300 * millisecond;
/// Answers count for this long.
constexpr Time answerWindow = 2 * second;
/// A caller is credible when it has got at least this many answers for each overdue request. The same holds for all callers
/// together.
constexpr int answersPerOverdueRequest = 4;
/// An owner sees only some of the flows of a caller, so that single callers may not be credible although their paths are
/// fine. From this many callers on, it is enough that all callers together are credible.
constexpr std::size_t minJointCallers = 3;

/// Requests of one caller.
struct CallerWork {
    int answered = 0; ///< flows with an answer within answerWindow
    int overdue = 0; ///< overdue requests
};

/// Summary of the flows that a dispatcher counts.
struct WorkSummary {
    std::map<std::uint32_t, CallerWork> callers; ///< by IP address
    std::map<std::uint64_t, std::vector<std::uint32_t>> overdue; ///< by target: the caller of each overdue request
};

/// @param keepsFlows returns whether flows of a route carry more than one request; others are left out
WorkSummary summarizeWork(const Dispatcher &dispatcher, const std::function<bool(const Address &service)> &keepsFlows, Time now);

/// @param stalledFlows stalled flows in the evidence against the target
/// @param isSuspected returns whether there is evidence against a target; overdue requests on such targets don't speak against
///        the callers
/// @return whether at least half of the target's overdue requests stall, and either two credible callers have sent them, or
///         minJointCallers callers while the requests of all callers to the other targets are answered
bool isWorkConsistent(const WorkSummary &work, std::uint64_t target, int stalledFlows, const std::function<bool(std::uint64_t target)> &isSuspected);

} // namespace pimentofold
