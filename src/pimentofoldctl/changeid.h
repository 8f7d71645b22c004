#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <pimentofold/types.h>

/// Change ids that pimentofoldctl writes with each version of an object.
///
/// A change id lists the id of this change and of the changes before it, newest first, separated by commas:
///
///     1764830000123.alice.9f86d081,1764829000456.bob.60303ae2
///
/// The platform keeps only the newest version of an object. With the earlier ids in it, a writer whose answer was
/// lost finds its change even when others have written after it, and `history` shows the latest changes.
namespace pimentofold::ctl {

/// Ids that are carried in one change id. A lost answer can be settled as long as fewer writes than this come
/// after it; each id adds about 35 bytes to a version of an object.
constexpr std::size_t maxChangeEntries = 8;

/// One change as its id states it. Ids of other programs have no time and no author.
struct ChangeEntry {
    std::string id; ///< the whole entry
    WallTime time = 0;
    std::string author;
};

/// @param now wall time
/// @param author name of the operator
/// @param nonce random number that makes the id unique
/// @return the id of one change
std::string makeChangeEntry(WallTime now, const std::string &author, std::uint32_t nonce);

/// @return whether the text can be an entry: 1 to 120 letters, digits, '-', '_' and '.'
bool isChangeEntry(std::string_view text);

/// @param entry id of the new change
/// @param previous change id of the version that it replaces; may be empty
/// @return the change id to write
std::string prependEntry(const std::string &entry, const std::string &previous);

/// @return the entries of a change id, newest first
std::vector<ChangeEntry> parseChangeId(const std::string &changeId);

/// @return whether the change id is that of the change or of a later one that knows of it
bool containsEntry(const std::string &changeId, const std::string &entry);

/// @return whether the newest change of @p changeId is @p entry
bool startsWithEntry(const std::string &changeId, const std::string &entry);

} // namespace pimentofold::ctl
