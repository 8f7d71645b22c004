#include <pimentofold-measure/datapathbench.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <ctime>
#include <stdexcept>
#include <system_error>
#include <utility>

#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <pimentofold/codec.h>
#include <pimentofold/types.h>

#include "caller_types.h"
#include "target_types.h"

namespace pimentofold {

namespace {

constexpr unsigned batch = 64;
constexpr std::size_t slotBytes = 512;
constexpr int pollMs = 50;
constexpr int bufferBytes = 4 << 20;
constexpr std::size_t answerBytes = 64;
constexpr std::size_t orderBytes = 32;

using Clock = std::chrono::steady_clock;

int openSocket(int type, const Address &local)
{
    const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &bufferBytes, sizeof bufferBytes);
    const sockaddr_in address = toSockaddr(local);
    if (descriptor < 0 || bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        throw std::system_error(errno, std::generic_category(), "bind " + toString(local));
    }
    return descriptor;
}

bool waitReadable(int descriptor)
{
    pollfd entry{descriptor, POLLIN, 0};
    return poll(&entry, 1, pollMs) > 0;
}

/// Buffers for one batch of datagrams.
struct Batch {
    std::array<std::array<char, slotBytes>, batch> bytes;
    std::array<mmsghdr, batch> headers{};
    std::array<iovec, batch> parts{};
    std::array<sockaddr_in, batch> addresses{};

    void set(unsigned i, std::size_t size)
    {
        parts[i] = {bytes[i].data(), size};
        headers[i].msg_hdr = {&addresses[i], sizeof addresses[i], &parts[i], 1, nullptr, 0, 0};
    }

    int receive(int descriptor)
    {
        for (unsigned i = 0; i < batch; ++i) {
            set(i, slotBytes);
        }
        return waitReadable(descriptor) ? recvmmsg(descriptor, headers.data(), batch, MSG_DONTWAIT, nullptr) : 0;
    }
};

void sendAll(int descriptor, mmsghdr *headers, unsigned n)
{
    for (unsigned done = 0; done < n;) {
        const int sent = sendmmsg(descriptor, headers + done, n - done, 0);
        done += sent > 0 ? static_cast<unsigned>(sent) : 1;
    }
}

void sendBytes(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
}

wire::TargetFrame answerTo(const wire::TargetFrame &frame, int index)
{
    wire::TargetFrame out;
    out.call = frame.call;
    out.flow = frame.flow;
    out.request = frame.request;
    switch (frame.kind) {
    case wire::FrameKind::Identify: {
        out.kind = wire::FrameKind::Identity;
        wire::TargetIdentity identity;
        identity.teamName = benchTeam;
        identity.serviceName = benchService;
        identity.instance = "t" + std::to_string(index);
        identity.incarnation = 1;
        out.__set_identity(identity);
        break;
    }
    case wire::FrameKind::Subscribe:
        out.kind = wire::FrameKind::Status;
        out.__set_status({});
        break;
    case wire::FrameKind::Open:
        out.kind = wire::FrameKind::Opened;
        out.__set_outcome(wire::Outcome::Done);
        break;
    default:
        out.kind = wire::FrameKind::Answer;
        out.__set_outcome(wire::Outcome::Done);
        out.total = answerBytes;
        out.entityTag = 1;
        out.__set_body(std::string(answerBytes, 'a'));
    }
    return out;
}

} // namespace

BenchTarget::BenchTarget(int index)
    : m_index(index)
    , m_listener(openSocket(SOCK_STREAM, parseAddress(benchTargetIp + (":" + std::to_string(benchTargetPort + index)))))
{
    listen(m_listener, 8);
    m_thread = std::thread([this] { serve(); });
}

BenchTarget::~BenchTarget()
{
    m_stop = true;
    m_thread.join();
    close(m_listener);
}

void BenchTarget::serve()
{
    while (!m_stop) {
        const int descriptor = waitReadable(m_listener) ? accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC) : -1;
        if (descriptor >= 0) {
            serveConnection(descriptor);
            close(descriptor);
        }
    }
}

void BenchTarget::serveConnection(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    Codec codec;
    std::string in;
    std::string out;
    std::vector<char> buf(256 << 10);
    while (!m_stop) {
        if (!waitReadable(descriptor)) {
            continue;
        }
        const ssize_t n = recv(descriptor, buf.data(), buf.size(), 0);
        if (n <= 0) {
            return;
        }
        in.append(buf.data(), static_cast<std::size_t>(n));
        std::string_view bytes(in);
        std::string_view payload;
        while (takeFrame(bytes, payload)) {
            wire::TargetFrame frame;
            codec.decode(payload, frame);
            appendFrame(out, codec.encode(answerTo(frame, m_index)));
        }
        in.erase(0, in.size() - bytes.size());
        sendBytes(descriptor, out);
        out.clear();
    }
}

BareLoop::BareLoop()
    : m_descriptor(openSocket(SOCK_DGRAM, parseAddress(benchEchoAddress)))
    , m_thread([this] { serve(); })
{
}

BareLoop::~BareLoop()
{
    m_stop = true;
    m_thread.join();
    close(m_descriptor);
}

double BareLoop::cpuSeconds()
{
    clockid_t id = 0;
    timespec used{};
    if (pthread_getcpuclockid(m_thread.native_handle(), &id) != 0 || clock_gettime(id, &used) != 0) {
        throw std::runtime_error("no CPU clock of the bare loop");
    }
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

void BareLoop::serve()
{
    auto buf = std::make_unique<Batch>();
    while (!m_stop) {
        const int n = buf->receive(m_descriptor);
        for (int i = 0; i < n; ++i) {
            buf->parts[static_cast<unsigned>(i)].iov_len = buf->headers[static_cast<unsigned>(i)].msg_len;
        }
        if (n > 0) {
            sendAll(m_descriptor, buf->headers.data(), static_cast<unsigned>(n));
        }
    }
}

BenchCaller::BenchCaller(int index)
    : m_descriptor(openSocket(SOCK_DGRAM, parseAddress(benchCallerIp + (":" + std::to_string(21930 + index)))))
{
}

BenchCaller::~BenchCaller()
{
    close(m_descriptor);
}

void BenchCaller::clear()
{
    m_requests.clear();
}

std::size_t BenchCaller::open(std::int64_t first, std::size_t flows, bool wantsToken, std::size_t window)
{
    const sockaddr_in to = toSockaddr(parseAddress(benchBalancerIp + (":" + std::to_string(benchServicePort))));
    Codec codec;
    auto buf = std::make_unique<Batch>();
    m_first = first;
    m_requests.assign(flows, {});
    std::size_t sent = 0;
    std::size_t opened = 0;
    std::size_t inFlight = 0;
    wire::CallerPacket packet;
    for (int idle = 0; opened < flows && idle < 100;) {
        for (; sent < flows && inFlight < window; ++sent, ++inFlight) {
            packet = {};
            packet.kind = wire::PacketKind::Open;
            packet.flow = first + static_cast<std::int64_t>(sent);
            packet.wantsToken = wantsToken;
            const std::string_view bytes = codec.encode(packet);
            sendto(m_descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&to), sizeof to);
        }
        const int n = buf->receive(m_descriptor);
        idle = n > 0 ? 0 : idle + 1;
        for (int i = 0; i < n; ++i) {
            wire::CallerPacket answer;
            codec.decode({buf->bytes[static_cast<unsigned>(i)].data(), buf->headers[static_cast<unsigned>(i)].msg_len}, answer);
            --inFlight;
            if (answer.kind != wire::PacketKind::Opened || answer.__isset.verdict) {
                continue;
            }
            ++opened;
            packet = {};
            packet.kind = wire::PacketKind::Request;
            packet.flow = answer.flow;
            packet.request = 1;
            packet.token = answer.token;
            packet.__isset.token = answer.__isset.token;
            packet.__set_body(std::string(orderBytes, 'q'));
            m_requests[static_cast<std::size_t>(answer.flow - first)] = std::string(codec.encode(packet));
        }
    }
    return opened;
}

std::uint64_t BenchCaller::run(const Address &to, double seconds)
{
    Codec codec;
    auto in = std::make_unique<Batch>();
    auto out = std::make_unique<Batch>();
    const sockaddr_in address = toSockaddr(to);
    unsigned queued = 0;
    const auto send = [&](std::size_t flow) {
        std::copy(m_requests[flow].begin(), m_requests[flow].end(), out->bytes[queued].begin());
        out->addresses[queued] = address;
        out->set(queued, m_requests[flow].size());
        if (++queued == batch) {
            sendAll(m_descriptor, out->headers.data(), queued);
            queued = 0;
        }
    };
    const auto sendRound = [&] {
        for (std::size_t i = 0; i < m_requests.size(); ++i) {
            send(i);
        }
    };
    std::uint64_t answered = 0;
    sendRound();
    const auto end = Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
    while (Clock::now() < end) {
        sendAll(m_descriptor, out->headers.data(), std::exchange(queued, 0));
        const int n = in->receive(m_descriptor);
        if (n <= 0) {
            sendRound(); // datagrams were lost
            continue;
        }
        answered += static_cast<std::uint64_t>(n);
        for (int i = 0; i < n; ++i) {
            wire::CallerPacket packet;
            codec.decode({in->bytes[static_cast<unsigned>(i)].data(), in->headers[static_cast<unsigned>(i)].msg_len}, packet);
            send(static_cast<std::size_t>(packet.flow - m_first));
        }
    }
    // Answers that are still under way don't count for the next run.
    while (in->receive(m_descriptor) > 0) {
    }
    return answered;
}

} // namespace pimentofold
