#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <pimentofold/flowpacket.h>
#include <pimentofold/types.h>

/// Finds the target of an open flow whose packets arrive at a node that doesn't know the flow. The token in a packet names the
/// wrong target when the flow was offered to two targets and the one that the caller doesn't use has answered late.
///
/// A node through which a flow opens after more than one offer reports the target to a few other nodes, the holders of the flow's
/// location. A node that receives a packet of an unknown flow asks the holders and holds the packet until one of them knows the
/// target, all of them don't, or the time limit has passed. See docs/design/flow-location.md.
namespace pimentofold {

/// Number of nodes to which a flow's location is reported. The loss of one of them does no harm.
constexpr std::size_t locationHolderCount = 2;
/// Number of nodes that are asked for a flow's location. One more than locationHolderCount, because one node may have joined since
/// the report.
constexpr std::size_t locationQuestionCount = 3;

/// Limits of flow locations at one node.
struct FlowLocationSettings {
    Time answerTimeout = 30 * millisecond; ///< packets are held for this long at most
    Time retention = minute; ///< a location is kept for this long after its flow has opened, see flowretention.h
    std::size_t maxLocations = 20'000; ///< further reports are ignored
    std::size_t maxNamedLocations = 10'000; ///< of those recorded from questions
    std::size_t maxQuestions = 500; ///< open questions; packets of further flows are not held
    std::size_t maxHeldPackets = 2'000; ///< of all flows; further packets are not held
    std::size_t maxPacketsPerFlow = 16; ///< as many packets as a caller has in flight
    double questionsPerSecond = 500; ///< a question takes one message to each holder
    double questionBurst = 500; ///< a node restart moves hundreds of flows at once
};

/// A packet that waits for the answer to a question.
struct HeldPacket {
    FlowPacket packet; ///< its `bytes` are not valid
    std::string bytes; ///< the whole packet as received
};

/// A question for the location of a flow.
struct LocationQuestion {
    std::vector<Id> unanswered; ///< nodes whose answer is missing
    std::vector<HeldPacket> packets; ///< in the order of their arrival
    Time askedAt = 0;
};

/// Where a flow is.
struct FlowLocation {
    std::uint64_t target = 0; ///< id; 0: not known, or the flow has ended
    std::optional<std::uint32_t> sequence; ///< of a packet of the flow, which tells it from others with the same addresses; nothing: not known
};

/// A location that this node keeps.
struct StoredLocation {
    FlowLocation location;
    Time openedAt = 0; ///< when the flow opened, as far as known
    bool replicated = false; ///< the location was reported, and is passed on when the members change; see locationreplicas.h
    std::array<InstanceKey, locationHolderCount> holders{}; ///< only if replicated: nodes that keep it as far as this node knows
};

/// Flow locations and open questions of one node.
struct FlowLocations {
    FlowLocationSettings settings;
    std::unordered_map<FlowKey, StoredLocation> stored;
    std::vector<FlowKey> unchecked; ///< replicated locations whose holders have to be compared with the members
    std::int64_t passedOn = 0; ///< locations sent to new holders since the start
    Time replicationDueAt = never; ///< when nextReplicas() has to be called; never: nothing to compare
    std::unordered_map<FlowKey, LocationQuestion> questions;
    std::multimap<Time, FlowKey> deadlines; ///< of the questions; entries of answered questions stay until their time
    std::size_t heldPackets = 0; ///< of all questions
    double questionBudget = 0; ///< questions that may be asked now
    Time budgetUpdatedAt = never; ///< never: no question was asked yet
};

/// A question that has ended.
struct EndedQuestion {
    FlowKey flow;
    std::uint64_t target = 0; ///< id; 0 when no node knows the location
    std::vector<HeldPacket> packets;
    Time askedAt = 0;
};

/// @param members ids of the live nodes; all nodes with the same members get the same order
/// @param self left out of the result
/// @return up to @p count nodes, the first ones in the order of rendezvous hashing for the flow
std::vector<Id> locationHolders(const std::vector<Id> &members, Id self, const FlowKey &flow, std::size_t count);

/// @return whether a packet with the second sequence number may belong to the flow with the first one, as far as they are known
bool mayBeSameFlow(std::optional<std::uint32_t> known, std::optional<std::uint32_t> sequence);

/// Records the location that another node's question has named. It is not replicated.
void recordNamedLocation(FlowLocations &locations, const FlowKey &flow, const FlowLocation &location, Time now);

/// Records a reported location, which is replicated.
/// @param holders other nodes that keep it, as far as known
/// @param openedAt when the flow opened
void storeLocation(
    FlowLocations &locations, const FlowKey &flow, const FlowLocation &location, const std::array<InstanceKey, locationHolderCount> &holders, Time openedAt);

/// Forgets the location of a flow that has ended. That of a later flow with the same addresses stays.
void forgetLocation(FlowLocations &locations, const FlowKey &flow, std::optional<std::uint32_t> sequence);

/// @param sequence of a packet of the flow
/// @return the location of the flow; its target is 0 when none is known
FlowLocation findLocation(const FlowLocations &locations, const FlowKey &flow, std::optional<std::uint32_t> sequence, Time now);

/// Starts a question and holds the packet.
/// @param holders nodes that will be asked
/// @return false when the packet can't be held: there are no holders, or a limit is reached. It has to be forwarded at once then.
bool startQuestion(FlowLocations &locations, const FlowPacket &packet, std::vector<Id> holders, Time now);

/// @return whether a question for the flow is open
bool isAsked(const FlowLocations &locations, const FlowKey &flow);

/// Holds a further packet of a flow for which a question is open.
/// @return false when a limit is reached; the packet has to be dropped, since it must not overtake those that are held
bool holdPacket(FlowLocations &locations, const FlowPacket &packet);

/// Handles the answer of a node.
/// @param target id; 0 when the node doesn't know the location
/// @return the question, if it has ended: the location is known, or this was the last missing answer
std::optional<EndedQuestion> answerQuestion(FlowLocations &locations, const FlowKey &flow, Id sender, std::uint64_t target);

/// Ends a question without an answer, because the caller opens a new flow with the same addresses. Its packets are dropped.
void dropQuestion(FlowLocations &locations, const FlowKey &flow);

/// Ends the questions whose time limit has passed.
std::vector<EndedQuestion> expireQuestions(FlowLocations &locations, Time now);

/// Removes locations after their retention. To be called about every second.
void removeExpiredLocations(FlowLocations &locations, Time now);

/// @return when expireQuestions() has to be called next
Time nextQuestionDeadline(const FlowLocations &locations);

} // namespace pimentofold
