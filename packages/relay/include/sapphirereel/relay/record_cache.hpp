/// \file
/// Defines a daemon's copy of a keyed stream of the platform's log: the newest
/// record of each key. Records arrive from the log or from a peer's copy in any
/// order; their offsets decide which is newer, so the copy never regresses.
#ifndef SAPPHIREREEL_RELAY_RECORD_CACHE_HPP
#define SAPPHIREREEL_RELAY_RECORD_CACHE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirereel::relay {

/// A record of a keyed stream.
struct keyed_record
{
    std::string key;
    std::uint64_t offset = 0;
    /// None if the record removes its key.
    std::optional<std::string> value;
    auto operator<=>(keyed_record const&) const = default;
};

/// The newest records of one stream.
class record_cache
{
public:
    /// Applies consecutive records of the log up to offset `next`. Returns
    /// whether the copy changed.
    auto apply_changes(
        std::vector<keyed_record> const& records, std::uint64_t next) -> bool;

    /// Applies a snapshot of the newest record of every key as of offset
    /// `next`; a missing key has been removed. Returns whether the copy
    /// changed.
    auto apply_snapshot(
        std::vector<keyed_record> const& newest, std::uint64_t next) -> bool;

    /// The newest records without removed keys, in the order of their keys.
    [[nodiscard]] auto newest() const -> std::vector<keyed_record>;

    /// The newest record of each key that changed from an offset on, removals
    /// included; none if a removal since then may be missing from the copy.
    [[nodiscard]] auto changed_since(std::uint64_t offset) const
        -> std::optional<std::vector<keyed_record>>;

    [[nodiscard]] auto find(std::string const& key) const
        -> keyed_record const*;

    /// Offset of the newest record of a key, which may be a removal.
    [[nodiscard]] auto offset_of(std::string const& key) const
        -> std::optional<std::uint64_t>;

    /// Offset before which every record has been applied.
    [[nodiscard]] auto next() const -> std::uint64_t
    {
        return next_;
    }

private:
    auto apply_record(keyed_record const& record) -> bool;

    std::map<std::string, keyed_record> records_;
    std::uint64_t next_ = 0;
    /// Offset of the last snapshot that advanced `next_`; removals before it
    /// may be missing from the copy.
    std::uint64_t removals_known_from_ = 0;
};

} // namespace sapphirereel::relay

#endif
