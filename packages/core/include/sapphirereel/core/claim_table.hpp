/// \file
/// Defines claim_table: the state of each name according to the stream
/// `claims`, and the time since which the table is complete.
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

/// State of one name: its first entry in the log, and what that entry's writer
/// appended later.
struct claim_state
{
    daemon_id holder;
    digest body;
    log_offset offset;
    wall_time appended;
    /// Whether the first entry is a refuse entry or the holder has withdrawn
    /// its run entry.
    bool refused = false;
    /// Reason for the refusal; valid when `refused` is set.
    refusal_cause cause = refusal_cause::overloaded;
    /// Whether the holder has run the call.
    bool done = false;
    auto operator<=>(claim_state const&) const = default;
};

/// The names in the stream `claims`. The table is a pure function of the pages
/// applied.
class claim_table
{
public:
    /// `retention` is the time for which the log retains records and the table
    /// retains names; `clock_skew` is the maximum difference between the wall
    /// clocks of the log service and this daemon.
    claim_table(duration retention, duration clock_skew);

    /// Applies a page; returns the names whose state was added or changed, in
    /// log order. A page that doesn't continue at next_offset() is ignored.
    auto apply(claim_page const& page) -> std::vector<digest>;

    /// The state of the name, or nothing if the table has no entry for it.
    [[nodiscard]] auto find(digest const& name) const
        -> std::optional<claim_state>;

    /// Whether the table contains every entry that was appended at or after
    /// `since` and before next_offset(). Only then does the absence of a name
    /// show that it is unclaimed.
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
    /// Entries older than this time may be missing.
    std::optional<wall_time> incomplete_before_;
    /// Records were missed, and no later record has yet given an upper bound of
    /// their time.
    bool undated_gap_ = false;
    std::map<digest, claim_state> states_;
    std::deque<dated_name> by_age_;
};

} // namespace sapphirereel

#endif
