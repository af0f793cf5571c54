#include "sapphirereel/core/at_most_once.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {

namespace {

auto only_refusal(claim_outputs const& outputs) -> std::optional<refusal>
{
    std::optional<refusal> found;
    for (auto const& output : outputs)
    {
        if (auto const* refused = std::get_if<refuse_call>(&output))
        {
            found = refused->reason;
        }
        EXPECT_FALSE(std::holds_alternative<dispatch_call>(output));
        EXPECT_FALSE(std::holds_alternative<append_claims>(output));
    }
    return found;
}

auto arrival(bool caller_named) -> call_arrival
{
    call_arrival made;
    made.name = digest{"name"};
    made.body = digest{"body"};
    made.caller_named = caller_named;
    return made;
}

} // namespace

TEST(at_most_once, reports_not_run_without_the_log_only_for_generated_names)
{
    auto calls = at_most_once::create(daemon_id{"d1"}, {}).value();
    auto const own = only_refusal(calls.on(arrival(false), {}));
    ASSERT_TRUE(own);
    EXPECT_EQ(own->outcome, disposition::not_run);
    EXPECT_GT(own->retry_after, duration::zero());

    auto const callers = only_refusal(calls.on(arrival(true), {}));
    ASSERT_TRUE(callers);
    EXPECT_EQ(callers->outcome, disposition::outcome_unknown);
    EXPECT_EQ(callers->cause, refusal_cause::log_unavailable);
    EXPECT_EQ(calls.counts().outcome_unknown, 1U);
}

} // namespace sapphirereel
