#pragma once

#include <memory>

#include <libstandin/jsonhttp.h>

#include <caller-standin/callers.h>

/// Admin interface of caller-standin.
///
///     PUT /admin/load       {"run": true, "service": "lookup", "kind": "ruling", "rate": 20}; service and kind
///                           pick what changes, all without them; rate is optional
///     PUT /admin/flows      {"service": "lookup", "flows": 1000}
///     PUT /admin/phase      {"name": "planned"}: further counts go to this phase
///     PUT /admin/balancers  {"team": "foundation", "balancers": ["127.21.1.1"]}; without team: of all groups
///     PUT /admin/sweep      {"perSecond": 2000}: checks each open flow
///     PUT /admin/close      {"instance": "t1", "withinMs": 2000}: closes the flows of a server
///     GET /admin/counts     counts by phase, service and kind; flows; progress of the sweep
///     GET /admin/operations verdicts on each request of work that must run at most once
namespace pimentofold {

/// @param address to listen on
/// @param callers must outlive the result
std::unique_ptr<HttpServer> serveCallerAdmin(const Address &address, Callers &callers);

} // namespace pimentofold
