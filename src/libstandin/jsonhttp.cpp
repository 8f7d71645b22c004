#include <libstandin/jsonhttp.h>

#include <utility>

namespace pimentofold {

using nlohmann::json;

namespace {

constexpr std::size_t maxAdminBodyBytes = 1 << 20;

HttpResponse errorResponse(int status, const std::string &text)
{
    HttpResponse response;
    response.status = status;
    response.body = json{{"error", text}}.dump();
    return response;
}

HttpResponse serveRoute(const JsonRoute &route, const HttpRequest &request)
{
    try {
        const json body = request.body.empty() ? json() : json::parse(request.body);
        HttpResponse response;
        response.body = route(request.query, body).dump();
        return response;
    } catch (const json::exception &error) {
        return errorResponse(400, error.what());
    } catch (const BadRequest &error) {
        return errorResponse(400, error.what());
    }
}

} // namespace

std::unique_ptr<HttpServer> serveJson(const Address &local, std::map<std::string, JsonRoute> routes)
{
    return std::make_unique<HttpServer>(
        local,
        [routes = std::move(routes)](const HttpRequest &request, const HttpResponder &respond) {
            const auto it = routes.find(request.method + " " + request.path);
            respond(it == routes.end() ? errorResponse(404, "no such path") : serveRoute(it->second, request));
        },
        maxAdminBodyBytes);
}

} // namespace pimentofold
