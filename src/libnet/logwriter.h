#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <libnet/loop.h>

/// Writes the log without ever waiting for its reader.
///
/// Lines are collected and written when the loop is about to wait, as far as standard output takes them. What doesn't fit
/// in the buffer is dropped and counted, and a line tells so as soon as there is room.
namespace pimentofold {

/// Bytes that wait for a reader at most.
constexpr std::size_t mostLogBytes = 256'000;

/// Sends the lines of easylogging++ to a descriptor while it exists; one for each process.
class LogWriter
{
public:
    /// @param descriptor open for writing, for example standard output
    explicit LogWriter(int descriptor);
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Adds a line without its end.
    void add(std::string_view line);
    /// Writes what the descriptor takes at once.
    void flush();

    std::uint64_t dropped() const;

private:
    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_told = 0; ///< dropped lines that a line has told of
    ev_prepare m_beforeWait{};
    Timer m_retry;
};

/// Limits how many events of each name are logged.
struct LogBudget {
    struct Share {
        double left = 0;
        Time at = 0;
        std::int64_t held = 0; ///< events since the last one that was logged
    };

    double perSecond = 200; ///< events of each name
    double burst = 400;
    std::map<std::string, Share, std::less<>> shares;
    std::int64_t held = 0; ///< of all names since the start
};

/// @return whether an event may be logged now; otherwise it is counted
bool takeLogShare(LogBudget &budget, std::string_view event, Time now);

/// @return the number of events of this name that were held back since the last call
std::int64_t takeHeldCount(LogBudget &budget, std::string_view event);

} // namespace pimentofold
