/// \file
/// Defines configuration_log: a replicated state machine that derives the
/// configuration from the records of the shared log, recovers from expired
/// records with snapshots, and never moves back to an earlier offset.
#ifndef SAPPHIREREEL_CORE_CONFIGURATION_LOG_HPP
#define SAPPHIREREEL_CORE_CONFIGURATION_LOG_HPP

#include "sapphirereel/core/configuration_state.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace sapphirereel {

/// Effect of a record passed to `configuration_log::apply`.
enum class apply_outcome
{
    /// The edit took effect.
    accepted,
    /// The edit was rejected; the verdict holds the reasons.
    rejected,
    /// The edit's id already has a verdict, which remains.
    duplicate,
    /// The record could not be decoded and was skipped.
    malformed,
    /// A snapshot of a state that is already contained.
    snapshot_redundant,
    /// A snapshot that closed a gap; the buffered records were then applied.
    snapshot_installed,
    /// Earlier records have expired; the record is buffered until a snapshot
    /// closes the gap.
    buffered,
    /// The state already contains the record.
    already_applied
};

/// Result of applying one record, with the verdict if it is an edit.
struct apply_result
{
    apply_outcome kind = apply_outcome::already_applied;
    log_offset offset;
    std::optional<edit_verdict> verdict;
    auto operator<=>(apply_result const&) const = default;
};

/// Offset of the configuration that a daemon acts on, and the time at which the
/// daemon reached it.
struct in_force
{
    log_offset offset;
    time_point since;
    auto operator<=>(in_force const&) const = default;
};

/// Number of records that could not be decoded, and the offsets of the latest.
struct malformed_records
{
    std::uint64_t count = 0;
    std::vector<log_offset> latest;
    auto operator<=>(malformed_records const&) const = default;
};

/// A replica of the configuration. Copies are independent.
///
/// Example, for each page of the log:
/// \code
///   log.note_first_retained(page.first);
///   for (auto const& entry : entries)
///       log.apply(entry, now);
///   ask_for(log.read_from());
/// \endcode
class configuration_log
{
public:
    /// Applies a record. Records may be repeated but not reordered.
    auto apply(configuration_entry const& entry, time_point now)
        -> apply_result;

    /// Records the oldest offset retained by the log, as given by a page that
    /// was read from `read_from()`. Detects a gap even if the page has no
    /// records.
    auto note_first_retained(log_offset first) -> void;

    /// Installs a peer's state if its offset is later, and returns whether it
    /// was.
    auto catch_up(configuration_snapshot const& from_peer, time_point now)
        -> bool;

    /// The offset to read from next.
    [[nodiscard]] auto read_from() const -> log_offset;

    /// The state in force. During a gap this is the last state before the gap.
    [[nodiscard]] auto state() const -> configuration_state const&;

    [[nodiscard]] auto config() const -> configuration const&;

    /// The verdict on a recent edit, or nothing if there is none.
    [[nodiscard]] auto verdict(edit_id const& id) const
        -> std::optional<edit_verdict>;

    [[nodiscard]] auto in_force() const -> sapphirereel::in_force;

    /// Whether records expired unread, so that a snapshot from the log or a
    /// peer is needed.
    [[nodiscard]] auto needs_snapshot() const -> bool;

    [[nodiscard]] auto malformed() const -> malformed_records const&;

    /// The state as a record to append to the log or to send to a peer.
    [[nodiscard]] auto snapshot() const -> configuration_snapshot;

    /// Whether this daemon should append its snapshot now. Rank 0 does so when
    /// the oldest record still needed is a third of the retention old; each
    /// further rank waits a little longer and takes over if earlier ones fail.
    /// Remains true until a snapshot has been read back. `rank` is this
    /// daemon's position among the live ones, in an order common to all.
    [[nodiscard]] auto snapshot_due(
        wall_time now, duration retention, std::size_t rank) const -> bool;

    auto operator<=>(configuration_log const&) const = default;

private:
    auto apply_next(configuration_entry const& entry, time_point now)
        -> apply_result;
    auto apply_edit(configuration_edit const& edit, log_offset offset)
        -> apply_result;
    auto buffer_record(configuration_entry const& entry) -> void;
    auto closes_gap(configuration_entry const& entry) const -> bool;
    auto install(configuration_snapshot const& from, time_point now) -> void;
    auto replay_buffered(time_point now) -> void;
    auto update_anchor(configuration_entry const& entry) -> void;
    auto record_malformed(log_offset offset) -> void;

    configuration_state state_;
    time_point since_;
    /// Contiguous records after a gap, kept until a snapshot closes it.
    std::vector<configuration_entry> buffered_;
    /// The first record retained by the log after a gap.
    std::optional<log_offset> gap_end_;
    /// Wall-clock times at which the latest records were appended.
    std::map<log_offset, wall_time> appended_;
    /// Wall-clock time of the oldest record that the log must retain so that a
    /// reader of the log alone can reach this state; zero if unknown.
    wall_time anchor_;
    malformed_records malformed_;
};

} // namespace sapphirereel

#endif
