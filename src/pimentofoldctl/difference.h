#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <pimentofoldctl/platformobject.h>

/// Differences between two values of an object, as shown to operators.
namespace pimentofold::ctl {

/// One changed field. An absent value is an empty string.
struct FieldChange {
    std::string path; ///< path of the field, for example "services[0].slots"; empty for the whole value
    std::string before; ///< old value as compact JSON, truncated after 160 bytes
    std::string after; ///< new value in the same form
};

/// Compares two values of an object. Secrets of keys objects are replaced before the comparison.
/// @param kind kind of the object
/// @param before old value; null when the object did not exist
/// @param after new value; null for a deletion
/// @return the fields that differ
std::vector<FieldChange> difference(const std::string &kind, const nlohmann::json &before, const nlohmann::json &after);

/// @return one line for each change, indented by two spaces: "  services[0].slots: 3 -> 4"
std::string toText(const std::vector<FieldChange> &changes);

/// @return the changes as a JSON array [{"path", "before", "after"}]
nlohmann::json toJson(const std::vector<FieldChange> &changes);

/// Hides the secrets of a keys object. Values of other kinds are returned unchanged.
/// @return the value with each secret replaced by "(secret)"; null when the value of a keys object is malformed
nlohmann::json withoutSecrets(const std::string &kind, nlohmann::json value);

} // namespace pimentofold::ctl
