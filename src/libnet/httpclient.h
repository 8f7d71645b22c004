#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <libnet/loop.h>

/// HTTP client calls over libcurl's multi interface, driven by the process's own loop.
namespace pimentofold {

struct HttpCall {
    std::string method = "GET";
    std::string url;
    std::map<std::string, std::string> headers;
    std::string body;
    Time timeout = 5 * second;
    Time connectTimeout = 2 * second;
    bool newConnection = false; ///< opens a connection for this call instead of a kept one
};

struct HttpResult {
    int status = 0; ///< 0 when no response came
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    std::string error; ///< why no response came
};

class HttpClient
{
public:
    HttpClient();
    /// Ends calls that are under way without calling back.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call.
    /// @param call what to send
    /// @param onDone called once from the loop
    void start(const HttpCall &call, std::function<void(const HttpResult &)> onDone);

    /// @return calls under way
    std::size_t pending() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentofold
