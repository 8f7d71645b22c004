#pragma once

#include <string>

#include <pimentofold/agent/agentcore.h>

/// Content of the agent's HTTP page /status.
namespace pimentofold {

/// @return state of the agent as JSON; docs/formats.md describes the fields
std::string renderStatusPage(const AgentState &agent);

} // namespace pimentofold
