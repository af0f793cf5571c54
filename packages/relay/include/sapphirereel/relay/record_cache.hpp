/// \file
/// Defines a daemon's copy of a keyed stream of the platform's log: the newest
/// record of each key. Records arrive from the log or from a peer's copy in any
/// order; their positions decide which is newer, so the copy never regresses
/// within an era of the log, and a restored log replaces it.
#ifndef SAPPHIREREEL_RELAY_RECORD_CACHE_HPP
#define SAPPHIREREEL_RELAY_RECORD_CACHE_HPP

#include "sapphirereel/relay/log_position.hpp"

#include <cstddef>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirereel::relay {

/// A record of a keyed stream.
struct keyed_record
{
    std::string key;
    log_position position;
    /// None if the record removes its key.
    std::optional<std::string> value;
    auto operator<=>(keyed_record const&) const = default;
};

/// Whether a record only renews the one before it of the same key, as a
/// heartbeat does. Both have values.
using renewal_test =
    std::function<bool(keyed_record const& before, keyed_record const& after)>;

/// The newest records of one stream.
class record_cache
{
public:
    /// A copy in which every record is a change.
    record_cache() = default;

    /// A copy in which records that `is_renewal` accepts are not changes, and
    /// which keeps the first `max_value_bytes` of longer values.
    explicit record_cache(
        renewal_test is_renewal,
        std::size_t max_value_bytes = std::numeric_limits<std::size_t>::max());

    /// Applies consecutive records of the log up to `next`. Returns whether the
    /// copy changed.
    auto apply_changes(
        std::vector<keyed_record> const& records, log_position next) -> bool;

    /// Applies records that lie behind `next` before those between are here.
    /// They are among those of a later call of `apply_changes`; until then this
    /// copy does not count as having reached them. Returns whether the copy
    /// changed.
    auto apply_early(std::vector<keyed_record> const& records) -> bool;

    /// Applies a snapshot of the newest record of every key as of `next`; a
    /// missing key has been removed. A snapshot of an earlier era is ignored.
    /// Returns whether the copy changed.
    auto apply_snapshot(
        std::vector<keyed_record> const& newest, log_position next) -> bool;

    /// The newest records without removed keys, in the order of their keys.
    [[nodiscard]] auto newest() const -> std::vector<keyed_record>;

    /// The newest record of each key that changed from a position on, removals
    /// included; none if a removal since then may be missing from the copy.
    [[nodiscard]] auto changed_since(log_position from) const
        -> std::optional<std::vector<keyed_record>>;

    [[nodiscard]] auto find(std::string const& key) const
        -> keyed_record const*;

    /// Position of the newest record of a key, which may be a removal.
    [[nodiscard]] auto position_of(std::string const& key) const
        -> std::optional<log_position>;

    /// Position before which every record has been applied.
    [[nodiscard]] auto next() const -> log_position
    {
        return next_;
    }

    /// Position behind the last change. A copy that has reached it lacks at
    /// most renewals.
    [[nodiscard]] auto changed_until() const -> log_position
    {
        return changed_until_;
    }

private:
    struct held_record
    {
        keyed_record newest;
        /// Position of the last record that was not a renewal.
        log_position changed_at;
    };

    auto apply_record(keyed_record const& record) -> bool;

    [[nodiscard]] auto cut_to_limit(keyed_record record) const -> keyed_record;

    renewal_test is_renewal_;
    std::size_t max_value_bytes_ = std::numeric_limits<std::size_t>::max();
    std::map<std::string, held_record> records_;
    log_position next_;
    log_position changed_until_;
    /// Position of the last snapshot that advanced `next_`; removals before it
    /// may be missing from the copy.
    log_position removals_known_from_;
};

} // namespace sapphirereel::relay

#endif
