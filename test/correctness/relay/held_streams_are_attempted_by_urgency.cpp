#include "sapphirereel/relay/held_streams.hpp"

#include <gtest/gtest.h>
#include <string>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto const model = service_name{"model"};
auto const other_model = service_name{"other"};
constexpr auto start = time_point{seconds{100}};

auto stream(int priority, milliseconds latest_start, double tokens = 1'000)
    -> held_stream
{
    return {model, priority, start + latest_start, tokens};
}

auto waiting(int priority) -> waiting_entry
{
    return {model, priority, 3, 9'000};
}

// Guards against room that goes to the stream whose timer fires first.
TEST(held_streams, are_attempted_by_priority_then_latest_start)
{
    auto held = held_streams{};
    auto order = std::string{};
    auto const add = [&](char name, held_stream const& which) {
        held.hold(which, [&order, name] { order += name; });
    };
    add('d', stream(2, milliseconds{100}));
    add('b', stream(0, milliseconds{900}));
    add('c', stream(1, milliseconds{0}));
    add('a', stream(0, milliseconds{200}));
    add('x', {other_model, 0, start, 1'000});
    add('e', stream(2, milliseconds{100}));
    held.attempt_in_order(model);
    EXPECT_EQ(order, "abcde");
}

// Guards against the use of a stream that ended during another's attempt.
TEST(held_streams, released_ones_are_not_attempted)
{
    auto held = held_streams{};
    auto attempts = 0;
    auto second = held_streams::hold_id{0};
    auto first = held_streams::hold_id{0};
    first = held.hold(stream(0, milliseconds{1}), [&] {
        held.release(first);
        held.release(second);
        ++attempts;
    });
    second = held.hold(stream(1, milliseconds{1}), [&] { ++attempts; });
    held.attempt_in_order(model);
    held.attempt_in_order(model);
    EXPECT_EQ(attempts, 1);
}

TEST(held_streams, less_urgent_ones_yield_to_this_daemons)
{
    auto held = held_streams{};
    auto const id = held.hold(stream(1, milliseconds{500}), [] {});
    EXPECT_TRUE(held.is_any_more_urgent(model, 2, start));
    EXPECT_FALSE(held.is_any_more_urgent(model, 1, start));
    EXPECT_FALSE(held.is_any_more_urgent(other_model, 2, start));
    EXPECT_TRUE(held.is_any_before(stream(1, milliseconds{600})));
    EXPECT_FALSE(held.is_any_before(stream(1, milliseconds{400})));
    held.release(id);
    EXPECT_FALSE(held.is_any_more_urgent(model, 2, start));
}

// Guards against a peer that is gone, to which streams would yield for ever.
TEST(held_streams, less_urgent_ones_yield_to_peers_for_a_bounded_time)
{
    auto held = held_streams{};
    auto const peer = daemon_id{"10.0.0.2"};
    held.set_peer_entries(peer, {waiting(0)}, start);
    EXPECT_TRUE(held.is_any_more_urgent(model, 2, start + max_waiting_age));
    EXPECT_FALSE(held.is_any_more_urgent(model, 0, start));
    EXPECT_FALSE(held.is_any_more_urgent(
        model, 2, start + max_waiting_age + milliseconds{1}));
    held.set_peer_entries(peer, {}, start);
    EXPECT_FALSE(held.is_any_more_urgent(model, 2, start));
    EXPECT_TRUE(may_yield(milliseconds{1'999}, seconds{4}));
    EXPECT_FALSE(may_yield(milliseconds{2'000}, seconds{4}));
}

TEST(held_streams, invalid_entries_of_peers_are_ignored)
{
    auto held = held_streams{};
    auto many = std::vector<waiting_entry>(max_waiting_entries, waiting(5));
    many.push_back(waiting(0));
    held.set_peer_entries(daemon_id{"a"}, many, start);
    held.set_peer_entries(daemon_id{"b"}, {{model, 0, 0, 9'000}}, start);
    EXPECT_FALSE(held.is_any_more_urgent(model, 2, start));
    EXPECT_TRUE(held.is_any_of_other_priority(model, 2, start));
    EXPECT_FALSE(held.is_any_of_other_priority(model, 5, start));
}

TEST(held_streams, more_urgent_ones_have_less_before_them)
{
    auto held = held_streams{};
    held.hold(stream(0, milliseconds{500}), [] {});
    held.hold(stream(2, milliseconds{500}), [] {});
    held.set_peer_entries(daemon_id{"a"}, {waiting(0), waiting(2)}, start);
    EXPECT_EQ(held.tokens_until(stream(0, milliseconds{600}), start), 2'000);
    // The peer's urgent streams take room at two daemons' rate.
    EXPECT_EQ(held.tokens_until(stream(1, milliseconds{600}), start), 6'500);
    EXPECT_EQ(held.tokens_until(stream(2, milliseconds{600}), start), 7'500);
}

// The latest start of a stream moves with the estimate of its prefill.
TEST(held_streams, do_not_count_themselves_twice)
{
    auto held = held_streams{};
    auto const own = held.hold(stream(0, milliseconds{100}), [] {});
    auto const later = stream(0, milliseconds{200});
    EXPECT_EQ(held.tokens_until(later, start, own), 1'000);
    EXPECT_EQ(held.tokens_until(later, start), 2'000);
}

TEST(held_streams, the_most_urgent_are_reported)
{
    auto held = held_streams{};
    for (auto priority = 10; priority >= 0; --priority)
    {
        held.hold(stream(priority, milliseconds{1}), [] {});
    }
    held.hold(stream(0, milliseconds{2}, 500), [] {});
    auto const entries =
        held.entries_to_report([](auto const&) { return true; });
    ASSERT_EQ(entries.size(), max_waiting_entries);
    EXPECT_EQ(entries.front(), (waiting_entry{model, 0, 2, 1'500}));
    EXPECT_EQ(entries.back().priority, 7);
    EXPECT_TRUE(
        held.entries_to_report([](auto const&) { return false; }).empty());
}

} // namespace
} // namespace sapphirereel::relay
