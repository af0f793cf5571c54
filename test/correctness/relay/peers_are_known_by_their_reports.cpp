#include "sapphirereel/relay/peer_table.hpp"
#include "sapphirereel/relay/reader_rank.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

constexpr auto now = time_point{std::chrono::seconds{50}};

auto report_of(std::string ip, std::uint64_t sequence) -> peer_report
{
    auto made = peer_report{};
    made.ip = std::move(ip);
    made.incarnation = 1;
    made.sequence = sequence;
    made.is_in_touch = true;
    return made;
}

TEST(peer_table, holds_a_daemon_alive_while_it_reports)
{
    auto peers = peer_table{"1", {"1", "2"}};
    EXPECT_TRUE(peers.alive(now).empty());
    EXPECT_TRUE(peers.heard(report_of("2", 1), now));
    EXPECT_EQ(peers.alive(now + milliseconds{1'000}).size(), 1U);
    EXPECT_TRUE(peers.alive(now + milliseconds{1'500}).empty());
}

TEST(peer_table, learns_of_daemons_that_others_have_heard_of)
{
    auto peers = peer_table{"1", {"2"}};
    auto report = report_of("2", 1);
    report.known = {"1", "3"};
    peers.heard(report, now);
    EXPECT_EQ(peers.most_daemons(), 3U);
    EXPECT_EQ(peers.targets(now, false), (std::vector<std::string>{"2"}));
    EXPECT_EQ(peers.targets(now, true), (std::vector<std::string>{"2", "3"}));
}

TEST(peer_table, drops_reports_that_were_overtaken)
{
    auto peers = peer_table{"1", {}};
    EXPECT_TRUE(peers.heard(report_of("2", 5), now));
    EXPECT_FALSE(peers.heard(report_of("2", 4), now));
    auto restarted = report_of("2", 1);
    restarted.incarnation = 2;
    EXPECT_TRUE(peers.heard(restarted, now));
}

TEST(close_readers, are_the_first_that_are_in_touch)
{
    auto alive = std::vector<peer_report>{
        report_of("1", 1), report_of("2", 1), report_of("3", 1)};
    auto const zone = zone_name{};
    EXPECT_FALSE(reads_closely("4", zone, alive));
    EXPECT_TRUE(reads_closely("0", zone, alive));
    // One that the log turns away leaves its place to the next.
    alive[1].is_in_touch = false;
    EXPECT_TRUE(reads_closely("4", zone, alive));
    EXPECT_TRUE(reads_closely("9", zone, {}));
}

TEST(close_readers, are_spread_over_the_zones)
{
    auto alive = std::vector<peer_report>{};
    for (auto const* const ip : {"1", "2", "3", "4", "5", "6"})
    {
        alive.push_back(report_of(ip, 1));
        alive.back().zone = zone_name{std::string{ip} < "4" ? "a" : "b"};
    }
    auto const closely = [&](std::string const& ip, std::string const& zone) {
        return reads_closely(ip, zone_name{zone}, alive);
    };
    EXPECT_TRUE(closely("1", "a"));
    EXPECT_TRUE(closely("2", "a"));
    EXPECT_FALSE(closely("3", "a"));
    EXPECT_TRUE(closely("4", "b"));
    EXPECT_FALSE(closely("5", "b"));
    EXPECT_TRUE(closely("7", "c"));
    // A zone that is cut off leaves its places to the others.
    alive[3].is_in_touch = false;
    alive[4].is_in_touch = false;
    alive[5].is_in_touch = false;
    EXPECT_TRUE(closely("3", "a"));
}

} // namespace
} // namespace sapphirereel::relay
