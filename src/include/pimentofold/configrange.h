#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <pimentofold/configstore.h>
#include <pimentofold/types.h>

#include "peer_types.h"

/// Transfer of objects that are larger than a datagram: the receiver pulls ranges and puts them together.
namespace pimentofold {

/// Bytes of the value in one range. With the names of the object, the envelope and the authenticator a range fits
/// in maxDatagramBytes.
constexpr std::size_t rangeBytes = 1000;
/// Objects up to this size on the wire are sent whole.
constexpr std::size_t maxWholeObjectBytes = 1200;
/// Ranges that are asked for and not yet received, at most; 32 ranges fit in a socket buffer of default size.
constexpr std::size_t rangeWindow = 32;
/// Without a new range for this long, the missing ones are asked for again, from another peer
/// that is known to hold the object.
constexpr Time rangeTimeout = 200 * millisecond;
/// Transfers that go on at the same time, at most; each one holds up to maxStoredValueBytes.
constexpr std::size_t maxTransfers = 4;
/// Peers that are remembered as holding an object, at most.
constexpr std::size_t maxSources = 4;

/// A large object on its way to this agent.
struct RangeTransfer {
    ConfigObject object; ///< the value has its full length; ranges are filled in as they come
    std::vector<std::string> sources; ///< addresses of peers that hold the object; the first one is asked
    std::vector<bool> received; ///< by number of the range
    std::size_t missing = 0;
    std::size_t nextRange = 0; ///< the first range that was not yet asked for in this round
    std::size_t outstanding = 0;
    Time lastProgressAt = 0;
    int timeouts = 0; ///< in a row
};

using RangeTransfers = std::map<ObjectKey, RangeTransfer>;

/// @return size of an object in an Objects message, slightly overestimated
std::size_t wireBytes(const ConfigObject &object);

/// @return whether the object is sent in ranges
bool needsRanges(const ConfigObject &object);

/// @return the object as it is sent whole
wire::ObjectWire toWire(const ConfigObject &object);

/// @param offset first byte wanted, within the value
/// @return one range of a large object
wire::ObjectWire rangeOf(const ConfigObject &object, std::int64_t offset);

/// @return an object that was sent whole
ConfigObject fromWire(const wire::ObjectWire &object);

/// Takes a range and starts the transfer of its object if there is none of that version yet.
/// @param source where further ranges are asked for when a transfer starts
/// @return the object when it is complete, else null; ranges out of bounds are ignored
ConfigObjectPointer storeRange(RangeTransfers &transfers, const wire::ObjectWire &range, const std::string &source, Time now);

/// Chooses the ranges to ask for next and counts them as asked for.
/// @return heads for a Pull message, empty when the window is full
std::vector<wire::ObjectHead> requestRanges(RangeTransfer &transfer);

/// Notes that a peer holds the object too.
void addSource(RangeTransfer &transfer, const std::string &source);

/// Starts a new round after a time without progress, with the next peer.
void retryFromNextSource(RangeTransfer &transfer, Time now);

} // namespace pimentofold
