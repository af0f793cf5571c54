#include "sapphirereel/relay/log_freshness.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <optional>
#include <vector>

// Guards against a remedy for lost readers (review/10) that has all daemons
// read the log together, or that takes the longer the more daemons there are.

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

constexpr auto bound = duration{milliseconds{3'000}};
constexpr auto begin = time_point{std::chrono::hours{1}};
/// Interval at which daemons look at the age, and the time from one daemon's
/// read until the others have heard of it.
constexpr auto look_interval = duration{milliseconds{50}};
constexpr auto read_and_tell = duration{milliseconds{30}};

auto terms() -> freshness_terms
{
    auto settings = relay_settings{};
    settings.drain_limit = bound;
    settings.configuration_limit = bound;
    return freshness_terms::of(settings);
}

/// Daemons that nobody reads the log for from `begin` on.
struct fleet
{
    explicit fleet(std::size_t daemons)
    {
        for (auto at = std::size_t{0}; at < daemons; ++at)
        {
            members.emplace_back(terms(), at + 1);
            members.back().start(begin);
            members.back().record_read(begin);
        }
    }

    /// Runs the daemons; those that are due read, and the log answers if it is
    /// up. Returns when the first one read.
    auto run(duration length, bool is_log_up) -> std::optional<time_point>
    {
        auto first = std::optional<time_point>{};
        auto told = std::vector<std::pair<time_point, copy_age>>{};
        for (auto now = begin; now < begin + length; now += milliseconds{1})
        {
            std::erase_if(told, [&](auto const& each) {
                if (each.first > now)
                {
                    return false;
                }
                for (auto& other : members)
                {
                    other.apply_peer(each.second, true, now);
                }
                return true;
            });
            for (auto at = std::size_t{0}; at < members.size(); ++at)
            {
                auto const offset = milliseconds{at % look_interval.count()};
                auto const looks =
                    (now - begin + offset) % look_interval == duration{0};
                if (!looks || !members[at].is_read_due(now))
                {
                    continue;
                }
                ++reads;
                first = first.value_or(now);
                members[at].record_attempt(now);
                told.emplace_back(
                    now + read_and_tell,
                    copy_age{
                        is_log_up ? read_and_tell : duration::max(),
                        duration::max(), read_and_tell});
            }
        }
        return first;
    }

    std::vector<log_freshness> members;
    std::size_t reads = 0;
};

TEST(old_copies, are_renewed_within_the_bound_whatever_the_number_of_daemons)
{
    for (auto const daemons : {2U, 9U, 60U, 90U, 295U})
    {
        auto all = fleet{daemons};
        auto const first = all.run(bound / 2, true);
        ASSERT_TRUE(first) << daemons;
        EXPECT_GE(*first, begin + bound / 3);
        EXPECT_LE(*first, begin + bound / 2);
        EXPECT_LE(all.reads, std::max(3U, daemons / 6)) << daemons;
    }
}

TEST(old_copies, of_a_log_that_is_down_cost_few_reads)
{
    auto all = fleet{90};
    all.run(std::chrono::seconds{10}, false);
    EXPECT_LE(all.reads, 150U);
}

TEST(old_copies, are_not_what_a_daemon_has_that_hears_of_reads)
{
    auto one = log_freshness{terms(), 1};
    one.start(begin);
    for (auto now = begin; now < begin + std::chrono::seconds{20};
         now += milliseconds{900})
    {
        one.apply_peer(copy_age{milliseconds{100}}, true, now);
        EXPECT_FALSE(one.is_read_due(now + milliseconds{899}));
    }
}

// Daemons that tell each other what they have heard, each a little late, must
// not keep an age from growing.
TEST(old_copies, grow_old_however_often_others_tell_of_them)
{
    for (auto const is_in_mesh : {true, false})
    {
        auto all = fleet{10};
        auto now = begin;
        for (; now < begin + bound; now += milliseconds{10})
        {
            for (auto& from : all.members)
            {
                auto const told = from.age_to_report(now);
                for (auto& to : all.members)
                {
                    to.apply_peer(told, is_in_mesh, now + milliseconds{10});
                }
            }
        }
        EXPECT_TRUE(std::all_of(
            all.members.begin(), all.members.end(), [&](auto const& each) {
                return each.age(now) >= bound - milliseconds{50};
            }));
    }
}

TEST(old_copies, are_not_made_younger_by_the_reads_of_peers_that_hold_more)
{
    auto one = log_freshness{terms(), 1};
    one.start(begin);
    one.record_read(begin);
    auto const later = begin + bound;
    one.apply_attempt(copy_age{duration{0}}, later);
    EXPECT_TRUE(one.is_read_due(later));
    EXPECT_EQ(one.age(later), bound);
}

TEST(freshness, follows_the_shortest_bound)
{
    auto settings = relay_settings{};
    settings.drain_limit = milliseconds{6'000};
    settings.configuration_limit = milliseconds{3'000};
    auto const short_terms = freshness_terms::of(settings);
    settings.configuration_limit = milliseconds{6'000};
    EXPECT_EQ(freshness_terms::of(settings).max_age, 2 * short_terms.max_age);
    EXPECT_LE(short_terms.max_age + short_terms.max_delay, milliseconds{1'500});
}

} // namespace
} // namespace sapphirereel::relay
