#include <pimentofoldctl/difference.h>

#include <algorithm>
#include <cctype>

namespace pimentofold::ctl {

using nlohmann::json;

namespace {

constexpr std::size_t maxShownLength = 160;

std::string displayText(const json &value)
{
    if (value.is_null()) {
        return {};
    }
    std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > maxShownLength) {
        text = text.substr(0, maxShownLength) + "...";
    }
    return text;
}

std::string pathOf(const std::string &pointer)
{
    std::string path;
    json::json_pointer rest(pointer);
    std::vector<std::string> parts;
    for (; !rest.empty(); rest.pop_back()) {
        parts.insert(parts.begin(), rest.back());
    }
    for (const std::string &it : parts) {
        const bool index = it == "-" || std::all_of(it.begin(), it.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
        if (index) {
            path += "[" + (it == "-" ? std::string("+") : it) + "]";
        } else {
            path += (path.empty() ? "" : ".") + it;
        }
    }
    return path;
}

} // namespace

json withoutSecrets(const std::string &kind, json value)
{
    if (kind != "keys" || !value.is_object() || !value.contains("epochs") || !value["epochs"].is_array()) {
        return kind == "keys" ? json() : value;
    }
    for (json &it : value["epochs"]) {
        if (it.is_object()) {
            it["secret"] = "(secret)";
        }
    }
    return value;
}

std::vector<FieldChange> difference(const std::string &kind, const json &before, const json &after)
{
    const json from = withoutSecrets(kind, before);
    const json to = withoutSecrets(kind, after);
    std::vector<FieldChange> changes;
    for (const json &it : json::diff(from, to)) {
        const auto pointer = it["path"].get<std::string>();
        const bool added = it["op"] == "add";
        const json previous = added ? json() : from.at(json::json_pointer(pointer));
        changes.push_back({pathOf(pointer), added ? "" : displayText(previous), it.contains("value") ? displayText(it["value"]) : ""});
    }
    return changes;
}

std::string toText(const std::vector<FieldChange> &changes)
{
    std::string text;
    for (const FieldChange &it : changes) {
        text += "  " + (it.path.empty() ? std::string("(whole value)") : it.path) + ": ";
        text += (it.before.empty() ? "(absent)" : it.before) + " -> " + (it.after.empty() ? "(absent)" : it.after) + "\n";
    }
    return text;
}

json toJson(const std::vector<FieldChange> &changes)
{
    json list = json::array();
    for (const FieldChange &it : changes) {
        list.push_back({{"path", it.path}, {"before", it.before}, {"after", it.after}});
    }
    return list;
}

} // namespace pimentofold::ctl
