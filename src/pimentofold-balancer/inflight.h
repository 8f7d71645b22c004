#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <pimentofold/address.h>

#include <pimentofold/token.h>
#include <pimentofold/types.h>

#include "caller_types.h"

/// Callers' packets that wait for a target, with their deadlines. This is the only memory that a balancer spends
/// on callers, and it ends with the answer.
namespace pimentofold {

/// What a packet in flight is about to do.
enum class Purpose {
    OpenToken, ///< open a token flow on a chosen target
    OpenBare, ///< open a bare flow on the first candidate that accepts it
    FindBeforeOpen, ///< a repeated Open of a bare flow: ask whether a candidate holds the flow
    FindForToken, ///< a request that needs a token came on a bare flow: find the target to name in the token
    Request,
    OnceRequest, ///< dispatched by the home of the token
    Close,
};

/// One packet in flight.
struct InFlight {
    bool used = false;
    std::uint32_t generation = 0; ///< tells reuses of the same position apart
    std::uint32_t nextSame = 0; ///< position + 1 of the next entry in the same hash bucket
    Purpose purpose = Purpose::Request;
    Id serviceId = 0;
    bool hasToken = false;
    Token token;
    wire::CallerPacket packet; ///< without its token
    Address caller;
    Time startedAt = 0;
    Time deadline = 0;
    Id target = 0; ///< the one that was asked last
    std::int64_t call = 0; ///< on the connection to that target; 0: none
    std::size_t asked = 0; ///< candidates asked so far
    bool skipped = false; ///< a candidate couldn't be asked, so that the flow may exist
    bool direct = false; ///< in the service's direct lane; see ServiceLoad
    bool queued = false; ///< waits for admission
    bool admitted = false; ///< holds a slot of its target
    bool extended = false; ///< has got a second deadline
    bool fromCache = false; ///< the target came from the cache of routes
};

/// Refers to an entry; 0 is none.
using InFlightId = std::uint64_t;

/// All packets in flight of one balancer.
class InFlightTable
{
public:
    /// @param now monotonic time from which deadlines are watched
    explicit InFlightTable(Time now);

    /// @return a new entry; references to others stay valid until the next add()
    InFlightId add(InFlight entry);
    /// @return the entry, or nullptr when it has ended
    InFlight *find(InFlightId id);
    /// @return the entry in flight for the same packet, apart from its attempt, or 0
    InFlightId findSame(Id serviceId, const wire::CallerPacket &packet);
    void remove(InFlightId id);
    /// Gives an entry another deadline, once.
    /// @return false when it had been extended before
    bool extend(InFlightId id, Time now);
    std::size_t size() const;

    /// Takes the entries whose deadlines have passed since the last call.
    /// @param now monotonic time
    void takeOverdue(Time now, std::vector<InFlightId> &out);

private:
    std::uint32_t &headOf(Id serviceId, const wire::CallerPacket &packet);
    void linkSame(std::uint32_t position);
    void growBuckets();
    void unlinkSame(std::uint32_t position);
    void watchDeadline(InFlightId id, Time deadline);

    std::vector<InFlight> m_entries;
    std::vector<std::uint32_t> m_free;
    std::vector<std::uint32_t> m_heads; ///< position + 1 of the first entry of each hash bucket; a power of two long
    std::vector<std::vector<InFlightId>> m_wheel; ///< ids by time of deadline
    Time m_wheelAt = 0;
    std::size_t m_size = 0;
};

} // namespace pimentofold
