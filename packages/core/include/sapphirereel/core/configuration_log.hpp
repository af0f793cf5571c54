/// \file
/// Defines a daemon's replica of the configuration: it reads the records of
/// the log in order, survives their expiry, and only moves to later offsets.
#ifndef SAPPHIREREEL_CORE_CONFIGURATION_LOG_HPP
#define SAPPHIREREEL_CORE_CONFIGURATION_LOG_HPP

#include "sapphirereel/core/configuration_state.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace sapphirereel {

/// What became of a record.
enum class apply_outcome
{
    /// An edit came into force.
    accepted,
    /// An edit was refused; the verdict says why.
    rejected,
    /// An edit id that has a verdict already; the first one stands.
    duplicate,
    /// The record could not be decoded and was passed over.
    malformed,
    /// A snapshot that says nothing new.
    snapshot_redundant,
    /// A snapshot that closed a gap, with the records held since.
    snapshot_installed,
    /// Records before this one are gone; it waits for a snapshot.
    buffered,
    /// A record that the state contains already.
    already_applied
};

/// What became of one record, with the verdict if it is an edit.
struct apply_result
{
    apply_outcome kind = apply_outcome::already_applied;
    log_offset offset;
    std::optional<edit_verdict> verdict;
    auto operator<=>(apply_result const&) const = default;
};

/// Which configuration a daemon acts on, and since when.
struct in_force
{
    log_offset offset;
    time_point since;
    auto operator<=>(in_force const&) const = default;
};

/// Records that could not be decoded: how many, and where the latest were.
struct malformed_records
{
    std::uint64_t count = 0;
    std::vector<log_offset> latest;
    auto operator<=>(malformed_records const&) const = default;
};

/// A replica of the configuration. A value: copies are independent.
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
    /// Takes in a record. Records may come again, but not out of order.
    auto apply(configuration_entry const& entry, time_point now)
        -> apply_result;

    /// Takes in the oldest offset that the log holds, from a page read from
    /// `read_from()`. Detects a gap when the page has no records.
    auto note_first_retained(log_offset first) -> void;

    /// Takes in a peer's state if it is later than this one. Whether it was.
    auto catch_up(configuration_snapshot const& from_peer, time_point now)
        -> bool;

    /// The offset to read from next.
    [[nodiscard]] auto read_from() const -> log_offset;

    /// The state in force. During a gap it is the last one before the gap.
    [[nodiscard]] auto state() const -> configuration_state const&;

    [[nodiscard]] auto config() const -> configuration const&;

    /// The verdict on a recent edit.
    [[nodiscard]] auto verdict(edit_id const& id) const
        -> std::optional<edit_verdict>;

    [[nodiscard]] auto in_force() const -> sapphirereel::in_force;

    /// Whether records were lost, so that a snapshot is needed from the log
    /// or a peer.
    [[nodiscard]] auto needs_snapshot() const -> bool;

    [[nodiscard]] auto malformed() const -> malformed_records const&;

    /// The state as a record to append to the log or to send to a peer.
    [[nodiscard]] auto snapshot() const -> configuration_snapshot;

    /// Whether this daemon should append its snapshot now. Rank 0 does so
    /// when a third of the retention has passed since the last one; each
    /// further rank waits a little longer, so that others step in. Stays true
    /// until a snapshot has been read back. `rank`: this daemon's position
    /// among the live ones in one order that all share.
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
    /// Records after a gap, contiguous, kept until a snapshot closes it.
    std::vector<configuration_entry> buffered_;
    /// The first record that the log still had after a gap.
    std::optional<log_offset> gap_end_;
    /// Civil times of the latest records.
    std::map<log_offset, wall_time> appended_;
    /// Civil time of the oldest record that the log must still hold for a
    /// reader of the log alone to reach this state; zero when unknown.
    wall_time anchor_;
    malformed_records malformed_;
};

} // namespace sapphirereel

#endif
