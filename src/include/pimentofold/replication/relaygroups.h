#pragma once

#include <cstddef>
#include <vector>

#include <pimentofold/address.h>

/// Delivery of a message to many nodes in two hops, so that no node sends to more than about the square root of their
/// number. Sending a few kilobytes to a hundred nodes directly saturates the network link of a small instance for 0.1 s.
namespace pimentofold {

/// Up to this number of receivers, each gets the message directly.
constexpr std::size_t maxDirectReceivers = 8;

/// Some of the receivers of a message. The sender sends to the relay, which forwards the message to the others.
struct RelayGroup {
    Address relay;
    std::vector<Address> relayTo; ///< receivers other than the relay
};

/// Divides receivers into groups of nearly equal size.
/// @param alive receivers that can be relays
/// @param unreliable receivers that may have failed or may stop soon; they never forward a message
/// @param rotation consecutive values select different relays, so that the next message reaches the receivers of a lost relay
/// @return groups that together contain each receiver once
std::vector<RelayGroup> makeRelayGroups(const std::vector<Address> &alive, const std::vector<Address> &unreliable, std::size_t rotation);

} // namespace pimentofold
