#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Basic types of the library: time, identifiers and instance keys.
///
/// The library reads no clock. Every function that needs the time takes a Time, so that the same code runs
/// in a daemon on the monotonic clock and in a randomised run on virtual time.
namespace pimentofold {

/// A point in time or a duration in microseconds. Points in time are monotonic within a process; functions
/// that need wall time say so and call it WallTime.
using Time = std::int64_t;
/// Wall time in milliseconds since the Unix epoch.
using WallTime = std::int64_t;

constexpr Time microsecond = 1;
constexpr Time millisecond = 1000 * microsecond;
constexpr Time second = 1000 * millisecond;
constexpr Time minute = 60 * second;
/// A time later than any other.
constexpr Time never = INT64_MAX;

/// 64-bit identifier of a named thing; see idOf(). 0 means "none".
using Id = std::int64_t;

/// Hashes a name to an identifier with XXH3.
/// @param name for a service "team/service", for a target "team/service/instance", for an instance its name
/// @return the identifier, never 0
Id idOf(std::string_view name);

/// @return the identifier of "team/service"
Id idOf(std::string_view team, std::string_view service);

/// @overload
Id idOf(std::string_view team, std::string_view service, std::string_view instance);

/// Mixes two 64-bit values to one; used for rendezvous hashing.
/// @return a value whose bits depend on all bits of both
std::uint64_t mix(std::uint64_t a, std::uint64_t b);

/// One run of one process on an entry instance. A restarted process has a higher incarnation.
struct InstanceKey {
    Id instance = 0;
    std::int64_t incarnation = 0; ///< microseconds of wall time at which the process started

    // clang-tidy takes the 0 of the generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const InstanceKey &, const InstanceKey &) = default;
};

/// @return the key as "instance@incarnation" in hexadecimal, for logs
std::string toString(const InstanceKey &key);

} // namespace pimentofold

template<>
struct std::hash<pimentofold::InstanceKey> {
    std::size_t operator()(const pimentofold::InstanceKey &key) const noexcept
    {
        return pimentofold::mix(static_cast<std::uint64_t>(key.instance), static_cast<std::uint64_t>(key.incarnation));
    }
};
