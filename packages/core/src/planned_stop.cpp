#include "sapphirereel/core/planned_stop.hpp"

namespace sapphirereel {

planned_stop::planned_stop(planned_stop_settings settings)
    : settings_(settings)
{}

auto planned_stop::create(planned_stop_settings settings)
    -> result<planned_stop>
{
    if (settings.address_validity < duration::zero() ||
        settings.notice_lag < duration::zero())
    {
        return tl::unexpected(findings{finding{
            place{"planned_stop", 0, "address_validity, notice_lag"},
            "a duration is negative", "give durations of zero or more"}});
    }
    return planned_stop{settings};
}

auto planned_stop::begin(time_point now) -> void
{
    if (begun_)
    {
        return;
    }
    begun_ = now;
    phase_ = stop_phase::expiring;
}

auto planned_stop::step(std::size_t open_requests, time_point now) -> stop_phase
{
    if (phase_ == stop_phase::expiring)
    {
        auto const advertised_until =
            *begun_ + settings_.notice_lag + settings_.address_validity;
        if (now >= advertised_until)
        {
            phase_ = stop_phase::finishing;
            finishing_since_ = now;
        }
    }
    if (phase_ == stop_phase::finishing &&
        now >= finishing_since_ + settings_.finish_time)
    {
        phase_ = stop_phase::handing_over;
    }
    auto const may_end =
        phase_ == stop_phase::finishing || phase_ == stop_phase::handing_over;
    if (may_end && open_requests == 0)
    {
        phase_ = stop_phase::stopped;
    }
    return phase_;
}

auto planned_stop::phase() const -> stop_phase
{
    return phase_;
}

auto planned_stop::begun() const -> bool
{
    return begun_.has_value();
}

} // namespace sapphirereel
