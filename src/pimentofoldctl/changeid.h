#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <pimentofold/types.h>

/// Change ids, which pimentofoldctl stores with each version of an object.
///
/// A change id is a list of entries, newest first and separated by commas: the entry of the change that wrote this
/// version, followed by the entries of earlier changes. Each entry has the wall time in milliseconds, the operator and a
/// random number:
///
///     1764830000123.alice.9f86d081,1764829000456.bob.60303ae2
///
/// The platform keeps only the newest version of an object. The earlier entries let a writer whose response was lost
/// find its change even after others have written later versions, and let `history` show the latest changes.
namespace pimentofold::ctl {

/// Maximum number of entries in one change id. The outcome of a write whose response was lost can be determined as long
/// as fewer writes than this follow it. Each entry adds about 35 bytes to a version of an object.
constexpr std::size_t maxChangeEntries = 8;

/// A parsed entry of a change id. Entries written by other programs have no time and no author.
struct ChangeEntry {
    std::string id; ///< the unparsed entry
    WallTime time = 0; ///< of the change, in milliseconds since the Unix epoch; 0 when unknown
    std::string author; ///< name of the operator; empty when unknown
};

/// Creates the entry of a new change.
/// @param now wall time in milliseconds since the Unix epoch
/// @param author name of the operator
/// @param nonce random number that makes the entry unique
/// @return the entry, "TIME.AUTHOR.NONCE"
std::string makeChangeEntry(WallTime now, const std::string &author, std::uint32_t nonce);

/// @return whether the text is a valid entry: 1 to 120 letters, digits, '-', '_' and '.'
bool isChangeEntry(std::string_view text);

/// Creates the change id of a new version. It has at most maxChangeEntries entries; the oldest ones are dropped, and so are
/// the first invalid entry of @p previous and all entries after it.
/// @param entry entry of the new change
/// @param previous change id of the replaced version; may be empty
/// @return the change id of the new version
std::string prependEntry(const std::string &entry, const std::string &previous);

/// @return the entries of a change id, newest first
std::vector<ChangeEntry> parseChangeId(const std::string &changeId);

/// @return whether @p entry is one of the entries of @p changeId, so that the version or an earlier one was written by that change
bool containsEntry(const std::string &changeId, const std::string &entry);

/// @return whether @p entry is the newest entry of @p changeId
bool startsWithEntry(const std::string &changeId, const std::string &entry);

} // namespace pimentofold::ctl
