#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <pimentofold/template.h>
#include <pimentofoldctl/platformobject.h>

/// Files with objects, and the checks of objects against each other.
///
/// A file holds one object {"kind", "name", "value"} or a list of them, {"objects": [...]}, in JSON with comments.
/// An object may state the "version" that it was made from, which is then the condition of the write.
namespace pimentofold::ctl {

struct FileObject {
    std::string file;
    ObjectKey key;
    nlohmann::json value;
    std::optional<std::int64_t> version;
};

/// Values of objects that exist, by key.
using ObjectValues = std::map<ObjectKey, nlohmann::json>;

/// @param text content of the file
/// @throws SettingsError
std::vector<FileObject> parseObjectFile(const std::string &text, const std::string &file);

/// @return the objects of all files, templates before teams before drains, so that each is written after those
///     that it needs
/// @throws SettingsError also when two files have the same object
std::vector<FileObject> readObjectFiles(const std::vector<std::string> &files);

/// Checks the objects of files, and the teams that exist and use their templates.
/// @param existing other objects; the files' objects take precedence over them
/// @throws SettingsError
void checkObjects(const std::vector<FileObject> &objects, const ObjectValues &existing);

/// @return the team with its parameters filled in from its template
/// @throws SettingsError when the team or its template is missing or wrong
TeamSpec expandTeamByName(const std::string &team, const ObjectValues &values);

/// @param kind first operand of a command
/// @param name second operand
/// @throws SettingsError when the kind is unknown or the name can't be that of an object
ObjectKey parseObjectKey(const std::string &kind, const std::string &name);

/// @return the teams that an object concerns: for a template the teams that use it, for a drain its team
std::vector<std::string> affectedTeams(const ObjectKey &key, const ObjectValues &values);

} // namespace pimentofold::ctl
