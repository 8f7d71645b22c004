#include <pimentofold/configcheck/configcheck.h>

#include <algorithm>
#include <map>

namespace pimentofold {

namespace {

constexpr std::size_t maxShownBytes = 160;

using Findings = std::vector<ConfigFinding>;

std::string shown(const std::string &value)
{
    return value.size() <= maxShownBytes ? value : value.substr(0, maxShownBytes) + "...";
}

/// Identifies an entry: its name, and how many entries of the same name precede it.
using EntryKey = std::pair<std::string_view, std::size_t>;

/// @return the entries with a name
template<typename Entry>
std::map<EntryKey, const Entry *> entriesByName(const std::vector<Entry> &entries)
{
    std::map<EntryKey, const Entry *> result;
    std::map<std::string_view, std::size_t> counts;
    for (const Entry &it : entries) {
        if (!it.name.empty()) {
            result.emplace(EntryKey{it.name, counts[it.name]++}, &it);
        }
    }
    return result;
}

/// @return location for something that only the previous version has
FieldLocation removedLocation(const FieldLocation &before)
{
    return {0, 0, before.field};
}

std::string previousLine(const FieldLocation &before)
{
    return " (line " + std::to_string(before.line) + " of the previous version)";
}

/// @param owner entry that has the fields, for messages; may be empty
void compareFields(const std::vector<DescribedField> &before, const std::vector<DescribedField> &after, const std::string &owner, Findings &findings)
{
    const auto previous = entriesByName(before);
    const auto present = entriesByName(after);
    for (const auto &[key, field] : present) {
        const auto it = previous.find(key);
        const std::string value = shown(field->value);
        const std::string label = owner + field->name;
        if (it == previous.end()) {
            findings.push_back({FindingCode::Added, field->location, std::string(label).append(" is added: ").append(value), "", value});
        } else if (it->second->value != field->value) {
            const std::string old = shown(it->second->value);
            findings.push_back(
                {FindingCode::Changed, field->location, std::string(label).append(" changes from ").append(old).append(" to ").append(value), old, value});
        }
    }
    for (const auto &[key, field] : previous) {
        if (!present.contains(key)) {
            const std::string value = shown(field->value);
            std::string message = (owner + field->name).append(" is removed: ").append(value).append(previousLine(field->location));
            findings.push_back({FindingCode::Removed, removedLocation(field->location), std::move(message), value, ""});
        }
    }
}

/// @return the fields of an entry in one text, for entries that are added or removed as a whole
template<typename Entry>
std::string summary(const Entry &entry)
{
    std::string text;
    for (const DescribedField &it : entry.fields) {
        text += (text.empty() ? "" : ", ") + it.name + ": " + it.value;
    }
    return shown(text);
}

template<typename Entry>
void compareEntries(const std::vector<Entry> &before, const std::vector<Entry> &after, const std::string &kind, Findings &findings)
{
    const auto previous = entriesByName(before);
    const auto present = entriesByName(after);
    for (const auto &[key, entry] : present) {
        const auto it = previous.find(key);
        const std::string label = kind + " " + quote(entry->name);
        if (it == previous.end()) {
            findings.push_back({FindingCode::Added, entry->location, label + " is added", "", summary(*entry)});
        } else {
            compareFields(it->second->fields, entry->fields, label + ": ", findings);
        }
    }
    for (const auto &[key, entry] : previous) {
        if (!present.contains(key)) {
            std::string message = kind + " " + quote(entry->name) + " is removed" + previousLine(entry->location);
            findings.push_back({FindingCode::Removed, removedLocation(entry->location), std::move(message), summary(*entry), ""});
        }
    }
}

} // namespace

std::vector<ConfigFinding> compareConfigs(const ConfigDescription &before, const ConfigDescription &after)
{
    Findings findings;
    compareFields(before.fields, after.fields, "", findings);
    compareEntries(before.services, after.services, "service", findings);
    compareEntries(before.routes, after.routes, "route", findings);
    sortFindings(findings);
    // Removed entries have no line. They follow after those that have one.
    std::stable_partition(findings.begin(), findings.end(), [](const ConfigFinding &it) { return it.location.line > 0; });
    return findings;
}

} // namespace pimentofold
