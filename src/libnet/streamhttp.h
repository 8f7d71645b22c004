#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <libnet/httpclient.h>
#include <libnet/httpserver.h>
#include <libnet/loop.h>
#include <pimentofold/address.h>

/// HTTP/1.1 without further libraries at run time: Boost.Beast's parser and serializer on the process's own loop.
///
/// httpclient.h and httpserver.h do more, but the libraries behind them take tens of milliseconds to load, which is long
/// on a small instance whose callers wait for a restarted process.
namespace pimentofold {

/// A kept connection to one server, for one call at a time.
class HttpConnection
{
public:
    /// @param server is connected to at the first call, and again after a failure
    explicit HttpConnection(const Address &server);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Starts a call; there must be none under way.
    /// @param method for example "GET"
    /// @param target path and query
    /// @param body JSON, or empty
    /// @param timeout until the first bytes of the answer arrive, with the time to connect, and then from one arrival of bytes
    ///        to the next, so that a large answer gets through a slow link
    /// @param onDone called once from the loop; after a failure the result has status 0 and says why
    void start(const std::string &method, const std::string &target, const std::string &body, Time timeout, std::function<void(const HttpResult &)> onDone);

    /// Reports the progress of the call that start() began last.
    /// @param onProgress called from the loop with the body so far when more of it has arrived, if the status is 200. It isn't
    ///        called for the last part, which onDone gets, and must not start or abandon a call.
    void watchProgress(std::function<void(std::string_view body)> onProgress);

    /// Closes the connection and abandons a call that is under way: its onDone isn't called. Further calls go to @p server. Must
    /// not be called from onDone.
    void setServer(const Address &server);

    /// @return whether a call is under way
    bool isBusy() const;

private:
    void connect();
    void onEvents(int events);
    void write();
    void read();
    void reportProgress();
    void finish(const HttpResult &result);
    void fail(const std::string &reason);
    void disconnect();

    struct Parser;

    Address m_server;
    int m_descriptor = -1;
    bool m_connected = false;
    std::string m_out;
    std::size_t m_outDone = 0;
    std::string m_in;
    std::unique_ptr<Parser> m_parser;
    std::function<void(const HttpResult &)> m_onDone;
    std::function<void(std::string_view)> m_onProgress;
    IoWatcher m_watcher;
    Time m_progressLimit = 0; ///< the call fails when no byte has arrived for this long
    Time m_callEndsBy = 0; ///< the call fails at this time in any case
    Timer m_timeout;
};

/// Answers GET requests with small bodies; for readiness and metrics.
class HttpResponderServer
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    /// @param local address to listen on
    /// @param handler called for each request
    /// @throws std::system_error when the address can't be bound
    HttpResponderServer(const Address &local, Handler handler);
    ~HttpResponderServer();
    HttpResponderServer(const HttpResponderServer &) = delete;
    HttpResponderServer &operator=(const HttpResponderServer &) = delete;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

} // namespace pimentofold
