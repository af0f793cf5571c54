#include "sapphirereel/relay/lost_run_end.hpp"

#include <algorithm>

namespace sapphirereel::relay {

auto name_of(lost_run_end what) -> std::string_view
{
    switch (what)
    {
    case lost_run_end::gone:
        return "gone";
    case lost_run_end::stopped:
        return "stopped";
    case lost_run_end::unknown:
        break;
    }
    return "unknown";
}

auto lost_run_inquiry::time_left(time_point now) const -> duration
{
    return std::max(duration{0}, began_ + max_time_to_stop_lost_run - now);
}

auto lost_run_inquiry::record(migration_result const& result, time_point now)
    -> std::optional<lost_run_end>
{
    was_asked_ = true;
    if (!result.response.handle.empty())
    {
        return lost_run_end::stopped;
    }
    if (result.response.outcome == migration_outcome::unknown_run)
    {
        return lost_run_end::gone;
    }
    if (is_out_of_reach(result.failure ? &*result.failure : nullptr))
    {
        return lost_run_end::gone;
    }
    return outcome_if_late(now);
}

auto lost_run_inquiry::record(
    run_report_result const& result, time_point asked_at, time_point now)
    -> std::optional<lost_run_end>
{
    if (is_out_of_reach(result ? nullptr : &result.error()))
    {
        return lost_run_end::gone;
    }
    if (result && *result && shows_end(**result, asked_at))
    {
        return lost_run_end::gone;
    }
    return outcome_if_late(now);
}

auto lost_run_inquiry::is_out_of_reach(call_failure const* failure) -> bool
{
    auto const is_unconnected =
        failure != nullptr && failure->stage == call_stage::connecting;
    if (!is_unconnected)
    {
        was_reached_ = true;
        failed_connects_ = 0;
        return false;
    }
    ++failed_connects_;
    return failure->is_refused ||
           failed_connects_ >= connects_until_out_of_reach;
}

auto lost_run_inquiry::shows_end(
    run_report const& report, time_point asked_at) const -> bool
{
    return !report.running.contains(run_.request_id) && report.waiting == 0 &&
           asked_at - run_.sent_at >= max_run_report_age;
}

auto lost_run_inquiry::outcome_if_late(time_point now) const
    -> std::optional<lost_run_end>
{
    return time_left(now) <= delay_ ? std::optional{outcome_without_answer()}
                                    : std::nullopt;
}

auto lost_run_inquiry::outcome_without_answer() const -> lost_run_end
{
    return was_asked_ && !was_reached_ ? lost_run_end::gone
                                       : lost_run_end::unknown;
}

} // namespace sapphirereel::relay
