/// \file
/// Defines when an open connection counts as silent and when it is probed.
#ifndef SAPPHIREREEL_PEER_SILENCE_DETECTOR_HPP
#define SAPPHIREREEL_PEER_SILENCE_DETECTOR_HPP

#include "sapphirereel/core/clock.hpp"

#include <algorithm>

namespace sapphirereel::peer::internal {

/// Judges a connection by what came back on it. A peer answers every message
/// and PING at once, so silence while an answer is due tells that the
/// connection is lost, even if the network never says so.
class silence_detector
{
public:
    silence_detector(
        duration ping_interval, duration silence_timeout, time_point now)
        : ping_interval_(ping_interval)
        , silence_timeout_(silence_timeout)
        , received_(now)
        , expecting_since_(now)
    {}

    /// Notes that bytes arrived.
    auto received(time_point now) -> void
    {
        received_ = now;
    }

    /// Notes whether any answer is due.
    auto expect(bool answer_due, time_point now) -> void
    {
        if (answer_due && !expecting_)
        {
            expecting_since_ = now;
        }
        expecting_ = answer_due;
    }

    [[nodiscard]] auto is_silent(time_point now) const -> bool
    {
        return expecting_ && now >= next_check();
    }

    [[nodiscard]] auto ping_due(time_point now) const -> bool
    {
        return !expecting_ && now >= next_check();
    }

    /// The moment from which one of the above can hold.
    [[nodiscard]] auto next_check() const -> time_point
    {
        if (expecting_)
        {
            return std::max(received_, expecting_since_) + silence_timeout_;
        }
        return received_ + ping_interval_;
    }

private:
    duration ping_interval_;
    duration silence_timeout_;
    time_point received_;
    time_point expecting_since_;
    bool expecting_ = false;
};

} // namespace sapphirereel::peer::internal

#endif
