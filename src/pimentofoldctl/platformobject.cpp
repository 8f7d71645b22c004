#include <pimentofoldctl/platformobject.h>

namespace pimentofold::ctl {

using nlohmann::json;

namespace {

std::string stringMember(const json &body, const char *member)
{
    const auto it = body.find(member);
    return it != body.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::string errorText(const HttpResult &result, const json &body)
{
    const std::string text = body.is_object() ? stringMember(body, "error") : std::string();
    return "status " + std::to_string(result.status) + (text.empty() ? "" : ": " + text);
}

bool isTransient(int status)
{
    return status >= 500 || status == 408 || status == 429;
}

} // namespace

std::string toString(const ObjectKey &key)
{
    return key.kind + "/" + key.name;
}

bool isPresent(const PlatformObject &object)
{
    return object.version > 0 && !object.deleted;
}

PlatformObject parseObject(const ObjectKey &key, const json &body)
{
    PlatformObject object;
    object.key = key;
    const auto version = body.is_object() ? body.find("version") : body.end();
    if (version == body.end() || !version->is_number_integer()) {
        return object;
    }
    object.version = version->get<std::int64_t>();
    const auto deleted = body.find("deleted");
    object.deleted = deleted != body.end() && deleted->is_boolean() && deleted->get<bool>();
    object.value = body.contains("value") ? body["value"] : json();
    object.changeId = stringMember(body, "changeId");
    return object;
}

ApiResponse toResponse(const HttpResult &result)
{
    ApiResponse response;
    if (result.status == 0) {
        response.error = result.error;
        return response;
    }
    response.body = json::parse(result.body, nullptr, false);
    if (result.status >= 200 && result.status < 300) {
        response.kind = response.body.is_object() ? ResponseKind::Ok : ResponseKind::Lost;
        response.error = response.body.is_object() ? "" : "the response body is not a JSON object";
        return response;
    }
    response.error = errorText(result, response.body);
    if (result.status == 409) {
        response.kind = ResponseKind::Conflict;
    } else if (result.status == 404) {
        response.kind = ResponseKind::NotFound;
    } else {
        response.kind = isTransient(result.status) ? ResponseKind::Lost : ResponseKind::Refused;
    }
    return response;
}

ApiCall readCall(const ObjectKey &key)
{
    return {"GET", "/v1/objects/" + toString(key), {}, "", 0};
}

ApiCall writeCall(const ObjectKey &key, std::int64_t expected, const std::string &changeId, const json &value)
{
    ApiCall call = readCall(key);
    call.method = value.is_null() ? "DELETE" : "PUT";
    call.headers = {{"If-Match", std::to_string(expected)}, {"X-Change-Id", changeId}, {"Content-Type", "application/json"}};
    call.body = value.is_null() ? "" : value.dump();
    return call;
}

ApiCall listCall(std::int64_t since, int waitSeconds)
{
    return {"GET", "/v1/objects?since=" + std::to_string(since) + "&wait=" + std::to_string(waitSeconds), {}, "", 0};
}

} // namespace pimentofold::ctl
