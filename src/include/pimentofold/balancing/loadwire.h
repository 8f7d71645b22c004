#pragma once

#include <pimentofold/balancing/dispatchload.h>

#include "edge_types.h"

/// Conversion of loads to and from the messages between edge nodes.
namespace pimentofold {

/// Converts a load for a message.
wire::EdgeDispatchLoad toWire(const DispatchLoad &load);

/// Converts a load from a message. The values aren't checked.
DispatchLoad fromWire(const wire::EdgeDispatchLoad &load);

} // namespace pimentofold
