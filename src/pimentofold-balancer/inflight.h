#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <pimentofold/address.h>

#include <pimentofold/token.h>
#include <pimentofold/types.h>

#include "caller_types.h"

/// Callers' packets that are waiting for a target's answer, with their deadlines. A balancer keeps no other state per
/// caller, and an entry is removed with the answer.
namespace pimentofold {

/// What the balancer does for a packet in flight. A token flow is a flow whose caller holds a token that names the
/// target; a bare flow has no token, and its target is found by asking candidate targets in turn.
enum class Purpose {
    OpenTokenFlow, ///< open a token flow on a target chosen by load
    OpenBareFlow, ///< open a bare flow on the first candidate that accepts it
    FindFlowBeforeOpen, ///< retransmitted Open of a bare flow: ask candidates whether one already holds the flow
    FindFlowForToken, ///< at-most-once request on a bare flow: find the flow's target, to name it in a new token
    Request, ///< repeatable request
    OnceRequest, ///< at-most-once request; in flight only at the home balancer that its token names
    Close, ///< close a flow on its target
};

/// A caller's packet in flight.
struct InFlight {
    bool used = false; ///< false: free position of the table
    std::uint32_t generation = 0; ///< number of earlier entries at the same position; part of the InFlightId
    std::uint32_t nextInBucket = 0; ///< position + 1 of the next entry in the same hash bucket; 0: none
    Purpose purpose = Purpose::Request;
    Id serviceId = 0;
    bool hasToken = false;
    Token token; ///< valid if hasToken
    wire::CallerPacket packet; ///< without its token
    Address caller; ///< where the answer is sent
    Time startedAt = 0; ///< monotonic
    Time deadline = 0; ///< monotonic
    Id target = 0; ///< target to which the packet was sent last, or the last candidate; 0: none
    std::int64_t callNumber = 0; ///< number of the unanswered call on the connection to @c target; 0: none
    std::size_t candidatesAsked = 0; ///< candidates of a bare flow that were asked or skipped so far
    bool candidateSkipped = false; ///< a candidate couldn't be asked, so the flow may exist there
    bool bypassDispatcher = false; ///< admitted through ServiceLoad::bypass
    bool queued = false; ///< waiting for admission
    bool admitted = false; ///< occupies a slot of its target
    bool deadlineExtended = false; ///< extend() was called
    bool targetFromCache = false; ///< @c target was found in the route cache
};

/// Identifies an entry of an InFlightTable. An id isn't reused after its entry was removed. 0: none.
using InFlightId = std::uint64_t;

/// All packets in flight of one balancer. Entries are found by id or by packet, and reported when their deadline has
/// passed.
class InFlightTable
{
public:
    /// @param now monotonic time; the first takeOverdue() covers deadlines from @p now on
    explicit InFlightTable(Time now);

    /// Adds an entry. References and pointers to entries are invalidated.
    /// @return id of the new entry
    InFlightId add(InFlight entry);
    /// @return the entry, or nullptr when it was removed; valid until the next add()
    InFlight *find(InFlightId id);
    /// Finds the entry of an earlier transmission of a packet: one with the same service, flow, request, offset and kind.
    /// @return id of the entry, or 0 when there is none
    InFlightId findDuplicate(Id serviceId, const wire::CallerPacket &packet);
    /// Removes an entry; does nothing if it doesn't exist.
    void remove(InFlightId id);
    /// Reports the entry to takeOverdue() once more, when maxDeadline has passed from @p now. An entry can be extended once.
    /// @param now monotonic time
    /// @return false when the entry was already extended or doesn't exist
    bool extend(InFlightId id, Time now);
    /// @return number of entries
    std::size_t size() const;

    /// Collects the entries whose deadlines have passed since the last call. The entries stay in the table.
    /// @param now monotonic time
    /// @param out ids are appended
    void takeOverdue(Time now, std::vector<InFlightId> &out);

private:
    std::uint32_t &bucketHead(Id serviceId, const wire::CallerPacket &packet);
    void linkToBucket(std::uint32_t position);
    void growBuckets();
    void unlinkFromBucket(std::uint32_t position);
    void scheduleDeadline(InFlightId id, Time deadline);

    std::vector<InFlight> m_entries;
    std::vector<std::uint32_t> m_freePositions; ///< positions of unused entries in m_entries
    std::vector<std::uint32_t> m_bucketHeads; ///< position + 1 of the first entry of each hash bucket; the number of buckets is a power of two
    std::vector<std::vector<InFlightId>> m_timerWheel; ///< ring of time slots with the ids whose deadlines fall in each slot
    Time m_nextWheelSlot = 0; ///< first slot that takeOverdue() hasn't read, counted from time 0
    std::size_t m_size = 0; ///< number of used entries
};

} // namespace pimentofold
