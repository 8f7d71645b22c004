#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include <pimentofold/random.h>
#include <pimentofoldctl/objectwrite.h>
#include <pimentofoldctl/platformobject.h>

/// Calls to the platform, one after the other.
namespace pimentofold::ctl {

/// The platform gave no usable answer in time.
struct PlatformUnreachable : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// A way to the platform. Tests put a platform in memory here.
struct Connection {
    std::function<ApiResponse(const ApiCall &)> call;
    std::function<void(Time)> pause;
    std::function<Time()> now;
    Random random; ///< for the jitter of pauses
    Time retryTimeout = 0; ///< how long one read or write may be repeated
};

/// @param platform "ip:port"
/// @param callTimeout after which an answer counts as lost
/// @param retryTimeout how long one read or write may be repeated
/// @param seed of the jitter
Connection connectTo(const std::string &platform, Time callTimeout, Time retryTimeout, std::uint64_t seed);

/// Makes a call, again after lost answers until the deadline. Only for calls that change nothing.
/// @throws PlatformUnreachable
ApiResponse callRepeatedly(Connection &connection, const ApiCall &call);

/// @return the object, with version 0 when it never existed
/// @throws PlatformUnreachable; std::runtime_error when the platform refuses
PlatformObject readObject(Connection &connection, const ObjectKey &key);

/// Objects as of a revision of the platform.
struct ObjectList {
    std::int64_t revision = 0;
    std::vector<PlatformObject> objects; ///< deleted ones as well
};

/// @return objects that have changed after @p since
/// @throws PlatformUnreachable
ObjectList readObjects(Connection &connection, std::int64_t since = 0, int waitSeconds = 0);

/// Takes a write through to its outcome.
void runWrite(Connection &connection, ObjectWrite &write);

} // namespace pimentofold::ctl
