#pragma once

#include <compare>
#include <cstdint>

/// Positions in the history of the platform's store.
namespace pimentofold {

/// A revision of the store together with the era in which the store gave it out. When the store comes back from an older copy,
/// its era rises and it gives out lower revisions again, so revisions alone don't tell which of two states is newer.
///
///     StoreRevision{1, 900} < StoreRevision{2, 40}
struct StoreRevision {
    std::int64_t era = 0; ///< 0: the store names no eras, or none is known
    std::int64_t number = 0; ///< 0: unknown

    constexpr StoreRevision() = default;
    /// A revision of a store without eras.
    constexpr StoreRevision(std::int64_t revisionNumber) // NOLINT(google-explicit-constructor): 0 stands for an unknown revision
        : number(revisionNumber)
    {
    }
    constexpr StoreRevision(std::int64_t storeEra, std::int64_t revisionNumber)
        : era(storeEra)
        , number(revisionNumber)
    {
    }

    // False positive: clang-tidy reports the 0 in the generated comparison as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend constexpr auto operator<=>(const StoreRevision &, const StoreRevision &) = default;
};

} // namespace pimentofold
