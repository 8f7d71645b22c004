#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Basic types of the library: time, identifiers and instance keys.
///
/// The library never reads a clock. Every function that depends on the time has a Time parameter, so the same code
/// runs in a daemon on the monotonic clock and in a randomised simulation on virtual time.
namespace pimentofold {

/// A point in time or a duration, in microseconds. Points in time come from a clock that is monotonic within a process
/// and can't be compared between processes. Wall-clock time has the separate type WallTime.
using Time = std::int64_t;
/// Wall-clock time in milliseconds since the Unix epoch.
using WallTime = std::int64_t;

constexpr Time microsecond = 1;
constexpr Time millisecond = 1000 * microsecond;
constexpr Time second = 1000 * millisecond;
constexpr Time minute = 60 * second;
/// Later than every other point in time; marks a timer that isn't set.
constexpr Time never = INT64_MAX;

/// 64-bit identifier of a service, target, team or instance, computed from its name by idOf(). 0 means "none".
using Id = std::int64_t;

/// Computes an identifier as the 64-bit XXH3 hash of a name.
/// @param name "team/service" for a service, "team/service/instance" for a target, the plain name for a team or an instance
/// @return the identifier, never 0
Id idOf(std::string_view name);

/// @overload
/// @return the identifier of the service "team/service"
Id idOf(std::string_view team, std::string_view service);

/// @overload
/// @return the identifier of the target "team/service/instance"
Id idOf(std::string_view team, std::string_view service, std::string_view instance);

/// Combines two 64-bit values into one hash, for example for rendezvous hashing. The order of the arguments matters.
/// @return a value in which every bit depends on all bits of both arguments
std::uint64_t mix(std::uint64_t a, std::uint64_t b);

/// Identifies one run of a process on an entry instance. A restarted process has a higher incarnation.
struct InstanceKey {
    Id instance = 0; ///< idOf() the name of the entry instance
    std::int64_t incarnation = 0; ///< start of the process, in microseconds of wall-clock time

    // False positive: clang-tidy reports the 0 in the generated comparison as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const InstanceKey &, const InstanceKey &) = default;
};

/// @return the key as "instance@incarnation", both in hexadecimal, for logs
std::string toString(const InstanceKey &key);

} // namespace pimentofold

template<>
struct std::hash<pimentofold::InstanceKey> {
    std::size_t operator()(const pimentofold::InstanceKey &key) const noexcept
    {
        return pimentofold::mix(static_cast<std::uint64_t>(key.instance), static_cast<std::uint64_t>(key.incarnation));
    }
};
