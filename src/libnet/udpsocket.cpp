#include <libnet/udpsocket.h>

#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace pimentofold {

namespace {

// Room for bursts; a balancer answers large requests with tens of datagrams at once.
constexpr int socketBufferBytes = 4 << 20;
// Batches read in one turn of the loop, so that other sockets and timers get their turn.
constexpr int batchesPerTurn = 4;
// So that a socket that fills as fast as it is read doesn't stop the loop.
constexpr int maxArrivedBatches = 64;

int openSocket(const Address &local)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "socket");
    }
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof socketBufferBytes);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &socketBufferBytes, sizeof socketBufferBytes);
    const sockaddr_in address = toSockaddr(local);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        const int ec = errno;
        close(descriptor);
        throw std::system_error(ec, std::generic_category(), "bind UDP " + toString(local));
    }
    return descriptor;
}

} // namespace

UdpSocket::UdpSocket(const Address &local, Handler handler, std::size_t maxBytes)
    : m_descriptor(openSocket(local))
    , m_handler(std::move(handler))
    , m_readable([this](int) { receive(batchesPerTurn); })
    , m_maxBytes(maxBytes)
    , m_in(udpBatch * slotBytes())
    , m_out(udpBatch * slotBytes())
{
    m_readable.watch(m_descriptor, EV_READ);
    ev_prepare_init(&m_beforeWait, [](struct ev_loop *, ev_prepare *watcher, int) { static_cast<UdpSocket *>(watcher->data)->flush(); });
    m_beforeWait.data = this;
    ev_prepare_start(EV_DEFAULT, &m_beforeWait);
    ev_unref(EV_DEFAULT);
}

UdpSocket::~UdpSocket()
{
    flush();
    ev_ref(EV_DEFAULT);
    ev_prepare_stop(EV_DEFAULT, &m_beforeWait);
    m_readable.watch(m_descriptor, 0);
    close(m_descriptor);
}

std::size_t UdpSocket::slotBytes() const
{
    return m_maxBytes + 1;
}

void UdpSocket::send(std::string_view bytes, const Address &to)
{
    if (bytes.size() > m_maxBytes) {
        ++m_sendDrops;
        return;
    }
    if (m_queued == udpBatch) {
        flush();
    }
    std::memcpy(&m_out[m_queued * slotBytes()], bytes.data(), bytes.size());
    m_outSizes[m_queued] = bytes.size();
    m_outTo[m_queued] = to;
    ++m_queued;
}

void UdpSocket::flush()
{
    if (m_queued == 0) {
        return;
    }
    std::array<mmsghdr, udpBatch> headers{};
    std::array<iovec, udpBatch> parts{};
    std::array<sockaddr_in, udpBatch> addresses{};
    for (std::size_t i = 0; i < m_queued; ++i) {
        parts[i] = {&m_out[i * slotBytes()], m_outSizes[i]};
        addresses[i] = toSockaddr(m_outTo[i]);
        headers[i].msg_hdr.msg_iov = &parts[i];
        headers[i].msg_hdr.msg_iovlen = 1;
        headers[i].msg_hdr.msg_name = &addresses[i];
        headers[i].msg_hdr.msg_namelen = sizeof addresses[i];
    }
    std::size_t done = 0;
    while (done < m_queued) {
        const int n = sendmmsg(m_descriptor, &headers[done], static_cast<unsigned>(m_queued - done), 0);
        if (n <= 0) {
            if (n < 0 && errno == EINTR) {
                continue;
            }
            // One datagram was refused, for example for a full buffer; the rest may still leave.
            ++m_sendDrops;
            ++done;
            continue;
        }
        for (int i = 0; i < n; ++i) {
            m_bytesSent += m_outSizes[done + static_cast<std::size_t>(i)];
        }
        done += static_cast<std::size_t>(n);
    }
    m_queued = 0;
}

void UdpSocket::setDrainedHandler(std::function<void()> handler)
{
    m_drainedHandler = std::move(handler);
}

void UdpSocket::readArrived()
{
    receive(maxArrivedBatches);
}

void UdpSocket::receive(int batches)
{
    std::array<mmsghdr, udpBatch> headers{};
    std::array<iovec, udpBatch> parts{};
    std::array<sockaddr_in, udpBatch> addresses{};
    for (int turn = 0; turn < batches; ++turn) {
        for (std::size_t i = 0; i < udpBatch; ++i) {
            parts[i] = {&m_in[i * slotBytes()], slotBytes()};
            headers[i].msg_hdr = {};
            headers[i].msg_hdr.msg_iov = &parts[i];
            headers[i].msg_hdr.msg_iovlen = 1;
            headers[i].msg_hdr.msg_name = &addresses[i];
            headers[i].msg_hdr.msg_namelen = sizeof addresses[i];
        }
        const int n = recvmmsg(m_descriptor, headers.data(), udpBatch, MSG_DONTWAIT, nullptr);
        for (int i = 0; i < n; ++i) {
            const auto slot = static_cast<std::size_t>(i);
            m_bytesReceived += headers[slot].msg_len;
            if (headers[slot].msg_len > m_maxBytes) {
                ++m_oversized;
                continue;
            }
            runGuarded([&] { m_handler({&m_in[slot * slotBytes()], headers[slot].msg_len}, fromSockaddr(addresses[slot])); });
        }
        if (n < static_cast<int>(udpBatch)) {
            runGuarded(m_drainedHandler);
            return;
        }
    }
}

Address UdpSocket::localAddress() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::system_error(errno, std::generic_category(), "getsockname");
    }
    return fromSockaddr(address);
}

std::uint64_t UdpSocket::oversized() const
{
    return m_oversized;
}

std::uint64_t UdpSocket::sendDrops() const
{
    return m_sendDrops;
}

std::uint64_t UdpSocket::bytesSent() const
{
    return m_bytesSent;
}

std::uint64_t UdpSocket::bytesReceived() const
{
    return m_bytesReceived;
}

} // namespace pimentofold
