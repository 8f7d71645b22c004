#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <libnet/loop.h>
#include <pimentofold/address.h>

/// Frames over TCP: a 4-byte length and the payload; see appendFrame() in pimentofold/codec.h.
namespace pimentofold {

/// A connection in either direction. Frames that are sent in one turn of the loop leave in one system call.
///
/// The callbacks may destroy the connection.
class FramedConnection
{
public:
    struct Callbacks {
        std::function<void()> onConnected; ///< for outgoing connections; may be empty
        std::function<void(std::string_view payload)> onFrame;
        std::function<void(const std::string &reason)> onClosed; ///< once; not after close()
    };

    /// Takes over an accepted descriptor.
    FramedConnection(int descriptor, Callbacks callbacks);
    /// Connects to @p remote; failure is reported through onClosed from the loop.
    FramedConnection(const Address &remote, Callbacks callbacks);
    ~FramedConnection();
    FramedConnection(const FramedConnection &) = delete;
    FramedConnection &operator=(const FramedConnection &) = delete;

    /// Queues a frame.
    void send(std::string_view payload);
    /// Closes without a callback; queued frames that the system doesn't take at once are lost.
    void close();

    bool isConnected() const;
    bool isClosed() const;
    /// @return bytes that are queued and not yet taken by the system
    std::size_t pendingBytes() const;

private:
    void start();
    void onEvents(int events);
    void finishConnecting();
    void receive();
    void flush();
    void fail(const std::string &reason);

    int m_descriptor = -1;
    bool m_connected = false;
    Callbacks m_callbacks;
    IoWatcher m_watcher;
    ev_prepare m_beforeWait{};
    std::string m_in;
    std::string m_out;
    std::size_t m_outDone = 0;
    std::shared_ptr<bool> m_alive;
};

/// A listening TCP socket.
class Listener
{
public:
    /// @param local address to listen on
    /// @param onAccept called with each new descriptor, which the callee owns
    /// @throws std::system_error when the address can't be bound
    Listener(const Address &local, std::function<void(int descriptor)> onAccept);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

private:
    int m_descriptor = -1;
    std::function<void(int)> m_onAccept;
    IoWatcher m_watcher;
};

} // namespace pimentofold
