#include "sapphirereel/core/poison_part.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

auto const shared = digest{"shared"};
auto const poison = digest{"poison"};
auto const other = digest{"other"};

auto at(milliseconds since_start) -> time_point
{
    return time_point{} + minutes{10} + since_start;
}

auto detector() -> poison_part_detector
{
    return poison_part_detector::create({}).value();
}

/// Records a crash of its own at a time, with these parts in flight.
auto crash(
    poison_part_detector& at_daemon,
    std::vector<digest> const& parts,
    milliseconds when) -> bool
{
    return at_daemon.record_crash(
        {digest{"crash " + std::to_string(when.count())}, parts}, at(when));
}

/// Records output of another request, which shows that endpoints are alive, and
/// rules on what is due.
auto rule(poison_part_detector& known, milliseconds when) -> std::vector<digest>
{
    known.record_output({digest{"another"}}, at(when));
    return known.update(at(when));
}

TEST(poison_part_detector, finds_the_part_common_to_crashes_of_unlike_requests)
{
    auto known = detector();
    known.record_output({shared}, at(milliseconds{0}));
    for (auto number = 1; number <= 3; ++number)
    {
        auto const own = digest{"own " + std::to_string(number)};
        crash(known, {shared, poison, own}, milliseconds{number * 1'000});
        known.record_output({shared}, at(milliseconds{number * 1'000 + 50}));
    }
    EXPECT_TRUE(rule(known, milliseconds{3'499}).empty());
    EXPECT_EQ(rule(known, milliseconds{3'500}), (std::vector<digest>{poison}));
    EXPECT_EQ(known.find_poison({shared, poison}), poison);
    EXPECT_FALSE(known.find_poison({shared, digest{"own 1"}}));
}

// A lost rack takes many replicas at once: all their requests share the part
// that begins every prompt, and it must not be refused.
TEST(poison_part_detector, counts_crashes_at_one_moment_as_one_incident)
{
    auto known = detector();
    for (auto number = 0; number < 20; ++number)
    {
        crash(known, {shared}, milliseconds{number * 4});
    }
    EXPECT_TRUE(rule(known, seconds{5}).empty());
}

TEST(poison_part_detector, needs_more_crashes_of_a_part_that_has_had_output)
{
    auto known = detector();
    known.record_output({shared}, at(milliseconds{0}));
    for (auto number = 1; number <= 4; ++number)
    {
        crash(known, {shared}, milliseconds{number * 400});
    }
    EXPECT_TRUE(rule(known, seconds{5}).empty());
    crash(known, {shared}, milliseconds{5'200});
    EXPECT_EQ(rule(known, seconds{6}), (std::vector<digest>{shared}));
}

// Output that is on its way while the last crash is reported must count.
TEST(poison_part_detector, clears_a_part_that_has_output_before_the_ruling)
{
    auto known = detector();
    for (auto number = 1; number <= 3; ++number)
    {
        crash(known, {shared}, milliseconds{number * 400});
    }
    auto const cleared = known.record_output({shared}, at(milliseconds{1'300}));
    ASSERT_EQ(cleared.size(), 1U);
    EXPECT_EQ(cleared.front().deaths.size(), 3U);
    EXPECT_TRUE(rule(known, seconds{5}).empty());
}

TEST(poison_part_detector, applies_a_clearance_to_a_crash_reported_later)
{
    auto here = detector();
    auto there = detector();
    for (auto number = 1; number <= 3; ++number)
    {
        crash(there, {other}, milliseconds{number * 400});
    }
    for (auto const& message :
         there.record_output({other}, at(milliseconds{1'300})))
    {
        EXPECT_TRUE(here.apply(message, at(milliseconds{1'310})));
        EXPECT_FALSE(here.apply(message, at(milliseconds{1'320})));
    }
    for (auto number = 1; number <= 3; ++number)
    {
        EXPECT_FALSE(crash(here, {other}, milliseconds{number * 400}));
    }
    EXPECT_TRUE(rule(here, seconds{5}).empty());
}

TEST(poison_part_detector, finds_two_parts_at_the_same_time)
{
    auto known = detector();
    for (auto number = 1; number <= 3; ++number)
    {
        crash(known, {shared, poison}, milliseconds{number * 1'000});
        crash(known, {shared, other}, milliseconds{number * 1'000 + 350});
        known.record_output({shared}, at(milliseconds{number * 1'000 + 400}));
    }
    EXPECT_EQ(rule(known, seconds{5}), (std::vector<digest>{other, poison}));
}

// Parts beside a known one in the same requests must stay free of suspicion.
TEST(poison_part_detector, holds_crashes_of_a_known_part_against_no_other)
{
    auto known = detector();
    for (auto number = 1; number <= 3; ++number)
    {
        crash(known, {poison}, milliseconds{number * 1'000});
    }
    ASSERT_EQ(rule(known, seconds{4}).size(), 1U);
    for (auto number = 5; number <= 9; ++number)
    {
        EXPECT_FALSE(
            crash(known, {poison, other}, milliseconds{number * 1'000}));
    }
    EXPECT_TRUE(rule(known, seconds{20}).empty());
    EXPECT_FALSE(known.find_poison({other}));
}

TEST(poison_part_detector, tells_a_daemon_that_has_just_started)
{
    auto known = detector();
    for (auto number = 1; number <= 3; ++number)
    {
        crash(known, {poison}, milliseconds{number * 1'000});
    }
    rule(known, seconds{4});
    auto newcomer = detector();
    for (auto const& ruling : known.rulings())
    {
        EXPECT_TRUE(newcomer.apply(ruling, at(seconds{5})));
        EXPECT_FALSE(newcomer.apply(ruling, at(seconds{5})));
    }
    EXPECT_EQ(newcomer.find_poison({poison}), poison);
}

/// A daemon that refuses `poison` from 4 s on.
auto refusing_detector() -> poison_part_detector
{
    auto known = detector();
    for (auto number = 1; number <= 3; ++number)
    {
        crash(known, {poison}, milliseconds{number * 1'000});
    }
    rule(known, seconds{4});
    return known;
}

// A part that no longer crashes endpoints must be served again some day.
TEST(poison_part_detector, releases_a_part_whose_trial_has_output)
{
    auto known = refusing_detector();
    EXPECT_FALSE(known.take_trial(poison, 1, at(seconds{30})));
    EXPECT_TRUE(known.take_trial(poison, 1, at(minutes{3})));
    EXPECT_FALSE(known.take_trial(poison, 1, at(minutes{3} + seconds{1})));
    EXPECT_EQ(known.find_poison({poison}), poison);
    known.record_output({poison}, at(minutes{3} + seconds{2}));
    EXPECT_FALSE(known.find_poison({poison}));
    // The ruling that releases it is newer than the one that refuses it.
    auto peer = refusing_detector();
    EXPECT_TRUE(peer.apply(known.rulings().at(0), at(minutes{4})));
    EXPECT_FALSE(peer.find_poison({poison}));
}

TEST(poison_part_detector, waits_longer_after_a_trial_that_failed)
{
    auto known = refusing_detector();
    ASSERT_TRUE(known.take_trial(poison, 1, at(minutes{3})));
    EXPECT_TRUE(crash(known, {poison}, minutes{3} + seconds{1}));
    EXPECT_FALSE(known.take_trial(poison, 1, at(minutes{4} + seconds{59})));
    EXPECT_TRUE(known.take_trial(poison, 1, at(minutes{8})));
}

// The more daemons there are, the longer each waits for its turn, so that the
// fleet lets through one request at a time.
TEST(poison_part_detector, spreads_the_trials_of_a_large_fleet)
{
    constexpr auto daemons = std::size_t{295};
    auto trials = 0;
    for (auto seed = std::uint64_t{0}; seed < daemons; ++seed)
    {
        auto settings = poison_part_settings{};
        settings.seed = seed;
        auto known = poison_part_detector::create(settings).value();
        known.apply(part_ruling{poison, 1}, at(seconds{0}));
        trials += known.take_trial(poison, daemons, at(minutes{3})) ? 1 : 0;
    }
    EXPECT_LE(trials, 6);
}

// A mass loss whose reports go round among daemons must not add up: each crash
// counts once, however often and however long after it is reported.
TEST(poison_part_detector, counts_a_crash_once_however_often_it_is_reported)
{
    auto known = detector();
    for (auto round = 0; round < 12; ++round)
    {
        for (auto number = 0; number < 40; ++number)
        {
            auto const is_new = known.record_crash(
                {digest{"crash " + std::to_string(number)}, {shared}},
                at(milliseconds{round * 500}));
            EXPECT_EQ(is_new, round == 0);
        }
    }
    EXPECT_TRUE(rule(known, seconds{10}).empty());
}

// Crashes that come without a pause must not put the ruling off for ever.
TEST(poison_part_detector, rules_while_crashes_go_on)
{
    auto known = detector();
    auto found = std::vector<digest>{};
    for (auto number = 1; number <= 100 && found.empty(); ++number)
    {
        crash(known, {poison}, milliseconds{number * 30});
        found = rule(known, milliseconds{number * 30 + 1});
    }
    EXPECT_EQ(found, (std::vector<digest>{poison}));
}

// While all endpoints of a service are lost one after the other, nothing has
// output, and the part that begins every prompt must not be refused.
TEST(poison_part_detector, does_not_rule_while_no_request_has_output)
{
    auto known = detector();
    known.record_output({shared}, at(milliseconds{0}));
    for (auto number = 1; number <= 8; ++number)
    {
        crash(known, {shared}, milliseconds{number * 400});
    }
    EXPECT_TRUE(known.update(at(seconds{8})).empty());
    known.record_output({shared}, at(seconds{8}));
    EXPECT_TRUE(rule(known, seconds{9}).empty());
}

// Two parts at the same crashes: the one in fewer requests is the cause.
TEST(poison_part_detector, prefers_the_part_in_fewer_requests)
{
    auto known = detector();
    auto const first = digest{"a first part"};
    for (auto number = 1; number <= 3; ++number)
    {
        known.record_request({first, poison}, at(milliseconds{0}));
        known.record_request({first}, at(milliseconds{0}));
        crash(known, {first, poison}, milliseconds{number * 1'000});
    }
    EXPECT_EQ(rule(known, seconds{4}), (std::vector<digest>{poison}));
    EXPECT_FALSE(known.find_poison({first}));
}

// A daemon that has just seen output of a part must not adopt the ruling of one
// that has missed it.
TEST(poison_part_detector, answers_a_ruling_that_output_contradicts)
{
    auto known = detector();
    known.record_output({shared}, at(milliseconds{0}));
    EXPECT_TRUE(known.apply(part_ruling{shared, 1}, at(milliseconds{400})));
    EXPECT_FALSE(known.find_poison({shared}));
    EXPECT_EQ(
        known.rulings(), (std::vector<part_ruling>{part_ruling{shared, 2}}));
}

TEST(poison_part_detector, releases_a_part_cleared_of_what_the_ruling_rests_on)
{
    auto known = refusing_detector();
    known.apply(
        cleared_message{poison, {digest{"crash 3000"}}}, at(seconds{5}));
    EXPECT_FALSE(known.find_poison({poison}));
}

TEST(poison_part_detector, forgets_what_is_old_and_bounds_what_it_keeps)
{
    auto settings = poison_part_settings{};
    settings.most_parts = 8;
    auto known = poison_part_detector::create(settings).value();
    known.apply(part_ruling{poison, 1}, at(seconds{0}));
    for (auto number = 0; number < 100; ++number)
    {
        known.record_output(
            {digest{"part " + std::to_string(number)}},
            at(milliseconds{number}));
    }
    EXPECT_EQ(known.find_poison({poison}), poison);
    crash(known, {other}, milliseconds{500});
    EXPECT_TRUE(known.has_suspects());
    known.update(at(minutes{150}));
    EXPECT_FALSE(known.has_suspects());
    EXPECT_FALSE(known.find_poison({poison}));
}

TEST(poison_part_detector, refuses_settings_that_prove_nothing)
{
    auto settings = poison_part_settings{};
    settings.crashes = 1;
    EXPECT_FALSE(poison_part_detector::create(settings));
    settings = {};
    settings.crashes_of_proven_part = 2;
    EXPECT_FALSE(poison_part_detector::create(settings));
    settings = {};
    settings.most_parts = 0;
    EXPECT_FALSE(poison_part_detector::create(settings));
}

} // namespace
} // namespace sapphirereel
