#include "sapphirereel/core/configuration_log.hpp"

#include "sapphirereel/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel {
namespace {

/// Most offsets of malformed records that are kept.
constexpr auto malformed_latest_max = std::size_t{16};

/// Rank 0 republishes the state when the anchor is older than the retention
/// divided by `republish_divisor`. Each further rank, up to `rank_last`, waits
/// the retention divided by `rank_divisor` longer.
constexpr auto republish_divisor = 3;
constexpr auto rank_divisor = 24;
constexpr auto rank_last = std::size_t{8};

auto next(log_offset offset) -> log_offset
{
    return {offset.value + 1};
}

} // namespace

auto configuration_log::apply(configuration_entry const& entry, time_point now)
    -> apply_result
{
    if (entry.offset <= state_.offset)
    {
        return {apply_outcome::already_applied, entry.offset, std::nullopt};
    }
    if (entry.offset == next(state_.offset))
    {
        gap_end_.reset();
        buffered_.clear();
        return apply_next(entry, now);
    }
    if (!buffered_.empty() && entry.offset <= buffered_.back().offset)
    {
        return {apply_outcome::buffered, entry.offset, std::nullopt};
    }
    buffer_record(entry);
    if (!closes_gap(entry))
    {
        return {apply_outcome::buffered, entry.offset, std::nullopt};
    }
    install(std::get<configuration_snapshot>(entry.record), now);
    replay_buffered(now);
    return {apply_outcome::snapshot_installed, entry.offset, std::nullopt};
}

auto configuration_log::apply_next(
    configuration_entry const& entry, time_point now) -> apply_result
{
    since_ = now;
    appended_.emplace(entry.offset, entry.appended);
    if (appended_.size() > history_records)
    {
        appended_.erase(appended_.begin());
    }
    update_anchor(entry);
    if (auto const* edit = std::get_if<configuration_edit>(&entry.record))
    {
        return apply_edit(*edit, entry.offset);
    }
    state_ = advance_offset(std::move(state_), entry.offset);
    if (std::holds_alternative<malformed_record>(entry.record))
    {
        record_malformed(entry.offset);
        return {apply_outcome::malformed, entry.offset, std::nullopt};
    }
    return {apply_outcome::snapshot_redundant, entry.offset, std::nullopt};
}

auto configuration_log::apply_edit(
    configuration_edit const& edit, log_offset offset) -> apply_result
{
    state_ = decide_edit(std::move(state_), edit, offset);
    auto const& verdict = state_.verdicts.at(edit.id);
    if (verdict.offset != offset)
    {
        return {apply_outcome::duplicate, offset, verdict};
    }
    auto const kind = verdict.kind == verdict_kind::accepted
                          ? apply_outcome::accepted
                          : apply_outcome::rejected;
    return {kind, offset, verdict};
}

/// Buffers a record that cannot be applied yet. If another gap precedes it, the
/// records buffered before are of no use and are dropped.
auto configuration_log::buffer_record(configuration_entry const& entry) -> void
{
    if (!buffered_.empty() && entry.offset != next(buffered_.back().offset))
    {
        buffered_.clear();
    }
    buffered_.push_back(entry);
    gap_end_ = buffered_.front().offset;
}

/// Whether the record is a snapshot after which no record is missing.
auto configuration_log::closes_gap(configuration_entry const& entry) const
    -> bool
{
    auto const* snapshot = std::get_if<configuration_snapshot>(&entry.record);
    return snapshot != nullptr && snapshot->state.offset < entry.offset &&
           next(snapshot->state.offset) >= buffered_.front().offset;
}

auto configuration_log::install(
    configuration_snapshot const& from, time_point now) -> void
{
    require_invariant(
        from.state.offset > state_.offset,
        "a configuration only moves to a later offset");
    state_ = from.state;
    since_ = now;
    anchor_ = from.anchor;
    appended_.clear();
}

auto configuration_log::replay_buffered(time_point now) -> void
{
    auto const buffered = std::exchange(buffered_, {});
    gap_end_.reset();
    for (auto const& entry : buffered)
    {
        apply(entry, now);
    }
}

/// A snapshot replaces the records up to its state's offset, so the oldest
/// record still needed is the one after that offset.
auto configuration_log::update_anchor(configuration_entry const& entry) -> void
{
    if (anchor_ == wall_time{})
    {
        anchor_ = entry.appended;
    }
    auto const* snapshot = std::get_if<configuration_snapshot>(&entry.record);
    if (snapshot == nullptr)
    {
        return;
    }
    auto const needed = appended_.find(next(snapshot->state.offset));
    if (needed != appended_.end())
    {
        anchor_ = std::max(anchor_, needed->second);
    }
}

auto configuration_log::record_malformed(log_offset offset) -> void
{
    ++malformed_.count;
    malformed_.latest.push_back(offset);
    if (malformed_.latest.size() > malformed_latest_max)
    {
        malformed_.latest.erase(malformed_.latest.begin());
    }
}

auto configuration_log::note_first_retained(log_offset first) -> void
{
    auto const read_to =
        buffered_.empty() ? state_.offset : buffered_.back().offset;
    if (first > next(read_to))
    {
        buffered_.clear();
        gap_end_ = first;
    }
}

auto configuration_log::catch_up(
    configuration_snapshot const& from_peer, time_point now) -> bool
{
    if (from_peer.state.offset <= state_.offset)
    {
        return false;
    }
    install(from_peer, now);
    auto const joins =
        !buffered_.empty() && buffered_.front().offset <= next(state_.offset);
    if (joins)
    {
        replay_buffered(now);
    }
    else if (gap_end_ && *gap_end_ <= next(state_.offset))
    {
        gap_end_.reset();
    }
    return true;
}

auto configuration_log::read_from() const -> log_offset
{
    if (!buffered_.empty())
    {
        return next(buffered_.back().offset);
    }
    return gap_end_ ? *gap_end_ : next(state_.offset);
}

auto configuration_log::state() const -> configuration_state const&
{
    return state_;
}

auto configuration_log::config() const -> configuration const&
{
    return state_.config;
}

auto configuration_log::verdict(edit_id const& id) const
    -> std::optional<edit_verdict>
{
    auto const known = state_.verdicts.find(id);
    return known == state_.verdicts.end() ? std::nullopt
                                          : std::optional{known->second};
}

auto configuration_log::in_force() const -> sapphirereel::in_force
{
    return {state_.offset, since_};
}

auto configuration_log::needs_snapshot() const -> bool
{
    return gap_end_.has_value();
}

auto configuration_log::malformed() const -> malformed_records const&
{
    return malformed_;
}

auto configuration_log::snapshot() const -> configuration_snapshot
{
    return {state_, anchor_};
}

auto configuration_log::snapshot_due(
    wall_time now, duration retention, std::size_t rank) const -> bool
{
    if (state_.offset == log_offset{} || needs_snapshot())
    {
        return false;
    }
    auto const waited =
        std::chrono::milliseconds{now.milliseconds - anchor_.milliseconds};
    auto const republish_delay =
        retention / republish_divisor +
        retention / rank_divisor * static_cast<int>(std::min(rank, rank_last));
    return waited >= republish_delay;
}

} // namespace sapphirereel
