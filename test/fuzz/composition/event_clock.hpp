/// \file
/// Defines the event loop of a test with several cores: it runs scheduled
/// functions in order of time.
#ifndef SAPPHIREREEL_TEST_EVENT_CLOCK_HPP
#define SAPPHIREREEL_TEST_EVENT_CLOCK_HPP

#include "sapphirereel/core/clock.hpp"

#include <functional>
#include <map>
#include <utility>

namespace sapphirereel::test {

class event_clock
{
public:
    [[nodiscard]] auto now() const -> time_point
    {
        return now_;
    }

    auto after(duration wait, std::function<void()> what) -> void
    {
        due_.emplace(now_ + wait, std::move(what));
    }

    auto run_until(time_point end) -> void
    {
        while (!due_.empty() && due_.begin()->first <= end)
        {
            auto const next = due_.extract(due_.begin());
            now_ = next.key();
            next.mapped()();
        }
        now_ = end;
    }

private:
    time_point now_{};
    std::multimap<time_point, std::function<void()>> due_;
};

} // namespace sapphirereel::test

#endif
