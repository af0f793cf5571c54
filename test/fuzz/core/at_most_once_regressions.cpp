#include "fuzz/core/at_most_once_simulation.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::test {

// Guards against returning the answer of a different body: a replicated answer
// for the same name but another body arrives while this daemon's own claim is
// in flight.
TEST(at_most_once, returns_no_cached_answer_of_another_body)
{
    using enum step_kind;
    at_most_once_simulation<all_mechanisms> simulation;
    auto const steps = std::vector<test_step>{
        {show_live, 8, 0},      {read_log, 0, 0},    {call, 0, 0},
        {trim_log, 0, 0},       {call, 0, 221},      {end_append, 1, 0},
        {read_log, 2, 0},       {call, 0, 1},        {run_call, 0, 0},
        {wait, 6, 0},           {wait, 7, 0},        {end_append, 1, 0},
        {wait, 5, 0},           {answer_call, 0, 1}, {wait, 2, 0},
        {deliver_message, 0, 0}};
    EXPECT_EQ(simulation.run(steps), std::vector<std::string>{});
}

} // namespace sapphirereel::test
