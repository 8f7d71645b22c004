#pragma once

#include <functional>
#include <optional>
#include <string>

#include <pimentofold/random.h>
#include <pimentofoldctl/platformobject.h>

/// One conditional write of an object, as a state machine without sockets and clocks: nextCall() says what to ask
/// the platform and handleResponse() takes the answer, until the outcome is known.
///
/// The write reads the present version, then replaces exactly that version. When an answer is lost, the write reads
/// back: its change id in the object, or in the ids of earlier changes that later versions carry, proves that it took
/// effect; a version that another change made of the same base proves that it never will. While the base is still in
/// place the same write is sent again, which is safe since it can replace the base only once.
namespace pimentofold::ctl {

enum class WriteOutcome {
    Pending,
    Written,
    Unchanged, ///< the version that was read has the wanted value already
    Conflict, ///< another change came first; this one never takes effect
    Refused, ///< the platform refuses the write
    NotWritten, ///< the platform couldn't be reached and no write was sent
    Unknown, ///< a write was sent and its fate couldn't be found out in time
};

/// @return the name in output, for example "not written"
std::string_view name(WriteOutcome outcome);

struct WriteRequest {
    ObjectKey key;
    /// Gives the new value from the version that it replaces; null deletes. May throw to refuse.
    std::function<nlohmann::json(const PlatformObject &base)> makeValue;
    std::string entry; ///< id of this change, see makeChangeEntry()
    std::optional<std::int64_t> ifVersion; ///< version that the operator has seen; 0: the object must not exist
    Time deadline = 0; ///< no call is started after it
};

enum class WriteStep { Read, Write, ReadBack };

struct ObjectWrite {
    WriteRequest request;
    WriteStep step = WriteStep::Read;
    WriteOutcome outcome = WriteOutcome::Pending;
    PlatformObject base; ///< the version that the write replaces
    PlatformObject current; ///< the version that was seen last
    nlohmann::json value; ///< the wanted value
    bool mayHaveTakenEffect = false; ///< a write was sent and its answer was lost
    int failures = 0; ///< consecutive calls without a usable answer
    std::int64_t version = 0; ///< written version; 0 when a later change has replaced it already
    std::optional<std::int64_t> revision; ///< platform revision of the written version, if its answer came
    std::string detail; ///< explains the outcome
};

/// @return whether the outcome is known
bool isFinished(const ObjectWrite &write);

/// @return the next call; not to be used on a finished write
ApiCall nextCall(const ObjectWrite &write);

/// Takes the answer to nextCall().
/// @param now the time that the deadline refers to
/// @throws whatever makeValue() throws
void handleResponse(ObjectWrite &write, const ApiResponse &response, Time now);

/// @return pause before the next call: none, or after failures an exponential back-off with full jitter
Time delayBeforeNextCall(const ObjectWrite &write, Random &random);

/// @return the pause after consecutive failures of calls to the platform
Time retryDelay(int failures, Random &random);

} // namespace pimentofold::ctl
