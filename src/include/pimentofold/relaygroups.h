#pragma once

#include <cstddef>
#include <vector>

#include <pimentofold/address.h>

/// Passing a message on to many nodes in two steps, so that no node sends to more than about the square root of their
/// number. The link of a small instance is full for a tenth of a second when it sends a few kilobytes to a hundred nodes.
namespace pimentofold {

/// Up to this many receivers each get the message directly.
constexpr std::size_t mostDirectReceivers = 8;

/// Receivers of one message. The head gets it and passes it on to the others.
struct RelayGroup {
    Address head;
    std::vector<Address> others;
};

/// Divides receivers into groups of nearly equal size.
/// @param alive receivers that can be heads
/// @param doubtful receivers that may be gone or stop soon
/// @param turn with each one other receivers are the heads, so that the loss of a head is made up for by the next message
/// @return groups that together hold each receiver once
std::vector<RelayGroup> makeRelayGroups(const std::vector<Address> &alive, const std::vector<Address> &doubtful, std::size_t turn);

} // namespace pimentofold
