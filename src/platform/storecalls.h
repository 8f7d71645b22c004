#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <pimentofold/edgeconfig.h>

/// Calls to the platform's store and what its answers hold.
namespace pimentofold::platform {

/// The kinds of object that an edge node follows.
enum class StoreKind {
    Config, ///< one object, the whole configuration
    Targets, ///< one object a target
};

/// @return path and query that list a kind
/// @param after name of the last object of the page before, empty for the first page
std::string listPath(StoreKind kind, const std::string &after);

/// @return path and query that wait for changes
/// @param revision of the store up to which the caller knows all changes
/// @param wait longest time until the answer
std::string watchPath(StoreKind kind, std::int64_t revision, Time wait);

/// An entry whose bytes or fields are not those of a configuration or a target.
struct UnreadableObject {
    std::uint64_t id = 0; ///< of the target that the name stands for; 0 when it stands for none
    std::string name;
    std::int64_t revision = 0;
    std::string problem;
};

/// An object that the store no longer holds.
struct DeletedObject {
    std::uint64_t id = 0; ///< of the target; 0 for other objects
    std::string name;
    std::int64_t revision = 0;
};

using StoreObject = std::variant<EdgeConfig, TargetRecord, DeletedObject, UnreadableObject>;

/// A page of a list, or the changes that a watch has waited for.
struct StoreResponse {
    std::vector<StoreObject> objects;
    std::int64_t revision = 0; ///< of the store
    bool hasMore = false; ///< a further page follows
    std::string lastName; ///< name of the last object, for the next page
};

/// @param kind that was asked for
/// @param body of an answer with status 200, to a list or a watch
/// @return nothing when the body isn't such an answer; single objects that can't be read are part of the result
std::optional<StoreResponse> decodeStoreResponse(StoreKind kind, const std::string &body);

/// Addresses at which the edge nodes reach each other, kept in one object of the project's own kind.
struct Roster {
    std::vector<Address> nodes;
    std::int64_t revision = 0; ///< of the object; 0 when it doesn't exist
};

/// @return path and query that read the roster; the answer may be some seconds old
std::string rosterReadPath();

/// @return nothing when the body isn't a roster
std::optional<Roster> decodeRoster(const std::string &body);

/// A call that writes.
struct StoreWriteRequest {
    std::string method;
    std::string path;
    std::string body;
};

/// @return the call that writes the roster if the object still has the roster's revision
StoreWriteRequest rosterWriteRequest(const Roster &roster);

/// Status of an answer when the object doesn't exist.
constexpr int statusNotFound = 404;
/// Status of an answer when the object has another revision than the write names; the body holds the object.
constexpr int statusConflict = 409;
/// Status of an answer when the history from the revision of a watch is gone, so that the kind has to be listed again.
constexpr int statusGone = 410;

} // namespace pimentofold::platform
