#include <pimentofoldctl/changeid.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>

namespace pimentofold::ctl {

namespace {

constexpr std::size_t maxEntryLength = 120;

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= text.size() && !text.empty()) {
        const auto end = std::min(text.find(separator, begin), text.size());
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

ChangeEntry parseEntry(const std::string &text)
{
    ChangeEntry entry{text, 0, ""};
    const auto dot = text.find('.');
    const auto last = text.rfind('.');
    if (dot == std::string::npos || last == dot) {
        return entry;
    }
    WallTime time = 0;
    const auto result = std::from_chars(text.data(), text.data() + dot, time);
    if (result.ec == std::errc() && result.ptr == text.data() + dot) {
        entry.time = time;
        entry.author = text.substr(dot + 1, last - dot - 1);
    }
    return entry;
}

} // namespace

std::string makeChangeEntry(WallTime now, const std::string &author, std::uint32_t nonce)
{
    std::array<char, 9> hex{};
    std::snprintf(hex.data(), hex.size(), "%08x", nonce);
    return std::to_string(now) + "." + author + "." + hex.data();
}

bool isChangeEntry(std::string_view text)
{
    return !text.empty() && text.size() <= maxEntryLength
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; });
}

std::string prependEntry(const std::string &entry, const std::string &previous)
{
    std::string changeId = entry;
    std::size_t n = 1;
    for (const std::string &it : split(previous, ',')) {
        // Other programs may write change ids that aren't valid entries; these and older entries are dropped.
        if (n == maxChangeEntries || !isChangeEntry(it)) {
            break;
        }
        changeId += "," + it;
        ++n;
    }
    return changeId;
}

std::vector<ChangeEntry> parseChangeId(const std::string &changeId)
{
    std::vector<ChangeEntry> entries;
    for (const std::string &it : split(changeId, ',')) {
        entries.push_back(parseEntry(it));
    }
    return entries;
}

bool containsEntry(const std::string &changeId, const std::string &entry)
{
    const std::vector<std::string> entries = split(changeId, ',');
    return std::find(entries.begin(), entries.end(), entry) != entries.end();
}

bool startsWithEntry(const std::string &changeId, const std::string &entry)
{
    return changeId == entry || changeId.starts_with(entry + ",");
}

} // namespace pimentofold::ctl
