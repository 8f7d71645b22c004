#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <libnet/loop.h>
#include <pimentofold/address.h>

struct MHD_Daemon;
struct MHD_Connection;

/// A small HTTP/1.1 server over libmicrohttpd, driven by the process's own loop.
namespace pimentofold {

struct HttpRequest {
    std::string method;
    std::string path; ///< without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct HttpResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Answers one request, now or later; copies answer the same request. Answers after the first are ignored, as
/// are answers to a request whose connection is gone.
using HttpResponder = std::function<void(HttpResponse)>;

class HttpServer
{
public:
    using Handler = std::function<void(const HttpRequest &, const HttpResponder &)>;

    /// @param local address to listen on
    /// @param handler called for each complete request
    /// @param maxBodyBytes larger bodies are answered with 413
    /// @throws std::runtime_error when the address can't be bound
    HttpServer(const Address &local, Handler handler, std::size_t maxBodyBytes);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

private:
    struct Exchange;
    friend struct HttpServerCallbacks;

    void run();

    Handler m_handler;
    std::size_t m_maxBodyBytes;
    MHD_Daemon *m_daemon = nullptr;
    IoWatcher m_readable;
    Timer m_tick;
    std::set<std::shared_ptr<Exchange>> m_suspended;
    std::shared_ptr<bool> m_alive;
};

/// A server that answers GET /metrics with text and other paths with 404.
/// @param local address to listen on
/// @param render called for each request
std::unique_ptr<HttpServer> serveMetrics(const Address &local, std::function<std::string()> render);

} // namespace pimentofold
