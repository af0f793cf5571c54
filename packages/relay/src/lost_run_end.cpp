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
    auto const& failure = result.failure;
    auto const is_unconnected =
        failure && failure->stage == call_stage::connecting;
    if (is_unconnected && failure->is_refused)
    {
        return lost_run_end::gone;
    }
    failed_connects_ = is_unconnected ? failed_connects_ + 1 : 0;
    if (failed_connects_ >= connects_until_out_of_reach)
    {
        return lost_run_end::gone;
    }
    has_responded_ = has_responded_ || !failure || failure->connection_ended ||
                     failure->shows_path;
    return time_left(now) <= delay_ ? std::optional{outcome_without_answer()}
                                    : std::nullopt;
}

auto lost_run_inquiry::outcome_without_answer() const -> lost_run_end
{
    return was_asked_ && !has_responded_ ? lost_run_end::gone
                                         : lost_run_end::unknown;
}

} // namespace sapphirereel::relay
