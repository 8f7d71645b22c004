#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <libnet/httpclient.h>
#include <libnet/loop.h>

namespace pimentofold {

/// Reads the live entry instances from the platform's list again and again, as a fabric does. Failed reads keep
/// the last list.
class EntryList
{
public:
    /// @param url of the platform's instance list
    /// @param interval between reads
    /// @param onList called with the IP numbers of a team's live balancers after each read
    EntryList(const std::string &url, Time interval, std::function<void(const std::string &team, std::vector<std::uint32_t>)> onList);

private:
    void read();

    std::string m_url;
    std::function<void(const std::string &, std::vector<std::uint32_t>)> m_onList;
    HttpClient m_client;
    Timer m_timer;
};

} // namespace pimentofold
