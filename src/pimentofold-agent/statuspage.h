#pragma once

#include <string>

#include <pimentofold/agentcore.h>

/// GET /status of an agent.
namespace pimentofold {

/// @return the page as JSON; docs/formats.md describes the fields
std::string statusPage(const AgentState &agent);

} // namespace pimentofold
