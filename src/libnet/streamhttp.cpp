#include <libnet/streamhttp.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <map>
#include <sstream>
#include <utility>
#include <vector>

#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <libnet/framedconnection.h>

namespace pimentofold {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t readBytes = 16'384;
// The platform's largest value is 1 MB, and a page of a list holds about as much.
constexpr std::uint64_t mostBodyBytes = 16ULL << 20U;
// Time for a call whose answer makes progress: 1 MB over a link of 2 Mbit/s that carries other traffic as well.
constexpr Time maxCallTime = 20 * second;
constexpr std::size_t mostConnections = 64;
constexpr Time idleConnectionLimit = minute;

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

/// Lets the system notice a peer that has vanished without closing the connection.
void detectLoss(int descriptor)
{
    const int on = 1;
    const int seconds = 1;
    const int probes = 2;
    const unsigned milliseconds = 2000;
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

struct HttpConnection::Parser {
    http::response_parser<http::string_body> parser;

    Parser()
    {
        parser.body_limit(mostBodyBytes);
        parser.eager(true);
    }
};

HttpConnection::HttpConnection(const Address &server)
    : m_server(server)
    , m_watcher([this](int events) { onEvents(events); })
    , m_timeout([this] { fail("timeout"); })
{
}

HttpConnection::~HttpConnection()
{
    disconnect();
}

void HttpConnection::setServer(const Address &server)
{
    disconnect();
    m_timeout.stop();
    m_parser.reset();
    m_onDone = nullptr;
    m_onProgress = nullptr;
    m_server = server;
}

void HttpConnection::watchProgress(std::function<void(std::string_view)> onProgress)
{
    m_onProgress = std::move(onProgress);
}

bool HttpConnection::isBusy() const
{
    return m_onDone != nullptr;
}

void HttpConnection::start(
    const std::string &method, const std::string &target, const std::string &body, Time timeout, std::function<void(const HttpResult &)> onDone)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, toString(m_server));
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = body;
    }
    request.prepare_payload();
    std::ostringstream text;
    text << request;
    m_out = text.str();
    m_outDone = 0;
    m_in.clear();
    m_parser = std::make_unique<Parser>();
    m_onDone = std::move(onDone);
    m_onProgress = nullptr;
    m_progressLimit = timeout;
    m_callEndsBy = monotonicNow() + std::max(timeout, maxCallTime);
    m_timeout.start(timeout);
    if (m_descriptor < 0) {
        connect();
    } else {
        write();
    }
}

void HttpConnection::connect()
{
    m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0) {
        m_timeout.start(0);
        return;
    }
    detectLoss(m_descriptor);
    const sockaddr_in address = toSockaddr(m_server);
    m_connected = ::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    m_watcher.watch(m_descriptor, EV_READ | EV_WRITE);
}

void HttpConnection::onEvents(int events)
{
    if (!m_connected) {
        int ec = 0;
        socklen_t size = sizeof ec;
        if (getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &ec, &size) != 0 || ec != 0) {
            fail(std::string("connect: ") + std::strerror(ec != 0 ? ec : errno));
            return;
        }
        m_connected = true;
    }
    if ((events & EV_WRITE) != 0 && m_outDone < m_out.size()) {
        write();
    }
    if (m_descriptor >= 0 && (events & EV_READ) != 0) {
        read();
    }
}

void HttpConnection::write()
{
    while (m_outDone < m_out.size()) {
        const ssize_t n = ::send(m_descriptor, &m_out[m_outDone], m_out.size() - m_outDone, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && errno == EAGAIN) {
            m_watcher.watch(m_descriptor, EV_READ | EV_WRITE);
            return;
        }
        if (n < 0) {
            fail(std::string("send: ") + std::strerror(errno));
            return;
        }
        m_outDone += static_cast<std::size_t>(n);
    }
    m_watcher.watch(m_descriptor, EV_READ);
}

void HttpConnection::read()
{
    char buf[readBytes];
    for (;;) {
        const ssize_t n = ::recv(m_descriptor, buf, sizeof buf, 0);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && errno == EAGAIN) {
            return;
        }
        if (n <= 0) {
            fail(n == 0 ? "closed by the server" : std::string("recv: ") + std::strerror(errno));
            return;
        }
        if (!m_parser) {
            fail("unexpected bytes");
            return;
        }
        m_timeout.start(std::clamp<Time>(m_callEndsBy - monotonicNow(), 0, m_progressLimit));
        m_in.append(buf, static_cast<std::size_t>(n));
        boost::system::error_code ec;
        const std::size_t used = m_parser->parser.put(boost::asio::buffer(m_in), ec);
        m_in.erase(0, used);
        if (ec && ec != http::error::need_more) {
            fail("bad response: " + ec.message());
            return;
        }
        if (m_parser->parser.is_done()) {
            HttpResult result;
            auto message = m_parser->parser.release();
            result.status = static_cast<int>(message.result_int());
            result.body = std::move(message.body());
            for (const auto &it : message) {
                result.headers[lowerCase({it.name_string().data(), it.name_string().size()})] = std::string(it.value());
            }
            // Bytes beyond the answer would be taken for the answer to the next call.
            if (!message.keep_alive() || !m_in.empty()) {
                disconnect();
            }
            finish(result);
            return;
        }
        reportProgress();
    }
}

void HttpConnection::reportProgress()
{
    const auto &message = m_parser->parser.get();
    if (m_onProgress && m_parser->parser.is_header_done() && message.result() == http::status::ok) {
        m_onProgress(message.body());
    }
}

void HttpConnection::finish(const HttpResult &result)
{
    m_timeout.stop();
    m_parser.reset();
    m_onProgress = nullptr;
    auto onDone = std::exchange(m_onDone, nullptr);
    if (onDone) {
        onDone(result);
    }
}

void HttpConnection::fail(const std::string &reason)
{
    disconnect();
    HttpResult result;
    result.error = reason;
    finish(result);
}

void HttpConnection::disconnect()
{
    if (m_descriptor >= 0) {
        m_watcher.watch(m_descriptor, 0);
        ::close(m_descriptor);
        m_descriptor = -1;
    }
    m_connected = false;
}

namespace {

/// One accepted connection.
struct ServerPeer {
    int descriptor = -1;
    std::string in;
    std::string out;
    Time usedAt = 0;
    std::unique_ptr<IoWatcher> watcher;
    std::unique_ptr<http::request_parser<http::string_body>> parser;
};

HttpRequest toRequest(http::request<http::string_body> &&message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    request.path = target.substr(0, target.find('?'));
    request.body = std::move(message.body());
    return request;
}

std::string toText(const HttpResponse &response, bool keepAlive)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    message.set(http::field::content_type, response.contentType);
    message.keep_alive(keepAlive);
    message.body() = response.body;
    message.prepare_payload();
    std::ostringstream text;
    text << message;
    return text.str();
}

} // namespace

struct HttpResponderServer::State {
    Handler handler;
    std::map<int, ServerPeer> peers;
    std::unique_ptr<Listener> listener;
    Timer idle{[this] { closeIdle(); }};

    void accept(int descriptor);
    void onEvents(int descriptor);
    bool receive(ServerPeer &peer);
    static bool flush(ServerPeer &peer);
    void close(int descriptor);
    void closeIdle();
};

void HttpResponderServer::State::accept(int descriptor)
{
    if (peers.size() >= mostConnections) {
        ::close(descriptor);
        return;
    }
    ServerPeer &peer = peers[descriptor];
    peer.descriptor = descriptor;
    peer.usedAt = monotonicNow();
    peer.watcher = std::make_unique<IoWatcher>([this, descriptor](int) { onEvents(descriptor); });
    peer.watcher->watch(descriptor, EV_READ);
}

void HttpResponderServer::State::onEvents(int descriptor)
{
    ServerPeer &peer = peers.at(descriptor);
    peer.usedAt = monotonicNow();
    if (!receive(peer) || !flush(peer)) {
        close(descriptor);
        return;
    }
    peer.watcher->watch(descriptor, peer.out.empty() ? EV_READ : EV_READ | EV_WRITE);
}

/// @return false when the connection is to be closed
bool HttpResponderServer::State::receive(ServerPeer &peer)
{
    char buf[readBytes];
    for (;;) {
        const ssize_t n = ::recv(peer.descriptor, buf, sizeof buf, 0);
        if (n < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        if (n == 0) {
            return false;
        }
        peer.in.append(buf, static_cast<std::size_t>(n));
        for (;;) {
            if (!peer.parser) {
                peer.parser = std::make_unique<http::request_parser<http::string_body>>();
                peer.parser->eager(true);
            }
            boost::system::error_code ec;
            const std::size_t used = peer.parser->put(boost::asio::buffer(peer.in), ec);
            peer.in.erase(0, used);
            if (ec == http::error::need_more) {
                break;
            }
            if (ec) {
                return false;
            }
            if (!peer.parser->is_done()) {
                break;
            }
            auto message = peer.parser->release();
            peer.parser.reset();
            const bool keepAlive = message.keep_alive();
            peer.out += toText(handler(toRequest(std::move(message))), keepAlive);
            if (peer.in.empty()) {
                break;
            }
        }
    }
}

bool HttpResponderServer::State::flush(ServerPeer &peer)
{
    while (!peer.out.empty()) {
        const ssize_t n = ::send(peer.descriptor, peer.out.data(), peer.out.size(), MSG_NOSIGNAL);
        if (n < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        peer.out.erase(0, static_cast<std::size_t>(n));
    }
    return true;
}

void HttpResponderServer::State::close(int descriptor)
{
    const auto it = peers.find(descriptor);
    if (it != peers.end()) {
        // The watcher may be the caller; it is destroyed after its callback has returned.
        it->second.watcher->watch(descriptor, 0);
        ::close(descriptor);
        auto *watcher = it->second.watcher.release();
        peers.erase(it);
        ev_once(
            EV_DEFAULT, -1, 0, 0.0, [](int, void *closure) { delete static_cast<IoWatcher *>(closure); }, watcher);
    }
}

void HttpResponderServer::State::closeIdle()
{
    const Time now = monotonicNow();
    std::vector<int> idlePeers;
    for (const auto &[descriptor, peer] : peers) {
        if (now - peer.usedAt > idleConnectionLimit) {
            idlePeers.push_back(descriptor);
        }
    }
    for (const int it : idlePeers) {
        close(it);
    }
}

HttpResponderServer::HttpResponderServer(const Address &local, Handler handler)
    : m_state(std::make_unique<State>())
{
    m_state->handler = std::move(handler);
    State *state = m_state.get();
    m_state->listener = std::make_unique<Listener>(local, [state](int descriptor) { state->accept(descriptor); });
    m_state->idle.start(idleConnectionLimit, idleConnectionLimit);
}

HttpResponderServer::~HttpResponderServer()
{
    for (auto &[descriptor, peer] : m_state->peers) {
        peer.watcher->watch(descriptor, 0);
        ::close(descriptor);
    }
}

} // namespace pimentofold
