#include <pimentofold-agent/platformclient.h>

#include <utility>

#include <nlohmann/json.hpp>

#include <pimentofold/codec.h>

#include <pimentofold/agent/agentobjects.h>

namespace pimentofold {

using nlohmann::json;

namespace {

constexpr int httpOk = 200;
constexpr Time callTimeout = 5 * second;

ConfigObjectPointer objectFromJson(const json &value)
{
    ConfigObject object;
    object.key = {value.at("kind").get<std::string>(), value.at("name").get<std::string>()};
    object.version = value.at("version").get<std::int64_t>();
    object.deleted = value.at("deleted").get<bool>();
    object.value = object.deleted ? std::string() : value.at("value").dump();
    object.changeId = value.value("changeId", "");
    return std::make_shared<const ConfigObject>(std::move(object));
}

StatusWriteResult parseWriteResult(const HttpResult &result)
{
    StatusWriteResult parsed;
    parsed.status = result.status;
    const json body = json::parse(result.body, nullptr, false);
    if (body.is_object()) {
        parsed.version = body.value("version", std::int64_t{0});
        parsed.changeId = body.value("changeId", "");
    }
    return parsed;
}

} // namespace

WatchResponse parseWatchResponse(const std::string &body)
{
    try {
        const json value = json::parse(body);
        WatchResponse response;
        response.revision = value.at("revision").get<std::int64_t>();
        for (const json &it : value.at("objects")) {
            response.objects.push_back(objectFromJson(it));
        }
        response.succeeded = true;
        return response;
    } catch (const json::exception &) {
        return {};
    }
}

PlatformClient::PlatformClient(const std::string &address)
    : m_baseUrl("http://" + address)
{
}

void PlatformClient::watch(const WatchRequest &request, std::function<void(const WatchResponse &)> onDone)
{
    HttpCall call;
    call.url =
        m_baseUrl + "/v1/objects?since=" + std::to_string(request.since) + "&wait=" + std::to_string(request.waitSeconds) + "&kinds=template,team,keys,drain";
    call.timeout = watchTimeout;
    call.connectTimeout = platformConnectTimeout;
    call.newConnection = true;
    m_client.start(
        call, [onDone = std::move(onDone)](const HttpResult &result) { onDone(result.status == httpOk ? parseWatchResponse(result.body) : WatchResponse{}); });
}

void PlatformClient::listInstances(const std::string &dataCentre, std::function<void(const std::optional<InstanceList> &)> onDone)
{
    HttpCall call;
    call.url = m_baseUrl + "/v1/instances?dc=" + dataCentre;
    call.timeout = callTimeout;
    m_client.start(call, [onDone = std::move(onDone)](const HttpResult &result) {
        std::optional<InstanceList> instances;
        try {
            if (result.status == httpOk) {
                instances = parseInstanceList(result.body);
            }
        } catch (const DecodeError &) {
            instances.reset();
        }
        onDone(instances);
    });
}

void PlatformClient::writeStatus(
    const std::string &name, const std::string &value, std::int64_t version, const std::string &changeId, std::function<void(const StatusWriteResult &)> onDone)
{
    HttpCall call;
    call.method = "PUT";
    call.url = m_baseUrl + "/v1/objects/status/" + name;
    call.headers = {{"If-Match", std::to_string(version)}, {"X-Change-Id", changeId}, {"Content-Type", "application/json"}};
    call.body = value;
    call.timeout = callTimeout;
    m_client.start(call, [onDone = std::move(onDone)](const HttpResult &result) { onDone(parseWriteResult(result)); });
}

} // namespace pimentofold
