#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <libnet/httpclient.h>

#include <pimentofold/agent/agentobjects.h>
#include <pimentofold/platformwatch.h>
#include <pimentofold/statusobject.h>

/// HTTP client for the platform's object API.
namespace pimentofold {

class PlatformClient
{
public:
    /// @param address address of the platform, "ip:port"
    explicit PlatformClient(const std::string &address);

    /// Starts a long poll for changes of template, team, keys and drain objects.
    /// @param onDone called once from the event loop; the response has succeeded == false when the call failed or its body
    ///     is invalid
    void watch(const WatchRequest &request, std::function<void(const WatchResponse &)> onDone);

    /// Requests the instance list of a data centre.
    /// @param onDone called once from the event loop, with std::nullopt when the call failed or its body is invalid
    void listInstances(const std::string &dataCentre, std::function<void(const std::optional<InstanceList> &)> onDone);

    /// Writes a status object if the platform still holds the expected version.
    /// @param name "DATACENTRE.TEAM"
    /// @param value content of the object as JSON
    /// @param version version that the platform is expected to hold; 0 creates the object
    /// @param changeId identifier of this change, sent as the header X-Change-Id
    /// @param onDone called once from the event loop
    void writeStatus(const std::string &name,
                     const std::string &value,
                     std::int64_t version,
                     const std::string &changeId,
                     std::function<void(const StatusWriteResult &)> onDone);

private:
    std::string m_baseUrl;
    HttpClient m_client;
};

/// @param body JSON body of the response to a long poll
/// @return the parsed response; succeeded is false when the body is invalid
WatchResponse parseWatchResponse(const std::string &body);

} // namespace pimentofold
