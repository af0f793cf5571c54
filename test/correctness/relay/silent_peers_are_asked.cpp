#include "sapphirereel/relay/control_intervals.hpp"
#include "sapphirereel/relay/peer_table.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

// Guards against requests that wait for a lost daemon, as for the permits that
// it issued, the longer the more daemons there are: 2.9 s at 90.

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

constexpr auto begin = time_point{std::chrono::hours{1}};
constexpr auto bound = duration{milliseconds{3'000}};
constexpr auto tick = milliseconds{50};

auto report_of(std::size_t daemon, std::uint64_t sequence) -> peer_report
{
    auto report = peer_report{};
    report.ip = fmt::format("10.0.{}.{}", daemon / 250, daemon % 250);
    report.incarnation = 1;
    report.sequence = sequence;
    report.zone = zone_name{"z"};
    return report;
}

/// A daemon's table of `daemons` others, of which the first is not heard any
/// more after `begin`.
struct world
{
    explicit world(std::size_t daemons)
        : others(daemons)
        , table("10.1.0.1", {}, zone_name{"z"}, 1, silence_limit(bound))
    {
        hear(0, begin);
    }

    auto hear(std::size_t first, time_point now) -> void
    {
        ++sequence;
        for (auto at = first; at < others; ++at)
        {
            table.apply_report(report_of(at, sequence), now);
        }
    }

    /// Lets time pass; returns for how long the first daemon was alive.
    auto silence_until_dead(bool answers_questions) -> duration
    {
        auto heard_at = begin;
        for (auto now = begin; now < begin + 2 * bound; now += tick)
        {
            if (now - heard_at >= report_interval(others + 1))
            {
                heard_at = now;
                hear(1, now);
            }
            auto const asked = table.take_overdue(now);
            questions += asked.size();
            if (!asked.empty() && answers_questions)
            {
                table.apply_report(report_of(0, ++sequence), now);
            }
            if (table.targets(now, false).size() < others)
            {
                return now - begin;
            }
        }
        return duration::max();
    }

    std::size_t others;
    peer_table table;
    std::uint64_t sequence = 0;
    std::size_t questions = 0;
};

TEST(silent_peers, are_dead_within_the_bound_whatever_the_number_of_daemons)
{
    for (auto const others : {8U, 57U, 89U, 99U})
    {
        auto fleet = world{others};
        auto const silence = fleet.silence_until_dead(false);
        EXPECT_LT(silence, bound * 0.7) << others;
        EXPECT_GT(silence, milliseconds{1'100}) << others;
    }
}

TEST(silent_peers, that_answer_a_question_are_alive)
{
    auto fleet = world{89};
    EXPECT_EQ(fleet.silence_until_dead(true), duration::max());
    EXPECT_GT(fleet.questions, 0U);
}

TEST(silent_peers, that_are_stalled_for_a_second_are_alive)
{
    // From just before a report was due.
    auto fleet = world{89};
    auto const end = begin + report_interval(90) + milliseconds{1'000};
    for (auto now = begin; now < end; now += tick)
    {
        fleet.table.take_overdue(now);
        EXPECT_EQ(fleet.table.targets(now, false).size(), 89U);
    }
}

TEST(questions, are_asked_only_where_a_report_is_overdue)
{
    auto fleet = world{89};
    auto questions = std::size_t{0};
    for (auto round = 0; round < 20; ++round)
    {
        auto const heard_at = begin + round * report_interval(90);
        fleet.hear(0, heard_at);
        questions +=
            fleet.table.take_overdue(heard_at + report_interval(90)).size();
    }
    EXPECT_EQ(questions, 0U);
}

TEST(questions, to_many_lost_daemons_come_a_few_at_a_time)
{
    auto fleet = world{89};
    EXPECT_LE(fleet.table.take_overdue(begin + bound / 2).size(), 8U);
}

} // namespace
} // namespace sapphirereel::relay
