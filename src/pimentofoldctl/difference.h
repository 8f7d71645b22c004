#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <pimentofoldctl/platformobject.h>

/// Differences between two values of an object, for operators.
namespace pimentofold::ctl {

/// One changed field. An absent value is shown as an empty text.
struct FieldChange {
    std::string path; ///< as in error messages, for example "services[0].slots"
    std::string before; ///< compact JSON, cut to a length that fits on a line
    std::string after;
};

/// @return the fields that differ; secrets of keys objects are not shown
std::vector<FieldChange> difference(const std::string &kind, const nlohmann::json &before, const nlohmann::json &after);

/// @return one line for each change, each after two blanks: "  services[0].slots: 3 -> 4"
std::string toText(const std::vector<FieldChange> &changes);

/// @return the changes as [{"path", "before", "after"}]
nlohmann::json toJson(const std::vector<FieldChange> &changes);

/// @return the value with the secrets of a keys object replaced by "(secret)"; other kinds as they are
nlohmann::json withoutSecrets(const std::string &kind, nlohmann::json value);

} // namespace pimentofold::ctl
