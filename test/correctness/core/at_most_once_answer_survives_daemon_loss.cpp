#include "sapphirereel/core/at_most_once.hpp"
#include "sapphirereel/core/internal/at_most_once_answer_steps.hpp"
#include "sapphirereel/core/internal/at_most_once_caller_steps.hpp"
#include "sapphirereel/core/internal/at_most_once_claim_steps.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {

namespace {

struct without_answer_copy : all_mechanisms
{
    static constexpr bool answer_copy = false;
};

template <class Output>
auto first_of(claim_outputs const& outputs) -> std::optional<Output>
{
    for (auto const& output : outputs)
    {
        if (auto const* found = std::get_if<Output>(&output))
        {
            return *found;
        }
    }
    return std::nullopt;
}

auto arrival(std::uint64_t attachment) -> call_arrival
{
    call_arrival made;
    made.attachment = call_attachment{attachment};
    made.name = digest{"name"};
    made.body = digest{"body"};
    return made;
}

/// Runs a call at d1 until its reply, then stops d1 and repeats the call at d2.
/// Returns d2's immediate outputs.
template <class Mechanisms>
auto repeat_call_after_loss() -> claim_outputs
{
    using machine = basic_at_most_once<Mechanisms>;
    auto const d1 = daemon_id{"d1"};
    auto const d2 = daemon_id{"d2"};
    auto const now = time_point{};
    auto holder = machine::create(d1, {}).value();
    auto other = machine::create(d2, {}).value();
    auto const empty = claim_page{{1}, {1}, {}, {}};
    holder.on(empty, now);
    holder.on(live_daemons{{d1, d2}}, now);

    auto const append = first_of<append_claims>(holder.on(arrival(1), now));
    auto const page = claim_page{{1}, {2}, {{{1}, {}, append->batch}}, {}};
    auto const dispatch = first_of<dispatch_call>(holder.on(page, now));
    EXPECT_TRUE(holder.may_dispatch(dispatch->name, now));
    auto const ended = holder.on(
        call_result{
            dispatch->name, call_progress::answered, {201, {}, "done"}, {}},
        now);
    if (auto const copy = first_of<send_claim_message>(ended))
    {
        EXPECT_FALSE(first_of<reply_call>(ended));
        auto const kept = first_of<send_claim_message>(
            other.on(claim_message_arrival{d1, copy->message}, now));
        EXPECT_TRUE(first_of<reply_call>(
            holder.on(claim_message_arrival{d2, kept->message}, now)));
    }
    other.on(page, now);
    other.on(live_daemons{{d2}}, now);
    return other.on(arrival(2), now);
}

} // namespace

TEST(at_most_once, returns_the_cached_answer_after_its_holder_is_lost)
{
    auto const reply =
        first_of<reply_call>(repeat_call_after_loss<all_mechanisms>());
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->answer.body, "done");
}

TEST(at_most_once, reports_an_unknown_outcome_without_the_answer_copy)
{
    auto const refused =
        first_of<refuse_call>(repeat_call_after_loss<without_answer_copy>());
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->reason.outcome, disposition::outcome_unknown);
}

} // namespace sapphirereel
