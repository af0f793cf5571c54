#include "sapphirereel/core/claim_table.hpp"

#include <algorithm>
#include <chrono>

namespace sapphirereel {

namespace {

auto in_milliseconds(duration time) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

claim_table::claim_table(duration retention, duration clock_skew)
    : retention_ms_(in_milliseconds(retention))
    , skew_ms_(in_milliseconds(clock_skew))
{}

auto claim_table::apply(claim_page const& page) -> std::vector<digest>
{
    std::vector<digest> changed;
    if (page.next < next_)
    {
        return changed;
    }
    if (page.first > next_)
    {
        record_gap(page);
        next_ = page.first;
    }
    has_read_ = true;
    for (auto const& record : page.records)
    {
        if (record.offset < next_)
        {
            continue;
        }
        if (record.offset > next_)
        {
            break;
        }
        next_.value = record.offset.value + 1;
        if (undated_gap_)
        {
            undated_gap_ = false;
            incomplete_before_ = record.appended;
        }
        for (auto const& entry : record.batch.entries)
        {
            if (apply_entry(record, entry))
            {
                changed.push_back(entry.name);
            }
        }
        drop_before(wall_time{record.appended.milliseconds - retention_ms_});
    }
    return changed;
}

// Records missed on the first read have aged out, so the retention bounds their
// time even when the log is quiet. A first read cannot detect a log that
// retains less than configured and must trust the retention. A reader that fell
// behind detects the gap and does not trust it, so only the first remaining
// record bounds the time of the gap.
auto claim_table::record_gap(claim_page const& page) -> void
{
    if (has_read_)
    {
        undated_gap_ = true;
        return;
    }
    auto const aged_out =
        wall_time{page.read_at.milliseconds + skew_ms_ - retention_ms_};
    auto const oldest_left =
        page.records.empty() ? aged_out : page.records.front().appended;
    incomplete_before_ = std::min(aged_out, oldest_left);
}

auto claim_table::apply_entry(
    claim_log_record const& record, claim_entry const& entry) -> bool
{
    auto const found = states_.find(entry.name);
    if (found == states_.end())
    {
        add(record, entry);
        return true;
    }
    auto& state = found->second;
    auto const by_holder = state.holder == record.batch.writer;
    if (!by_holder || state.refused || state.done)
    {
        return false;
    }
    if (entry.kind == claim_kind::refuse)
    {
        state.refused = true;
        state.cause = entry.cause;
        return true;
    }
    if (entry.kind == claim_kind::done)
    {
        state.done = true;
        return true;
    }
    return false;
}

// A done entry without a run entry means that the run entry was missed. That
// entry was the first for the name, because only its writer appends done.
auto claim_table::add(claim_log_record const& record, claim_entry const& entry)
    -> void
{
    claim_state state;
    state.holder = record.batch.writer;
    state.body = entry.body;
    state.offset = record.offset;
    state.appended = record.appended;
    state.refused = entry.kind == claim_kind::refuse;
    state.cause = entry.cause;
    state.done = entry.kind == claim_kind::done;
    states_.emplace(entry.name, std::move(state));
    by_age_.push_back({record.appended, entry.name});
}

auto claim_table::drop_before(wall_time cutoff) -> void
{
    while (!by_age_.empty() && by_age_.front().appended < cutoff)
    {
        states_.erase(by_age_.front().name);
        by_age_.pop_front();
        incomplete_before_ =
            std::max(incomplete_before_.value_or(cutoff), cutoff);
    }
}

auto claim_table::find(digest const& name) const -> std::optional<claim_state>
{
    auto const found = states_.find(name);
    if (found == states_.end())
    {
        return std::nullopt;
    }
    return found->second;
}

auto claim_table::complete_since(wall_time since) const -> bool
{
    if (!has_read_ || undated_gap_)
    {
        return false;
    }
    return !incomplete_before_ || since > *incomplete_before_;
}

auto claim_table::next_offset() const -> log_offset
{
    return next_;
}

auto claim_table::size() const -> std::size_t
{
    return states_.size();
}

} // namespace sapphirereel
