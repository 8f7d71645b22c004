#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <libnet/httpclient.h>

#include <pimentofold/nodeview.h>
#include <pimentofold/platformwatch.h>
#include <pimentofold/statusobject.h>

/// The platform's object API over HTTP.
namespace pimentofold {

class PlatformClient
{
public:
    /// @param address of the platform, "ip:port"
    explicit PlatformClient(const std::string &address);

    /// Long poll for objects of the platform's kinds.
    /// @param onDone called once from the loop
    void watch(const WatchRequest &request, std::function<void(const WatchResponse &)> onDone);

    /// Reads the instance list of a data centre.
    /// @param onDone gets nothing when the call failed
    void listInstances(const std::string &dataCentre, std::function<void(const std::optional<std::vector<PlatformInstance>> &)> onDone);

    /// Writes a status object conditionally.
    /// @param name "DATACENTRE.TEAM"
    /// @param version expected at the platform, 0 creates
    void writeStatus(const std::string &name,
                     const std::string &value,
                     std::int64_t version,
                     const std::string &changeId,
                     std::function<void(const StatusWriteResult &)> onDone);

private:
    std::string m_base;
    HttpClient m_client;
};

/// @param body of an answer to a long poll
/// @return the answer; not succeeded when the body isn't valid
WatchResponse parseWatchAnswer(const std::string &body);

} // namespace pimentofold
