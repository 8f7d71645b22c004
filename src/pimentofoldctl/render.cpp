#include <pimentofoldctl/render.h>

#include <array>
#include <ctime>

#include <pimentofoldctl/changeid.h>
#include <pimentofoldctl/difference.h>

namespace pimentofold::ctl {

using nlohmann::json;

namespace {

std::vector<FieldChange> writtenDifference(const ObjectWrite &write)
{
    return difference(write.request.key.kind, write.base.value, write.value);
}

/// @return the difference between the current value and the requested one
std::vector<FieldChange> conflictDifference(const ObjectWrite &write)
{
    return difference(write.request.key.kind, write.current.value, write.value);
}

std::string describeConflict(const ObjectWrite &write)
{
    return "; present is " + describeVersion(write.current) + "\nwhat this change would do to the present version:\n" + toText(conflictDifference(write));
}

} // namespace

std::string formatTime(WallTime time)
{
    if (time == 0) {
        return "-";
    }
    const auto seconds = static_cast<std::time_t>(time / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buf{};
    return {buf.data(), std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts)};
}

std::string describeVersion(const PlatformObject &object)
{
    if (object.version == 0) {
        return "no version";
    }
    std::string text = (object.deleted ? "deletion, version " : "version ") + std::to_string(object.version);
    const auto entries = parseChangeId(object.changeId);
    if (!entries.empty() && !entries.front().author.empty()) {
        text += " by " + entries.front().author + " at " + formatTime(entries.front().time);
    }
    return text;
}

json toJson(const PlatformObject &object)
{
    return {{"kind", object.key.kind},
            {"name", object.key.name},
            {"version", object.version},
            {"deleted", object.deleted},
            {"changeId", object.changeId},
            {"value", withoutSecrets(object.key.kind, object.value)}};
}

std::string describeWrite(const ObjectWrite &write)
{
    std::string text = toString(write.request.key) + ": ";
    switch (write.outcome) {
    case WriteOutcome::Written:
        text += (write.value.is_null() ? "deleted" : "written") + (write.version == 0 ? std::string() : " as version " + std::to_string(write.version));
        text += (write.detail.empty() ? "" : "; " + write.detail) + "\n";
        return text + toText(writtenDifference(write));
    case WriteOutcome::Unchanged:
        return text + (write.value.is_null() ? "absent already" : "unchanged at version " + std::to_string(write.version)) + "\n";
    case WriteOutcome::Conflict:
        return text + "conflict: " + write.detail + describeConflict(write);
    case WriteOutcome::Refused:
        return text + "refused by the platform: " + write.detail + "\n";
    case WriteOutcome::NotWritten:
        return text + "not written: " + write.detail + "\n";
    case WriteOutcome::Unknown:
        return text + "outcome unknown: " + write.detail + "\nthe change took effect if 'pimentofoldctl history " + write.request.key.kind + " "
            + write.request.key.name + "' shows " + write.request.entry + "\n";
    case WriteOutcome::Pending:
        break;
    }
    return text + "not finished\n";
}

json toJson(const ObjectWrite &write)
{
    json data = {{"kind", write.request.key.kind},
                 {"name", write.request.key.name},
                 {"outcome", name(write.outcome)},
                 {"changeId", write.request.entry},
                 {"version", write.version},
                 {"detail", write.detail}};
    if (write.outcome == WriteOutcome::Conflict) {
        data["current"] = toJson(write.current);
        data["difference"] = toJson(conflictDifference(write));
    } else if (write.outcome == WriteOutcome::Written) {
        data["difference"] = toJson(writtenDifference(write));
    }
    return data;
}

} // namespace pimentofold::ctl
