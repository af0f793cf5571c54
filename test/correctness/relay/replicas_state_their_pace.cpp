// Guards against a usual pace that is taken from a slow period, that outlives
// the start of its replica, or that is known to one daemon only.
#include "sapphirereel/relay/replica_pace.hpp"
#include "sapphirereel/relay/replica_table.hpp"

#include <cmath>
#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using listing = std::map<endpoint_id, replica>;

auto at(int ms) -> time_point
{
    return time_point{std::chrono::seconds{100}} +
           std::chrono::milliseconds{ms};
}

auto replica_of(std::string const& id, std::uint64_t started_at_ms = 1'000)
    -> replica
{
    auto made = replica{};
    made.id = endpoint_id{id};
    made.service = service_name{"s"};
    made.started_at_ms = started_at_ms;
    return made;
}

auto const one = replica_of("one");

TEST(replica_pace, is_the_lowest_figure_of_late)
{
    auto paces = replica_pace{};
    EXPECT_TRUE(paces.record_figure(one, 300, at(0)));
    EXPECT_TRUE(paces.record_figure(one, 120, at(500)));
    EXPECT_TRUE(paces.record_figure(one, 302, at(900)));
    EXPECT_EQ(paces.find(one.id)->usual(), 120);
    EXPECT_TRUE(paces.find(one.id)->is_slow(at(1'300)));
    EXPECT_FALSE(paces.find(one.id)->is_slow(at(1'301)));
    // A pace that is no longer stated is forgotten after two windows.
    paces.record_figure(one, 140, at(10'600));
    EXPECT_EQ(paces.find(one.id)->usual(), 120);
    paces.record_figure(one, 140, at(20'700));
    EXPECT_EQ(paces.find(one.id)->usual(), 140);
}

TEST(replica_pace, out_of_bounds_is_not_recorded)
{
    auto paces = replica_pace{};
    for (auto const pace : {0.0, -5.0, 1e9, std::nan("")})
    {
        EXPECT_FALSE(paces.record_figure(one, pace, at(0)));
    }
    paces.apply_report({{one.id, 1'000, 0}}, {{one.id, one}}, at(0));
    EXPECT_TRUE(paces.is_empty());
}

TEST(replica_pace, ends_with_the_start_of_the_replica)
{
    auto paces = replica_pace{};
    auto const later = replica_of("one", 2'000);
    paces.record_figure(one, 55, at(0));
    paces.retain({{one.id, later}});
    EXPECT_TRUE(paces.is_empty());
    paces.record_figure(later, 120, at(10));
    // A response of the earlier start and a peer's entry of it arrive late.
    paces.record_figure(one, 55, at(20));
    paces.apply_report({{one.id, 1'000, 55}}, {{one.id, later}}, at(20));
    EXPECT_EQ(paces.find(one.id)->usual(), 120);
}

TEST(replica_pace, reaches_peers_and_stays_while_the_start_is_listed)
{
    auto first = replica_pace{};
    auto second = replica_pace{};
    auto const listed = listing{{one.id, one}};
    first.record_figure(one, 55, at(0));
    second.apply_report(first.entries_to_report(at(10)), listed, at(10));
    ASSERT_NE(second.find(one.id), nullptr);
    EXPECT_EQ(second.find(one.id)->usual(), 55);
    EXPECT_FALSE(second.find(one.id)->is_slow(at(10)));
    // Repeated by the one that reads the figures alone.
    EXPECT_TRUE(second.entries_to_report(at(20)).empty());
    second.retain(listed);
    EXPECT_EQ(second.find(one.id)->usual(), 55);
    second.apply_report({{endpoint_id{"unlisted"}, 1, 55}}, listed, at(30));
    EXPECT_EQ(second.find(endpoint_id{"unlisted"}), nullptr);
}

TEST(replica_pace, is_reported_as_news_first_and_then_in_rotation)
{
    auto paces = replica_pace{};
    for (auto each = 0; each < 40; ++each)
    {
        paces.record_figure(replica_of(std::to_string(each)), 55, at(0));
    }
    EXPECT_EQ(paces.entries_to_report(at(10)).size(), 6U);
    auto reported = std::set<endpoint_id>{};
    for (auto report = 0; report < 20; ++report)
    {
        auto const entries = paces.entries_to_report(at(3'000));
        EXPECT_EQ(entries.size(), 2U);
        for (auto const& each : entries)
        {
            reported.insert(each.id);
        }
    }
    EXPECT_EQ(reported.size(), 40U);
    // Nothing is repeated that was not read for long.
    EXPECT_TRUE(paces.entries_to_report(at(20'001)).empty());
}

} // namespace
} // namespace sapphirereel::relay
