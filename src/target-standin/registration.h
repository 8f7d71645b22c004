#pragma once

#include <string>
#include <vector>

#include <libnet/httpclient.h>
#include <libnet/loop.h>

#include <target-standin/backend.h>

namespace pimentofold {

/// Keeps the entries of this process's servers in the platform's instance list.
class Registration
{
public:
    /// @param platform "ip:port" of the platform
    explicit Registration(const std::string &platform);

    /// Writes an entry; repeats the call until the platform has taken it or a newer call names the same server.
    /// @param server the server to list
    /// @param state "live" or "leaving"
    void announce(const BackendSettings &server, const std::string &state);

    /// Removes an entry; isSettled() tells when the platform has answered.
    void withdraw(const BackendSettings &server);

    /// @return whether the platform has taken every call
    bool isSettled() const;

private:
    struct Entry {
        HttpCall call;
        bool underWay = false;
        bool taken = false;
        std::uint64_t generation = 0;
    };

    void put(const std::string &instance, HttpCall call);
    void send();
    void finish(const std::string &instance, std::uint64_t generation, const HttpResult &result);

    std::string m_base;
    HttpClient m_client;
    Timer m_retry;
    std::map<std::string, Entry> m_entries;
};

} // namespace pimentofold
