#pragma once

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

#include <nlohmann/json.hpp>

#include <libnet/httpserver.h>

/// The admin interface of a stand-in: HTTP with JSON bodies.
namespace pimentofold {

/// Thrown by a route for a request that it can't serve; becomes status 400 with the text.
struct BadRequest : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Serves one request.
/// @param query parameters of the query
/// @param body parsed body, null when the request has none
/// @return the JSON to answer with
using JsonRoute = std::function<nlohmann::json(const std::map<std::string, std::string> &query, const nlohmann::json &body)>;

/// Serves admin routes.
/// @param local address to listen on
/// @param routes by method and path, for example "GET /admin/counts"
std::unique_ptr<HttpServer> serveJson(const Address &local, std::map<std::string, JsonRoute> routes);

} // namespace pimentofold
