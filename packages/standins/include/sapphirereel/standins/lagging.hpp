/// \file
/// Defines a value that observers see late.
#ifndef SAPPHIREREEL_STANDINS_LAGGING_HPP
#define SAPPHIREREEL_STANDINS_LAGGING_HPP

#include "sapphirereel/core/clock.hpp"

#include <deque>
#include <utility>

namespace sapphirereel::standins {

/// Remembers a value's past and shows it as it was `lag` ago.
template <class T>
class lagging
{
public:
    /// A value as it was at a moment.
    struct observation
    {
        time_point made;
        T value;
    };

    lagging(duration lag, time_point now, T value)
        : lag_(lag)
    {
        past_.push_back({now, std::move(value)});
    }

    auto set_lag(duration lag) -> void
    {
        lag_ = lag;
    }

    auto set(time_point now, T value) -> void
    {
        past_.push_back({now, std::move(value)});
        forget(now);
    }

    /// The last value that is at least the lag old, else the oldest known.
    auto observe(time_point now) -> observation const&
    {
        forget(now);
        return past_.front();
    }

private:
    auto forget(time_point now) -> void
    {
        while (past_.size() > 1 && past_[1].made + lag_ <= now)
        {
            past_.pop_front();
        }
    }

    duration lag_;
    std::deque<observation> past_;
};

} // namespace sapphirereel::standins

#endif
