#include "sapphirereel/relay/log_reader_selection.hpp"
#include "sapphirereel/relay/peer_table.hpp"

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
    made.is_log_reachable = true;
    return made;
}

TEST(peer_table, counts_a_daemon_as_alive_while_it_reports)
{
    auto peers = peer_table{"1", {"1", "2"}};
    EXPECT_TRUE(peers.alive(now).empty());
    EXPECT_TRUE(peers.apply_report(report_of("2", 1), now));
    EXPECT_EQ(peers.alive(now + milliseconds{1'000}).size(), 1U);
    EXPECT_TRUE(peers.alive(now + milliseconds{1'500}).empty());
}

TEST(peer_table, adds_the_addresses_that_peers_report)
{
    auto peers = peer_table{"1", {"2"}};
    auto report = report_of("2", 1);
    report.known_addresses = {{"1", {}}, {"3", {}}};
    peers.apply_report(report, now);
    EXPECT_EQ(peers.max_daemons(), 3U);
    EXPECT_EQ(peers.targets(now, false), (std::vector<std::string>{"2"}));
    EXPECT_EQ(peers.targets(now, true), (std::vector<std::string>{"2", "3"}));
}

TEST(peer_table, drops_out_of_order_reports)
{
    auto peers = peer_table{"1", {}};
    EXPECT_TRUE(peers.apply_report(report_of("2", 5), now));
    EXPECT_FALSE(peers.apply_report(report_of("2", 4), now));
    auto restarted = report_of("2", 1);
    restarted.incarnation = 2;
    EXPECT_TRUE(peers.apply_report(restarted, now));
}

TEST(primary_log_readers, are_the_first_daemons_that_reach_the_log)
{
    auto alive = std::vector<peer_report>{
        report_of("1", 1), report_of("2", 1), report_of("3", 1)};
    auto const zone = zone_name{};
    EXPECT_FALSE(is_primary_log_reader("4", zone, alive));
    EXPECT_TRUE(is_primary_log_reader("0", zone, alive));
    // A daemon that does not reach the log is replaced by the next one.
    alive[1].is_log_reachable = false;
    EXPECT_TRUE(is_primary_log_reader("4", zone, alive));
    EXPECT_TRUE(is_primary_log_reader("9", zone, {}));
}

TEST(primary_log_readers, are_spread_over_the_zones)
{
    auto alive = std::vector<peer_report>{};
    for (auto const* const ip : {"1", "2", "3", "4", "5", "6"})
    {
        alive.push_back(report_of(ip, 1));
        alive.back().zone = zone_name{std::string{ip} < "4" ? "a" : "b"};
    }
    auto const is_primary = [&](std::string const& ip,
                                std::string const& zone) {
        return is_primary_log_reader(ip, zone_name{zone}, alive);
    };
    EXPECT_TRUE(is_primary("1", "a"));
    EXPECT_TRUE(is_primary("2", "a"));
    EXPECT_FALSE(is_primary("3", "a"));
    EXPECT_TRUE(is_primary("4", "b"));
    EXPECT_FALSE(is_primary("5", "b"));
    EXPECT_TRUE(is_primary("7", "c"));
    // The readers of a zone without access to the log are replaced by daemons
    // of other zones.
    alive[3].is_log_reachable = false;
    alive[4].is_log_reachable = false;
    alive[5].is_log_reachable = false;
    EXPECT_TRUE(is_primary("3", "a"));
}

} // namespace
} // namespace sapphirereel::relay
