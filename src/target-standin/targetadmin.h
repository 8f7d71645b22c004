#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <libstandin/jsonhttp.h>

#include <target-standin/backendserver.h>

/// Admin interface of target-standin. The query `instance=NAME` picks one server; without it a call concerns
/// all servers of the process.
///
///     PUT /admin/drain    {"draining": true}
///     PUT /admin/faults   {"unhealthy", "silent", "shedShare", "slowFactor", "statusLagMs", "reportedLoad",
///                          "dropConnections"}; fields that are missing go back to their default
///     GET /admin/counts   {"servers": [{"instance", "flows", ...}]}
///     GET /admin/runs     {"runs": [{"operation", "flow", "request", "runs", "instance"}]}
namespace pimentofold {

/// @param address to listen on
/// @param servers must outlive the result
/// @param onDrain called after a server's drain was started or ended
std::unique_ptr<HttpServer>
serveTargetAdmin(const Address &address, std::vector<std::unique_ptr<BackendServer>> &servers, std::function<void(const BackendServer &)> onDrain);

} // namespace pimentofold
