#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <libnet/httpclient.h>

#include <pimentofold/configreplication/configstore.h>

/// Objects on the platform, and the calls and responses of the platform's object API.
namespace pimentofold::ctl {

/// @return "KIND/NAME"
std::string toString(const ObjectKey &key);

/// One version of an object. Version 0 means that the object never existed.
struct PlatformObject {
    ObjectKey key;
    std::int64_t version = 0;
    bool deleted = false; ///< the version is a deletion
    nlohmann::json value; ///< null when there is none
    std::string changeId; ///< see changeid.h
};

/// @return whether the object exists, i.e. was created and not deleted
bool isPresent(const PlatformObject &object);

/// Parses the body of a response.
/// @return the object, with version 0 when the body isn't a valid object
PlatformObject parseObject(const ObjectKey &key, const nlohmann::json &body);

/// Class of a response.
enum class ResponseKind {
    Ok, ///< the call succeeded; the body has the result
    Conflict, ///< the version has changed; the body has the current object
    NotFound, ///< the object doesn't exist; the body has its deletion, if any
    Refused, ///< the platform rejected the call; a retry doesn't help
    Lost, ///< no response, or one that doesn't show whether the call took effect
};

/// A response of the platform.
struct ApiResponse {
    ResponseKind kind = ResponseKind::Lost;
    nlohmann::json body;
    std::string error; ///< why the call was refused or the response lost
};

/// Classifies an HTTP result. A server error counts as lost, since a gateway returns one when the platform's own response
/// was lost after a write.
ApiResponse toResponse(const HttpResult &result);

/// A call of the object API.
struct ApiCall {
    std::string method = "GET";
    std::string path; ///< path and query, without the address of the platform
    std::map<std::string, std::string> headers;
    std::string body;
    Time timeout = 0; ///< 0: the default timeout of the connection
};

/// @return the call that reads the current version of an object
ApiCall readCall(const ObjectKey &key);

/// @param key key of the object
/// @param expected version that the write must replace; 0 to create the object
/// @param changeId change id of the new version
/// @param value new value; null to delete the object
/// @return the call that writes a version of an object
ApiCall writeCall(const ObjectKey &key, std::int64_t expected, const std::string &changeId, const nlohmann::json &value);

/// @param since revision; only objects that changed after it are listed
/// @param waitSeconds how long the platform may wait for a change before it responds
/// @return the call that lists changed objects
ApiCall listCall(std::int64_t since, int waitSeconds);

} // namespace pimentofold::ctl
