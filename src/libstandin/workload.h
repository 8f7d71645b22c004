#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <pimentofold/types.h>

/// What callers and targets of the stand-ins agree on: the body of a request and the content of its answer.
///
/// The content depends on the service, the flow and the request, and any part of it can be computed alone. A
/// caller therefore verifies each byte of an answer, and a target serves ranges without keeping the answer.
namespace pimentofold {

/// Body of a request of the stand-ins. It repeats what the outer packet says, so that a target notices a
/// packet that was meant for another service, team or flow.
struct WorkOrder {
    std::string team;
    std::string service;
    std::int64_t flow = 0;
    std::int64_t request = 0;
    std::string operation; ///< id of work that must run at most once; empty for work that may be repeated
};

/// Bytes at the start of each answer that name the server which made it: instance and incarnation, padded
/// with blanks.
constexpr std::size_t answerHeaderBytes = 64;

/// @return the body of a request
std::string formatOrder(const WorkOrder &order);

/// @return the order, or nothing when the body isn't one
std::optional<WorkOrder> parseOrder(std::string_view body);

/// Names the server that makes an answer.
/// @param server "instance/incarnation"; cut to the size of the header
/// @return exactly answerHeaderBytes bytes
std::string answerHeader(std::string_view server);

/// @param answer at least the header of an answer
/// @return the server that made it, without padding
std::string_view serverOf(std::string_view answer);

/// Computes a part of an answer.
/// @param order the request
/// @param server name for the header
/// @param total length of the whole answer in bytes
/// @param offset first byte of the part
/// @param limit most bytes of the part
/// @return the part, shorter or empty at the end of the answer
std::string answerPart(const WorkOrder &order, std::string_view server, std::int64_t total, std::int64_t offset, std::int64_t limit);

/// @param total length of the whole answer in bytes
/// @return whether @p bytes are the start of the answer to @p order, at least its header
bool isStartOfAnswerTo(const WorkOrder &order, std::int64_t total, std::string_view bytes);

/// @return whether @p answer is the whole answer to @p order, whichever server made it
bool isAnswerTo(const WorkOrder &order, std::string_view answer);

/// @return the entity tag of the answer to @p order; equal on all servers of a service
std::int64_t entityTagOf(const WorkOrder &order, std::int64_t total);

} // namespace pimentofold
