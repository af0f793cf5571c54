/// \file
/// Defines claim_table: what the stream `claims` says about each name, in log
/// order, and from what time on it says all.
#ifndef SAPPHIREREEL_CORE_CLAIM_TABLE_HPP
#define SAPPHIREREEL_CORE_CLAIM_TABLE_HPP

#include "sapphirereel/core/claim_record.hpp"
#include "sapphirereel/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace sapphirereel {

/// What the log says about one name: its first entry, and what its writer
/// added later.
struct claim_state
{
    daemon_id holder;
    digest body;
    log_offset offset;
    wall_time appended;
    /// The first entry refuses, or the holder has withdrawn its run entry.
    bool refused = false;
    /// Why, when refused.
    refusal_cause cause = refusal_cause::overloaded;
    /// The holder has run the call.
    bool done = false;
    auto operator<=>(claim_state const&) const = default;
};

/// The names of the stream `claims`. A pure function of the pages applied.
class claim_table
{
public:
    /// `retention` is how long the log keeps records and the table names;
    /// `clock_skew` bounds the difference of the log's and this daemon's civil
    /// time.
    claim_table(duration retention, duration clock_skew);

    /// Applies a page; returns the names that got or changed a state, in log
    /// order. A page that doesn't continue at next_offset() is passed over.
    auto apply(claim_page const& page) -> std::vector<digest>;

    /// What stands for the name, if anything does.
    [[nodiscard]] auto find(digest const& name) const
        -> std::optional<claim_state>;

    /// Whether every entry that was appended at or after `since` and before
    /// next_offset() is known. Only then does a missing name say anything.
    [[nodiscard]] auto complete_since(wall_time since) const -> bool;

    /// Offset of the next record to read.
    [[nodiscard]] auto next_offset() const -> log_offset;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct dated_name
    {
        wall_time appended;
        digest name;
    };

    auto record_gap(claim_page const& page) -> void;
    auto apply_entry(claim_log_record const& record, claim_entry const& entry)
        -> bool;
    auto add(claim_log_record const& record, claim_entry const& entry) -> void;
    auto drop_before(wall_time cutoff) -> void;

    std::int64_t retention_ms_;
    std::int64_t skew_ms_;
    log_offset next_{1};
    bool has_read_ = false;
    /// Entries from before this time may be unknown.
    std::optional<wall_time> incomplete_before_;
    /// Records were lost of which no later one has dated the loss yet.
    bool undated_gap_ = false;
    std::map<digest, claim_state> states_;
    std::deque<dated_name> by_age_;
};

} // namespace sapphirereel

#endif
