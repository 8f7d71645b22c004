#include <pimentofold/teams/template.h>

namespace pimentofold {

using nlohmann::json;

void checkValueSize(const std::string &name, const json &value)
{
    const std::size_t size = value.dump().size();
    if (size > maxObjectValueBytes) {
        throw SettingsError(name, "", "a value of at most " + std::to_string(maxObjectValueBytes) + " bytes, but it has " + std::to_string(size));
    }
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-.") == std::string_view::npos;
}

bool isPlainName(std::string_view text)
{
    return isName(text) && text.find('.') == std::string_view::npos;
}

std::string toString(const DrainName &drain)
{
    return drain.team + "." + drain.service + "." + drain.instance;
}

std::optional<DrainName> parseDrainName(std::string_view text)
{
    const auto teamEnd = text.find('.');
    const auto serviceEnd = teamEnd == std::string_view::npos ? teamEnd : text.find('.', teamEnd + 1);
    if (serviceEnd == std::string_view::npos) {
        return {};
    }
    DrainName drain{
        std::string(text.substr(0, teamEnd)), std::string(text.substr(teamEnd + 1, serviceEnd - teamEnd - 1)), std::string(text.substr(serviceEnd + 1))};
    if (!isPlainName(drain.team) || !isPlainName(drain.service) || !isName(drain.instance)) {
        return {};
    }
    return drain;
}

std::string parseDrain(const std::string &name, const json &value)
{
    const std::string file = "drain/" + name;
    if (!parseDrainName(name)) {
        throw SettingsError(file, "", "a name of the form TEAM.SERVICE.INSTANCE");
    }
    checkValueSize(file, value);
    if (!value.is_object()) {
        throw SettingsError(file, "", "a JSON object");
    }
    SettingsObject top{file, "", value, {}};
    std::string reason = takeString(top, "reason", "");
    finishSettings(top);
    return reason;
}

} // namespace pimentofold
