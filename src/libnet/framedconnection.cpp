#include <libnet/framedconnection.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <pimentofold/codec.h>

namespace pimentofold {

namespace {

constexpr std::size_t readBytes = 64 << 10;
constexpr int listenBacklog = 512;

void disableNagle(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int connectTo(const Address &remote)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "socket");
    }
    disableNagle(descriptor);
    const sockaddr_in address = toSockaddr(remote);
    // An error other than EINPROGRESS shows up as an event on the descriptor as well.
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
        shutdown(descriptor, SHUT_RDWR);
    }
    return descriptor;
}

} // namespace

FramedConnection::FramedConnection(int descriptor, Callbacks callbacks)
    : m_descriptor(descriptor)
    , m_connected(true)
    , m_callbacks(std::move(callbacks))
    , m_watcher([this](int events) { onEvents(events); })
    , m_alive(std::make_shared<bool>(true))
{
    disableNagle(m_descriptor);
    start();
}

FramedConnection::FramedConnection(const Address &remote, Callbacks callbacks)
    : m_descriptor(connectTo(remote))
    , m_callbacks(std::move(callbacks))
    , m_watcher([this](int events) { onEvents(events); })
    , m_alive(std::make_shared<bool>(true))
{
    start();
}

FramedConnection::~FramedConnection()
{
    *m_alive = false;
    close();
}

void FramedConnection::start()
{
    ev_prepare_init(&m_beforeWait, [](struct ev_loop *, ev_prepare *watcher, int) { static_cast<FramedConnection *>(watcher->data)->flush(); });
    m_beforeWait.data = this;
    m_watcher.watch(m_descriptor, m_connected ? EV_READ : EV_WRITE);
}

void FramedConnection::send(std::string_view payload)
{
    if (isClosed()) {
        return;
    }
    appendFrame(m_out, payload);
    ev_prepare_start(EV_DEFAULT, &m_beforeWait);
}

void FramedConnection::close()
{
    if (isClosed()) {
        return;
    }
    if (m_connected && m_outDone < m_out.size()) {
        // Best effort for frames of this turn, for example a last answer before the end.
        [[maybe_unused]] const auto n = ::send(m_descriptor, m_out.data() + m_outDone, m_out.size() - m_outDone, MSG_NOSIGNAL);
    }
    m_watcher.watch(m_descriptor, 0);
    ev_prepare_stop(EV_DEFAULT, &m_beforeWait);
    ::close(m_descriptor);
    m_descriptor = -1;
    m_connected = false;
}

bool FramedConnection::isConnected() const
{
    return m_connected;
}

bool FramedConnection::isClosed() const
{
    return m_descriptor < 0;
}

std::size_t FramedConnection::pendingBytes() const
{
    return m_out.size() - m_outDone;
}

void FramedConnection::onEvents(int events)
{
    const std::shared_ptr<bool> alive = m_alive;
    if (!m_connected) {
        finishConnecting();
        return;
    }
    if ((events & EV_WRITE) != 0) {
        flush();
    }
    if (*alive && !isClosed() && (events & EV_READ) != 0) {
        receive();
    }
}

void FramedConnection::finishConnecting()
{
    int ec = 0;
    socklen_t size = sizeof ec;
    getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &ec, &size);
    sockaddr_in peer{};
    socklen_t peerSize = sizeof peer;
    if (ec == 0 && getpeername(m_descriptor, reinterpret_cast<sockaddr *>(&peer), &peerSize) != 0) {
        ec = errno;
    }
    if (ec != 0) {
        fail(std::strerror(ec));
        return;
    }
    m_connected = true;
    m_watcher.watch(m_descriptor, EV_READ);
    if (m_callbacks.onConnected) {
        m_callbacks.onConnected();
    }
}

void FramedConnection::receive()
{
    const std::shared_ptr<bool> alive = m_alive;
    std::array<char, readBytes> buf;
    const ssize_t n = recv(m_descriptor, buf.data(), buf.size(), 0);
    if (n == 0) {
        fail("closed by the other side");
        return;
    }
    if (n < 0) {
        if (errno != EAGAIN && errno != EINTR) {
            fail(std::strerror(errno));
        }
        return;
    }
    m_in.append(buf.data(), static_cast<std::size_t>(n));
    // The callbacks may destroy this object, so that the loop works on its own copy of the bytes.
    std::string received = std::move(m_in);
    m_in.clear();
    std::string_view bytes(received);
    try {
        std::string_view payload;
        while (takeFrame(bytes, payload)) {
            m_callbacks.onFrame(payload);
            if (!*alive || isClosed()) {
                return;
            }
        }
    } catch (const DecodeError &error) {
        if (*alive && !isClosed()) {
            fail(error.what());
        }
        return;
    }
    m_in.assign(bytes);
}

void FramedConnection::flush()
{
    if (!m_connected) {
        return;
    }
    while (m_outDone < m_out.size()) {
        const ssize_t n = ::send(m_descriptor, m_out.data() + m_outDone, m_out.size() - m_outDone, MSG_NOSIGNAL);
        if (n < 0) {
            if (errno == EINTR) {
                continue;
            }
            if (errno != EAGAIN) {
                fail(std::strerror(errno));
                return;
            }
            m_watcher.watch(m_descriptor, EV_READ | EV_WRITE);
            ev_prepare_stop(EV_DEFAULT, &m_beforeWait);
            return;
        }
        m_outDone += static_cast<std::size_t>(n);
    }
    m_out.clear();
    m_outDone = 0;
    m_watcher.watch(m_descriptor, EV_READ);
    ev_prepare_stop(EV_DEFAULT, &m_beforeWait);
}

void FramedConnection::fail(const std::string &reason)
{
    if (isClosed()) {
        return;
    }
    m_outDone = m_out.size();
    close();
    // Copied, since the callback may destroy this object and its callbacks with it.
    const auto onClosed = m_callbacks.onClosed;
    if (onClosed) {
        onClosed(reason);
    }
}

Listener::Listener(const Address &local, std::function<void(int)> onAccept)
    : m_onAccept(std::move(onAccept))
    , m_watcher([this](int) {
        const int descriptor = accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0) {
            m_onAccept(descriptor);
        }
    })
{
    m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "socket");
    }
    const int on = 1;
    setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = toSockaddr(local);
    if (bind(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(m_descriptor, listenBacklog) != 0) {
        const int ec = errno;
        ::close(m_descriptor);
        throw std::system_error(ec, std::generic_category(), "listen TCP " + toString(local));
    }
    m_watcher.watch(m_descriptor, EV_READ);
}

Listener::~Listener()
{
    m_watcher.watch(m_descriptor, 0);
    ::close(m_descriptor);
}

} // namespace pimentofold
