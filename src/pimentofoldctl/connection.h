#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include <pimentofold/random.h>
#include <pimentofoldctl/objectwrite.h>
#include <pimentofoldctl/platformobject.h>

/// Blocking calls of the platform's object API.
namespace pimentofold::ctl {

/// Thrown when the platform gave no usable response in time.
struct PlatformUnreachable : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// A connection to the platform. The functions can be replaced by an in-memory platform and clock in tests.
struct Connection {
    std::function<ApiResponse(const ApiCall &)> call; ///< makes one call and waits for its response
    std::function<void(Time)> pause; ///< waits for a duration
    std::function<Time()> now; ///< monotonic clock
    Random random; ///< for the jitter of retry delays
    Time retryTimeout = 0; ///< time after which a read or write is no longer retried
};

/// Creates a connection that makes its calls over HTTP. No call is made yet.
/// @param platform address as "ip:port"
/// @param callTimeout time after which the response to one call counts as lost
/// @param retryTimeout time after which a read or write is no longer retried
/// @param seed seed of the jitter
Connection connectTo(const std::string &platform, Time callTimeout, Time retryTimeout, std::uint64_t seed);

/// Makes a call and retries it while responses are lost, until Connection::retryTimeout has passed. Only for calls that
/// don't change anything.
/// @return a response that isn't ResponseKind::Lost
/// @throws PlatformUnreachable when all responses were lost
ApiResponse callRepeatedly(Connection &connection, const ApiCall &call);

/// Reads the current version of an object.
/// @return the object, with version 0 when it never existed
/// @throws PlatformUnreachable when all responses were lost
/// @throws std::runtime_error when the platform rejects the call
PlatformObject readObject(Connection &connection, const ObjectKey &key);

/// Objects at a revision of the platform's store.
struct ObjectList {
    std::int64_t revision = 0;
    std::vector<PlatformObject> objects; ///< includes deleted objects
};

/// Reads the objects that have changed after a revision.
/// @param since revision; 0 for all objects
/// @param waitSeconds how long the platform may wait for a change before it responds; 0 to respond at once
/// @return the objects, and the revision to use as @p since next time
/// @throws PlatformUnreachable when all responses were lost
/// @throws std::runtime_error when the response has no list of objects
ObjectList readObjects(Connection &connection, std::int64_t since = 0, int waitSeconds = 0);

/// Makes the calls of a write until its outcome is known or Connection::retryTimeout has passed. The result is in
/// ObjectWrite::outcome; a failed write doesn't throw unless WriteRequest::makeValue does.
/// @param write the request is filled in except for its deadline, which this function sets
void runWrite(Connection &connection, ObjectWrite &write);

} // namespace pimentofold::ctl
