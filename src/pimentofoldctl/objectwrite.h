#pragma once

#include <functional>
#include <optional>
#include <string>

#include <pimentofold/random.h>
#include <pimentofoldctl/platformobject.h>

/// One conditional write of an object, as a state machine without sockets and clocks: nextCall() returns the next call of
/// the platform's API and handleResponse() processes its response, until the outcome is known.
///
/// The write reads the current version (the base) and then replaces exactly that version. When the response to the write
/// is lost, the object is read back. If its change id contains the entry of this write, the write took effect, even if
/// later versions have been written since. If another change has replaced the base, the write never takes effect. If the
/// base is still the current version, the same write is sent again, which is safe since the base can be replaced only once.
namespace pimentofold::ctl {

/// Outcome of a write.
enum class WriteOutcome {
    Pending, ///< not known yet; further calls are needed
    Written, ///< the write took effect
    Unchanged, ///< the current version already has the requested value; nothing was written
    Conflict, ///< another change was written first; this one never takes effect
    Refused, ///< the platform rejected the write
    NotWritten, ///< the platform couldn't be reached and no write was sent
    Unknown, ///< a write was sent, and whether it took effect couldn't be determined
};

/// @return the name of the outcome in the output, for example "not written"
std::string_view name(WriteOutcome outcome);

/// The change that a write makes.
struct WriteRequest {
    ObjectKey key;
    /// Returns the new value for the version that it replaces; null deletes the object. May throw to reject the write.
    std::function<nlohmann::json(const PlatformObject &base)> makeValue;
    std::string entry; ///< entry of this change in the change id, see makeChangeEntry()
    std::optional<std::int64_t> ifVersion; ///< version that the write must replace; 0: the object must not exist
    Time deadline = 0; ///< monotonic time after which calls are no longer retried
};

/// The kind of the next call of a write.
enum class WriteStep {
    Read, ///< read the version to replace
    Write, ///< replace the base
    ReadBack ///< read the object after the response to the write was lost
};

/// State of a write.
struct ObjectWrite {
    WriteRequest request;
    WriteStep step = WriteStep::Read;
    WriteOutcome outcome = WriteOutcome::Pending;
    PlatformObject base; ///< the version that the write replaces
    PlatformObject current; ///< the latest version that is known
    nlohmann::json value; ///< the new value; null for a deletion
    bool mayHaveTakenEffect = false; ///< a write was sent and its response was lost
    int failures = 0; ///< consecutive calls without a usable response
    std::int64_t version = 0; ///< written version; 0 when a later change has already replaced it
    std::optional<std::int64_t> revision; ///< platform revision of the written version, if the response to the write arrived
    std::string detail; ///< reason for the outcome; may be empty
};

/// @return whether the outcome is known
bool isFinished(const ObjectWrite &write);

/// @return the next call of the write, which must not be finished
ApiCall nextCall(const ObjectWrite &write);

/// Processes the response to nextCall().
/// @param write the write, which must not be finished
/// @param response response to the call
/// @param now current time, on the clock of WriteRequest::deadline
/// @throws whatever WriteRequest::makeValue throws
void handleResponse(ObjectWrite &write, const ApiResponse &response, Time now);

/// @return the delay before the next call: 0, or after failures an exponential back-off with full jitter
Time delayBeforeNextCall(const ObjectWrite &write, Random &random);

/// @param failures number of consecutive failed calls to the platform
/// @return the delay before the next attempt: an exponential back-off with full jitter; 0 without failures
Time retryDelay(int failures, Random &random);

} // namespace pimentofold::ctl
