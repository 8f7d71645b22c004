#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <pimentofold/teams/template.h>
#include <pimentofoldctl/platformobject.h>

/// Reads files with objects and checks that the objects are valid together.
///
/// A file holds one object {"kind", "name", "value"} or a list of them, {"objects": [...]}, in JSON with comments.
/// An object may have a "version": it is then written only if this version is the current one on the platform.
namespace pimentofold::ctl {

/// An object from a file.
struct FileObject {
    std::string file; ///< path of the file, for error messages
    ObjectKey key;
    nlohmann::json value;
    std::optional<std::int64_t> version; ///< version that the write must replace, if the file has one
};

/// Values of existing objects, by key.
using ObjectValues = std::map<ObjectKey, nlohmann::json>;

/// Parses the content of an object file.
/// @param text content of the file
/// @param file path of the file, for error messages
/// @throws SettingsError when the content is not a valid object file
std::vector<FileObject> parseObjectFile(const std::string &text, const std::string &file);

/// Reads object files.
/// @param files paths of the files
/// @return the objects of all files: templates, then teams, then drains, so that each object is written after the ones
///     that it depends on
/// @throws SettingsError when a file is unreadable or invalid, or when an object is defined twice
std::vector<FileObject> readObjectFiles(const std::vector<std::string> &files);

/// Checks the objects from files, and the existing teams that use one of their templates.
/// @param objects objects from files
/// @param existing objects on the platform; objects from files take precedence over them
/// @throws SettingsError when an object is invalid
void checkObjects(const std::vector<FileObject> &objects, const ObjectValues &existing);

/// Expands a team: fills its parameters into its template.
/// @param team name of the team
/// @param values values that include the team and its template
/// @return the expanded team
/// @throws SettingsError when the team or its template is missing or invalid
TeamSpec expandTeamByName(const std::string &team, const ObjectValues &values);

/// Checks the kind and name given on the command line.
/// @return the key of the object
/// @throws SettingsError when the kind is unknown or the name isn't a valid object name
ObjectKey parseObjectKey(const std::string &kind, const std::string &name);

/// Finds the teams that are affected by a change of an object.
/// @param key key of the object
/// @param values values that include the teams; needed only for templates
/// @return for a template the teams that use it, for a drain its team, for other kinds the team of the same name
std::vector<std::string> affectedTeams(const ObjectKey &key, const ObjectValues &values);

} // namespace pimentofold::ctl
