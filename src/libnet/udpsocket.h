#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include <libnet/loop.h>
#include <pimentofold/address.h>

#include <pimentofold/codec.h>

/// A UDP socket that receives and sends in batches (recvmmsg, sendmmsg).
namespace pimentofold {

/// Most datagrams in one system call.
constexpr std::size_t udpBatch = 64;

class UdpSocket
{
public:
    /// Called for each datagram; the bytes are valid during the call.
    using Handler = std::function<void(std::string_view bytes, const Address &from)>;

    /// Binds the socket and starts receiving.
    /// @param local address to bind; port 0 lets the system choose
    /// @param handler called for each datagram that fits in @p maxBytes; longer ones are counted as oversized
    /// @param maxBytes largest datagram in either direction
    /// @throws std::system_error when the socket can't be bound
    UdpSocket(const Address &local, Handler handler, std::size_t maxBytes = maxDatagramBytes);
    ~UdpSocket();
    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    /// Sets a function that is called after the socket has been read to its end.
    void setDrainedHandler(std::function<void()> handler);
    /// Reads the datagrams that have arrived, without waiting for the loop.
    void readArrived();

    /// Queues a datagram; it leaves with the batch, at the latest when the loop is about to wait.
    void send(std::string_view bytes, const Address &to);
    /// Sends what is queued. Datagrams that the system refuses are dropped and counted.
    void flush();

    /// @return the bound address
    Address localAddress() const;
    std::uint64_t oversized() const;
    std::uint64_t sendDrops() const;
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    /// Reads up to @p batches batches.
    void receive(int batches);
    std::size_t slotBytes() const;

    int m_descriptor = -1;
    Handler m_handler;
    std::function<void()> m_drainedHandler = [] {};
    IoWatcher m_readable;
    ev_prepare m_beforeWait{};
    std::size_t m_maxBytes;
    std::vector<char> m_in; ///< udpBatch slots of one byte more than the largest datagram, to notice longer ones
    std::vector<char> m_out; ///< udpBatch slots of the same size
    std::array<std::size_t, udpBatch> m_outSizes{};
    std::array<Address, udpBatch> m_outTo{};
    std::size_t m_queued = 0;
    std::uint64_t m_oversized = 0;
    std::uint64_t m_sendDrops = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace pimentofold
