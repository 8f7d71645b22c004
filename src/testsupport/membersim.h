#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <pimentofold/codec.h>
#include <pimentofold/membership/membership.h>

#include <testsupport/virtualnet.h>

/// Agents with the library's membership on virtual time; counts their messages and bytes.
namespace pimentofold::testsupport {

/// Bytes of the IP and UDP headers of a datagram.
constexpr std::int64_t headerBytes = 28;

struct SimAgent {
    int node = 0;
    bool up = false;
    bool paused = false;
    std::uint64_t life = 0;
    Time startedAt = 0;
    Time downAt = never; ///< when the process ended
    MembershipState membership;
    std::vector<std::function<void()>> inbox; ///< while paused
    std::int64_t bytes = 0; ///< sent, with headers and authenticators
    std::int64_t messages = 0;
};

struct MemberSim {
    Random random;
    EventQueue queue;
    VirtualNet net;
    Codec codec;
    MembershipOptions options;
    std::deque<SimAgent> agents; ///< by node; replaced instances keep their entry
    std::map<std::string, int> nodes; ///< by address
    std::int64_t falseDeaths = 0; ///< live members that another one declared dead
    std::int64_t falseSuspicions = 0; ///< suspicions of live members
    std::int64_t largestMessage = 0; ///< bytes, with the authenticator
};

/// @param seed of all random numbers
void setUp(MemberSim &sim, std::uint64_t seed);

/// Adds an instance and starts its agent.
/// @param seeds nodes whose addresses it is given
/// @return its node
int addAgent(MemberSim &sim, const std::vector<int> &seeds);

/// Starts the agent of a node, after a crash under a new incarnation.
void startAgent(MemberSim &sim, int node, const std::vector<int> &seeds);
void crashAgent(MemberSim &sim, int node);
void pauseAgent(MemberSim &sim, int node, Time length);
/// Announces the stop and ends the process a second later.
void leaveAgent(MemberSim &sim, int node);

/// @return true when every running agent holds exactly the running ones for live, with their incarnations
bool agreed(const MemberSim &sim);

/// Runs until agreed() or the limit.
/// @return the time at which it was agreed, or never
Time runUntilAgreed(MemberSim &sim, Time limit);

/// @return running agents that don't yet hold @p node for dead
int unawareOf(const MemberSim &sim, int node);

} // namespace pimentofold::testsupport
