#include <libnet/httpserver.h>

#include <algorithm>
#include <cctype>
#include <stdexcept>
#include <utility>

#include <microhttpd.h>

namespace pimentofold {

namespace {

// libmicrohttpd has time limits of its own, which need a call now and then.
constexpr Time tickInterval = 200 * millisecond;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

MHD_Result collect(void *closure, MHD_ValueKind kind, const char *key, const char *value)
{
    auto &values = *static_cast<std::map<std::string, std::string> *>(closure);
    values[kind == MHD_HEADER_KIND ? lowerCase(key) : std::string(key)] = value == nullptr ? "" : value;
    return MHD_YES;
}

} // namespace

/// One request from its first header to its answer.
struct HttpServer::Exchange {
    HttpRequest request;
    MHD_Connection *connection = nullptr;
    bool tooLarge = false;
    bool handled = false;
    bool suspended = false;
    bool answered = false;
    bool finished = false;
    HttpResponse response;
};

struct HttpServerCallbacks {
    using ExchangePointer = std::shared_ptr<HttpServer::Exchange>;

    static MHD_Result answer(MHD_Connection *connection, const HttpServer::Exchange &exchange)
    {
        const HttpResponse &from = exchange.response;
        MHD_Response *response = MHD_create_response_from_buffer(from.body.size(), const_cast<char *>(from.body.data()), MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, from.contentType.c_str());
        for (const auto &[key, value] : from.headers) {
            MHD_add_response_header(response, key.c_str(), value.c_str());
        }
        const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned>(from.status), response);
        MHD_destroy_response(response);
        return result;
    }

    static void begin(HttpServer &server, const ExchangePointer &exchange)
    {
        exchange->handled = true;
        if (exchange->tooLarge) {
            exchange->answered = true;
            exchange->response.status = 413;
            exchange->response.body = R"({"error": "body too large"})";
            return;
        }
        MHD_get_connection_values(exchange->connection, MHD_GET_ARGUMENT_KIND, &collect, &exchange->request.query);
        MHD_get_connection_values(exchange->connection, MHD_HEADER_KIND, &collect, &exchange->request.headers);
        const std::weak_ptr<HttpServer::Exchange> weak = exchange;
        const std::weak_ptr<bool> alive = server.m_alive;
        HttpServer *owner = &server;
        server.m_handler(exchange->request, [weak, alive, owner](HttpResponse response) {
            const ExchangePointer it = weak.lock();
            if (!it || it->answered || it->finished || alive.expired()) {
                return;
            }
            it->answered = true;
            it->response = std::move(response);
            if (it->suspended) {
                it->suspended = false;
                owner->m_suspended.erase(it);
                MHD_resume_connection(it->connection);
                owner->m_tick.start(0, tickInterval);
            }
        });
    }

    static MHD_Result handle(
        void *closure, MHD_Connection *connection, const char *url, const char *method, const char *, const char *upload, std::size_t *uploadSize, void **state)
    {
        auto &server = *static_cast<HttpServer *>(closure);
        if (*state == nullptr) {
            auto exchange = std::make_shared<HttpServer::Exchange>();
            exchange->request.method = method;
            exchange->request.path = url;
            exchange->connection = connection;
            *state = new ExchangePointer(std::move(exchange));
            return MHD_YES;
        }
        const ExchangePointer exchange = *static_cast<ExchangePointer *>(*state);
        if (*uploadSize > 0) {
            if (exchange->request.body.size() + *uploadSize > server.m_maxBodyBytes) {
                exchange->tooLarge = true;
            } else {
                exchange->request.body.append(upload, *uploadSize);
            }
            *uploadSize = 0;
            return MHD_YES;
        }
        if (!exchange->handled) {
            begin(server, exchange);
        }
        if (exchange->answered) {
            return answer(connection, *exchange);
        }
        exchange->suspended = true;
        server.m_suspended.insert(exchange);
        MHD_suspend_connection(connection);
        return MHD_YES;
    }

    static void completed(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode)
    {
        auto *exchange = static_cast<ExchangePointer *>(*state);
        if (exchange != nullptr) {
            (*exchange)->finished = true;
            delete exchange;
            *state = nullptr;
        }
    }
};

HttpServer::HttpServer(const Address &local, Handler handler, std::size_t maxBodyBytes)
    : m_handler(std::move(handler))
    , m_maxBodyBytes(maxBodyBytes)
    , m_readable([this](int) { run(); })
    , m_tick([this] { run(); })
    , m_alive(std::make_shared<bool>(true))
{
    const sockaddr_in address = toSockaddr(local);
    m_daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
                                local.port,
                                nullptr,
                                nullptr,
                                &HttpServerCallbacks::handle,
                                this,
                                MHD_OPTION_SOCK_ADDR,
                                &address,
                                MHD_OPTION_NOTIFY_COMPLETED,
                                &HttpServerCallbacks::completed,
                                nullptr,
                                MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                1U,
                                MHD_OPTION_END);
    if (m_daemon == nullptr) {
        throw std::runtime_error("can't serve HTTP on " + toString(local));
    }
    const MHD_DaemonInfo *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD);
    m_readable.watch(info->epoll_fd, EV_READ);
    m_tick.start(tickInterval, tickInterval);
}

HttpServer::~HttpServer()
{
    m_alive.reset();
    m_readable.watch(0, 0);
    m_tick.stop();
    // libmicrohttpd can't stop with suspended connections.
    for (const auto &it : m_suspended) {
        it->answered = true;
        it->response.status = 503;
        MHD_resume_connection(it->connection);
    }
    m_suspended.clear();
    MHD_run(m_daemon);
    MHD_stop_daemon(m_daemon);
}

void HttpServer::run()
{
    MHD_run(m_daemon);
}

std::unique_ptr<HttpServer> serveMetrics(const Address &local, std::function<std::string()> render)
{
    constexpr std::size_t maxBody = 1024;
    return std::make_unique<HttpServer>(
        local,
        [render = std::move(render)](const HttpRequest &request, const HttpResponder &respond) {
            HttpResponse response;
            response.contentType = "text/plain; version=0.0.4";
            if (request.method == "GET" && request.path == "/metrics") {
                response.body = render();
            } else {
                response.status = 404;
                response.body = "not found\n";
            }
            respond(response);
        },
        maxBody);
}

} // namespace pimentofold
