#include "correctness/core/placement_examples.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace sapphirereel {
namespace {

/// The reservations that the homes hold, and how often the search ended.
struct outcome
{
    std::set<endpoint_id> reserved;
    int ended = 0;
    endpoint_id placed;
};

auto reply_to(send_reserve const& sent) -> reserve_reply_message
{
    auto const accepted = *rc::gen::arbitrary<bool>();
    return {
        .replica = sent.message.replica,
        .run = sent.message.offer.run,
        .accepted = accepted,
        .headroom = 0.5F};
}

auto record(outcome& seen, placement_action const& action) -> void
{
    if (auto const* release = std::get_if<send_release>(&action))
    {
        seen.reserved.erase(release->message.replica);
    }
    if (auto const* placed = std::get_if<stream_placed>(&action))
    {
        ++seen.ended;
        seen.placed = placed->replica;
    }
    seen.ended += std::holds_alternative<stream_not_placed>(action) ? 1 : 0;
}

RC_GTEST_PROP(placement, ends_once_and_leaks_no_reservation, ())
{
    auto candidates = placement_candidates{};
    auto const count = *rc::gen::inRange(0, 8);
    for (auto i = 0; i < count; ++i)
    {
        auto const known = *rc::gen::arbitrary<bool>();
        auto const name = std::to_string(i);
        candidates.push_back(example_candidate(name, known ? name : ""));
    }
    auto search = placement::create({}, 7).value();
    auto seen = outcome{};
    auto now = time_point{};
    auto todo = search.begin(example_offer("r"), candidates, now);
    while (!todo.empty())
    {
        auto next = placement_actions{};
        auto const append = [&next](placement_actions const& more) {
            next.insert(next.end(), more.begin(), more.end());
        };
        for (auto const& action : todo)
        {
            record(seen, action);
            auto const* sent = std::get_if<send_reserve>(&action);
            if (sent == nullptr)
            {
                continue;
            }
            auto const reply = reply_to(*sent);
            if (reply.accepted)
            {
                seen.reserved.insert(reply.replica);
            }
            if (*rc::gen::arbitrary<bool>())
            {
                append(search.replied(sent->home, reply, now));
            }
        }
        if (auto const timeout = search.next_timeout())
        {
            now = *timeout;
            append(search.tick(now));
        }
        todo = std::move(next);
    }
    RC_ASSERT(seen.ended == 1);
    RC_ASSERT(!search.next_timeout());
    seen.reserved.erase(seen.placed);
    RC_ASSERT(seen.reserved.empty());
}

} // namespace
} // namespace sapphirereel
