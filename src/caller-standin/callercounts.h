#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include <pimentofold/metrics.h>
#include <pimentofold/types.h>

/// What the callers observed, counted by phase, service and kind of work.
namespace pimentofold {

/// Counts of one kind of work of one service.
struct WorkCounts {
    std::int64_t requests = 0; ///< request numbers used; retransmissions not counted
    std::int64_t work = 0; ///< pieces of work; a piece that is sent again after NotRun counts once
    std::int64_t answered = 0; ///< whole answers with the right content
    std::int64_t wrong = 0; ///< answers with other content, or from the port of another service
    std::int64_t mayHaveRun = 0; ///< verdicts MayHaveRun and, for work that must run at most once, silence
    std::int64_t unanswered = 0; ///< requests without a verdict before their deadline
    std::int64_t cancelled = 0; ///< cancelled requests with a verdict, or of which the fabric lost every copy
    std::int64_t retransmissions = 0;
    std::map<std::string, std::int64_t> refused; ///< verdicts NotRun by reason
    std::map<std::string, std::int64_t> unclear; ///< verdicts MayHaveRun by reason
    std::int64_t samples = 0;
    DurationHistogram latency; ///< from the first sending to the whole answer

    WorkCounts();
};

/// Counts of the flows of one service.
struct FlowCounts {
    std::int64_t openedToken = 0;
    std::int64_t openedBare = 0;
    std::int64_t closed = 0;
    std::int64_t openUnanswered = 0;
    std::map<std::string, std::int64_t> openRefused; ///< by reason
    std::map<std::string, std::int64_t> brokenToken; ///< broken flows with a token, by cause
    std::map<std::string, std::int64_t> brokenBare; ///< broken flows without a token, by cause
};

/// Counts of one phase.
struct PhaseCounts {
    std::map<std::pair<std::size_t, std::size_t>, WorkCounts> work; ///< by group and kind of work
    std::map<std::size_t, FlowCounts> flows; ///< by group
    std::int64_t late = 0; ///< answers that nothing waits for, for example duplicates
    std::int64_t malformed = 0; ///< datagrams that aren't a packet
};

/// All phases; counting goes to the current one.
struct CallerCounts {
    std::map<std::string, PhaseCounts> phases;
    std::string current = "start";

    PhaseCounts &phase();
};

/// Adds a latency.
void recordLatency(WorkCounts &counts, Time latency);

/// @param share 0 to 1
/// @return upper bound in seconds of the histogram cell that holds the quantile; 0 without samples
double quantile(const WorkCounts &counts, double share);

/// @return the counts as JSON, without names
nlohmann::json toJson(const WorkCounts &counts);

/// @overload
nlohmann::json toJson(const FlowCounts &counts);

} // namespace pimentofold
