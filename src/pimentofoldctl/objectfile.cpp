#include <pimentofoldctl/objectfile.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace pimentofold::ctl {

using nlohmann::json;

namespace {

/// Kinds that object files may contain, in the order in which the objects are written.
constexpr std::array<std::string_view, 3> fileKinds = {"template", "team", "drain"};

std::size_t writeOrder(const std::string &kind)
{
    return static_cast<std::size_t>(std::find(fileKinds.begin(), fileKinds.end(), kind) - fileKinds.begin());
}

FileObject parseFileObject(SettingsObject &object)
{
    FileObject result;
    result.file = object.file;
    result.key = {takeString(object, "kind"), takeString(object, "name")};
    if (writeOrder(result.key.kind) == fileKinds.size()) {
        const std::string path = object.path.empty() ? "kind" : object.path + ".kind";
        throw SettingsError(object.file, path, "one of template, team, drain; keys are changed by 'keys rotate'");
    }
    if (hasField(object, "version")) {
        result.version = takeInteger(object, "version", 0, INT64_MAX);
    }
    object.taken.insert("value");
    if (!hasField(object, "value") || !object.value["value"].is_object()) {
        throw SettingsError(object.file, object.path.empty() ? "value" : object.path + ".value", "a JSON object");
    }
    result.value = object.value["value"];
    // Files may be edited output of `get --json`, so its other fields are accepted and ignored.
    object.taken.insert({"changeId", "deleted", "exitCode"});
    finishSettings(object);
    return result;
}

std::string readText(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        throw SettingsError(file, "", "a readable file");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Runs a check and prefixes its errors with the name of the object's file.
template<typename F>
void checkWithFileName(const FileObject &object, const F &check)
{
    try {
        check();
    } catch (const SettingsError &error) {
        throw SettingsError(object.file + ": " + error.file, error.field, error.expected);
    }
}

void checkObject(const FileObject &object, const ObjectValues &all)
{
    if (object.key.kind == "template") {
        parseTemplate(object.key.name, object.value);
        for (const std::string &it : affectedTeams(object.key, all)) {
            expandTeamByName(it, all);
        }
    } else if (object.key.kind == "team") {
        expandTeamByName(object.key.name, all);
    } else {
        parseDrain(object.key.name, object.value);
    }
}

const json &valueOf(const ObjectKey &key, const ObjectValues &values, const std::string &expected)
{
    const auto it = values.find(key);
    if (it == values.end()) {
        throw SettingsError(toString(key), "", expected);
    }
    return it->second;
}

} // namespace

std::vector<FileObject> parseObjectFile(const std::string &text, const std::string &file)
{
    SettingsObject top = parseSettings(text, file);
    if (!hasField(top, "objects")) {
        return {parseFileObject(top)};
    }
    std::vector<FileObject> objects;
    for (SettingsObject &it : takeObjects(top, "objects")) {
        objects.push_back(parseFileObject(it));
    }
    finishSettings(top);
    return objects;
}

std::vector<FileObject> readObjectFiles(const std::vector<std::string> &files)
{
    std::vector<FileObject> objects;
    for (const std::string &file : files) {
        for (FileObject &it : parseObjectFile(readText(file), file)) {
            const auto other = std::find_if(objects.begin(), objects.end(), [&it](const FileObject &o) { return o.key == it.key; });
            if (other != objects.end()) {
                throw SettingsError(file, "", "one definition of " + toString(it.key) + ", which is also in " + other->file);
            }
            objects.push_back(std::move(it));
        }
    }
    std::stable_sort(objects.begin(), objects.end(), [](const FileObject &a, const FileObject &b) { return writeOrder(a.key.kind) < writeOrder(b.key.kind); });
    return objects;
}

void checkObjects(const std::vector<FileObject> &objects, const ObjectValues &existing)
{
    ObjectValues all = existing;
    for (const FileObject &it : objects) {
        all[it.key] = it.value;
    }
    for (const FileObject &it : objects) {
        checkWithFileName(it, [&it, &all] { checkObject(it, all); });
    }
}

TeamSpec expandTeamByName(const std::string &team, const ObjectValues &values)
{
    const Team parsed = parseTeam(team, valueOf({"team", team}, values, "a team that exists"));
    const ObjectKey key{"template", parsed.templateName};
    const json &from = valueOf(key, values, "a template that exists, since team '" + team + "' uses it");
    return expandTeam(parseTemplate(key.name, from), parsed);
}

ObjectKey parseObjectKey(const std::string &kind, const std::string &name)
{
    constexpr std::array<std::string_view, 5> kinds = {"template", "team", "keys", "drain", "status"};
    if (std::find(kinds.begin(), kinds.end(), kind) == kinds.end()) {
        throw SettingsError(kind, "", "one of template, team, keys, drain, status");
    }
    // Names of drain objects consist of three names: team, service and instance.
    constexpr std::size_t maxParts = 3;
    if (name.empty() || name.size() > maxParts * (maxNameLength + 1) || name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-.") != std::string::npos) {
        throw SettingsError(kind + "/" + name, "", "a name of lower-case letters, digits, '-' and '.'");
    }
    return {kind, name};
}

std::vector<std::string> affectedTeams(const ObjectKey &key, const ObjectValues &values)
{
    if (key.kind == "drain") {
        const auto drain = parseDrainName(key.name);
        return drain ? std::vector<std::string>{drain->team} : std::vector<std::string>{};
    }
    if (key.kind != "template") {
        return {key.name};
    }
    std::vector<std::string> teams;
    for (const auto &[other, value] : values) {
        if (other.kind == "team" && value.is_object() && value.value("template", json()) == json(key.name)) {
            teams.push_back(other.name);
        }
    }
    return teams;
}

} // namespace pimentofold::ctl
