/// \file
/// Defines the steps of at_most_once_simulation and the random generation of
/// step lists.
#ifndef SAPPHIREREEL_TEST_FUZZ_CORE_AT_MOST_ONCE_STEPS_HPP
#define SAPPHIREREEL_TEST_FUZZ_CORE_AT_MOST_ONCE_STEPS_HPP

#include "sapphirereel/core/at_most_once_settings.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace sapphirereel::test {

/// Kind of a step; `a` and `b` select its target and variant.
enum class step_kind
{
    call,
    declined_call,
    wait,
    tick,
    end_append,
    read_log,
    hold_page,
    deliver_page,
    deliver_message,
    drop_message,
    run_call,
    answer_call,
    replace_daemon,
    show_live,
    trim_log,
    fault_free_round
};

struct test_step
{
    step_kind kind = step_kind::call;
    std::uint8_t a = 0;
    std::uint8_t b = 0;
    auto operator<=>(test_step const&) const = default;
};

inline auto simulation_settings() -> at_most_once_settings
{
    using std::chrono::seconds;
    at_most_once_settings settings;
    settings.retention = seconds{40};
    settings.name_lifetime = seconds{20};
    settings.clock_skew = seconds{1};
    settings.dispatch_window = seconds{5};
    settings.call_wait = seconds{15};
    return settings;
}

inline auto wait_time(std::uint8_t choice) -> duration
{
    using std::chrono::milliseconds;
    constexpr std::array<int, 8> waits{5,    50,   300,  1000,
                                       1000, 3500, 6000, 30000};
    return milliseconds{waits.at(choice % waits.size())};
}

struct weighted_kind
{
    step_kind kind;
    int weight;
};

inline constexpr std::array step_weights{
    weighted_kind{step_kind::call, 18},
    weighted_kind{step_kind::declined_call, 3},
    weighted_kind{step_kind::wait, 14},
    weighted_kind{step_kind::tick, 14},
    weighted_kind{step_kind::end_append, 20},
    weighted_kind{step_kind::read_log, 22},
    weighted_kind{step_kind::hold_page, 4},
    weighted_kind{step_kind::deliver_page, 4},
    weighted_kind{step_kind::deliver_message, 12},
    weighted_kind{step_kind::drop_message, 2},
    weighted_kind{step_kind::run_call, 12},
    weighted_kind{step_kind::answer_call, 10},
    weighted_kind{step_kind::replace_daemon, 2},
    weighted_kind{step_kind::show_live, 4},
    weighted_kind{step_kind::trim_log, 1},
    weighted_kind{step_kind::fault_free_round, 4}};

inline auto random_steps(std::uint64_t seed, std::size_t count)
    -> std::vector<test_step>
{
    std::mt19937_64 random{seed};
    int total = 0;
    for (auto const& entry : step_weights)
    {
        total += entry.weight;
    }
    std::vector<test_step> steps;
    for (std::size_t i = 0; i < count; ++i)
    {
        auto draw =
            static_cast<int>(random() % static_cast<std::uint64_t>(total));
        auto kind = step_kind::call;
        for (auto const& entry : step_weights)
        {
            kind = entry.kind;
            draw -= entry.weight;
            if (draw < 0)
            {
                break;
            }
        }
        steps.push_back(
            {kind, static_cast<std::uint8_t>(random()),
             static_cast<std::uint8_t>(random())});
    }
    return steps;
}

} // namespace sapphirereel::test

#endif
