#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include <pimentofold/random.h>
#include <pimentofold/types.h>

/// Virtual time and a network with faults for tests and measurements of the library.
namespace pimentofold::testsupport {

/// Events in the order of their virtual time; events of the same time run in the order of scheduling.
struct EventQueue {
    Time now = 0;
    std::uint64_t sequence = 0;
    std::map<std::pair<Time, std::uint64_t>, std::function<void()>> events;
};

/// Runs @p event at @p at, or at once when that has passed.
void schedule(EventQueue &queue, Time at, std::function<void()> event);

/// Runs all events up to and including @p limit.
void runUntil(EventQueue &queue, Time limit);

/// What a script does with one message.
struct Fate {
    bool lose = false;
    int copies = 1;
    Time extraDelay = 0;
};

/// Datagrams between numbered nodes.
struct VirtualNet {
    EventQueue *queue = nullptr;
    Random random;
    double loss = 0;
    double duplicate = 0;
    double late = 0; ///< share of copies that are delayed by up to lateLimit
    Time lateLimit = 0;
    Time minDelay = 200 * microsecond;
    Time meanExtraDelay = 0; ///< exponentially distributed; reorders messages
    std::map<int, int> groups; ///< a partition: nodes of different groups don't hear each other; default 0
    std::function<Fate(int from, int to, int kind)> script;
    std::int64_t sent = 0;
};

/// @return true when a partition separates the nodes
bool separated(const VirtualNet &net, int a, int b);

/// Sends a datagram; @p deliver runs once for each copy that arrives.
/// @param kind passed to the script
void transmit(VirtualNet &net, int from, int to, int kind, const std::function<void()> &deliver);

/// Sends over a connection: nothing is lost or duplicated, except by the script, and a partition delays.
void transmitReliably(VirtualNet &net, int from, int to, int kind, const std::function<void()> &deliver);

} // namespace pimentofold::testsupport
