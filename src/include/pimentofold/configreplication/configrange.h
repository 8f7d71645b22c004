#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <pimentofold/configreplication/configstore.h>
#include <pimentofold/types.h>

#include "peer_types.h"

/// Transfer of objects that are too large for a datagram. The receiver requests byte ranges of the value and
/// reassembles them.
namespace pimentofold {

/// Bytes of the value in one range. Together with the head of the object, the message envelope and the authenticator,
/// a range fits in maxDatagramBytes.
constexpr std::size_t rangeBytes = 1000;
/// Maximum encoded size of an object that is sent whole, as estimated by wireBytes().
constexpr std::size_t maxWholeObjectBytes = 1200;
/// Maximum number of ranges that are requested and not yet received. 32 ranges fit in a socket buffer of default size.
constexpr std::size_t rangeWindow = 32;
/// If no new range arrives within this time, the missing ranges are requested again, from the next peer that is known
/// to hold the object.
constexpr Time rangeTimeout = 200 * millisecond;
/// Maximum number of concurrent transfers. Each one allocates up to maxStoredValueBytes.
constexpr std::size_t maxTransfers = 4;
/// Maximum number of peers recorded as sources of one transfer.
constexpr std::size_t maxSources = 4;

/// A large object that this agent is receiving.
struct RangeTransfer {
    ConfigObject object; ///< the value is allocated in full length; each received range is copied into it
    std::vector<std::string> sources; ///< addresses of peers that hold the object; requests go to the first one
    std::vector<bool> received; ///< by index of the range
    std::size_t missing = 0; ///< ranges not yet received
    std::size_t nextRange = 0; ///< index of the next range to be requested in this round
    std::size_t outstanding = 0; ///< ranges requested and not yet received
    Time lastProgressAt = 0; ///< time of the last new range or of the last retry
    int timeouts = 0; ///< consecutive timeouts without a new range
};

using RangeTransfers = std::map<ObjectKey, RangeTransfer>;

/// @return encoded size of an object in an Objects message in bytes, slightly overestimated
std::size_t wireBytes(const ConfigObject &object);

/// @return whether the object is too large to be sent whole
bool needsRanges(const ConfigObject &object);

/// @return the wire format of a whole object
wire::ObjectWire toWire(const ConfigObject &object);

/// @param offset of the first byte of the range in the value; must be within it
/// @return the wire format of one range of a large object
wire::ObjectWire rangeOf(const ConfigObject &object, std::int64_t offset);

/// @return the object from the wire format of a whole object
ConfigObject fromWire(const wire::ObjectWire &object);

/// Stores a received range. Starts a transfer if there is none of this object and version; a range of a newer version
/// replaces the transfer of an older one. Ranges that are out of bounds or exceed maxTransfers are ignored.
/// @param source address of the sender, recorded as a source of the object
/// @return the object if the range completed it, otherwise null
ConfigObjectPointer storeRange(RangeTransfers &transfers, const wire::ObjectWire &range, const std::string &source, Time now);

/// Selects the ranges to be requested next and counts them as outstanding.
/// @return heads with offsets for a Pull message; empty if the window is full
std::vector<wire::ObjectHead> requestRanges(RangeTransfer &transfer);

/// Records another peer that holds the object, up to maxSources.
void addSource(RangeTransfer &transfer, const std::string &source);

/// Restarts the requests of the missing ranges with the next source. To be called after rangeTimeout without progress.
void retryFromNextSource(RangeTransfer &transfer, Time now);

} // namespace pimentofold
