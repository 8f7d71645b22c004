#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <libnet/httpclient.h>

#include <pimentofold/configstore.h>

/// The platform's objects and the calls of its object API.
namespace pimentofold::ctl {

/// @return "KIND/NAME"
std::string toString(const ObjectKey &key);

/// One version of an object; version 0 stands for an object that never existed.
struct PlatformObject {
    ObjectKey key;
    std::int64_t version = 0;
    bool deleted = false;
    nlohmann::json value; ///< null when there is none
    std::string changeId;
};

/// @return whether the object exists
bool isPresent(const PlatformObject &object);

/// @return the object, with version 0 when the body isn't an object of the API
PlatformObject parseObject(const ObjectKey &key, const nlohmann::json &body);

enum class ResponseKind {
    Ok, ///< the body has the result
    Conflict, ///< the version has changed; the body has the current object
    NotFound,
    Refused, ///< repeating the call doesn't help
    Lost, ///< no answer, or one that doesn't say whether the call took effect
};

/// An answer of the platform.
struct ApiResponse {
    ResponseKind kind = ResponseKind::Lost;
    nlohmann::json body;
    std::string error; ///< why the call was refused or the answer lost
};

/// Classifies an HTTP result. A server error counts as lost, since a gateway gives one when the platform's own
/// answer was lost after a write.
ApiResponse toResponse(const HttpResult &result);

/// A call of the object API, without the platform's address.
struct ApiCall {
    std::string method = "GET";
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
    Time timeout = 0; ///< 0: the default of the connection
};

ApiCall readCall(const ObjectKey &key);
/// @param expected version that the write replaces; 0 creates
/// @param changeId of the new version
/// @param value null deletes
ApiCall writeCall(const ObjectKey &key, std::int64_t expected, const std::string &changeId, const nlohmann::json &value);
/// @param since revision after which the changes are wanted
/// @param waitSeconds how long the platform may wait for a change
ApiCall listCall(std::int64_t since, int waitSeconds);

} // namespace pimentofold::ctl
