// A daemon that alone did not reach the log took a replica whose entry was then
// removed for one that had expired in an outage of the log, and used it beyond
// the time for which it serves (DRAIN). Renewals of that time show the log's
// service.
#include "sapphirereel/relay/renewal_evidence.hpp"
#include "support/relay/outage_world.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

/// An outage of some renewal intervals.
constexpr auto length_of_outage = renewal_interval_of_tests * 14;

/// Time until a daemon that knows better has dropped a replica: a read and its
/// pause.
constexpr auto drop_limit = duration{milliseconds{700}};

/// A relay whose replicas renew their entries while the log is in service.
class renewing_world : public outage_world
{
public:
    renewing_world()
        : timer_(loop)
    {
        renew();
    }

    /// Ends the renewals of a replica whose entry is then removed.
    auto leave(std::string const& id) -> void
    {
        left_ = id;
        remove(id);
    }

    bool is_in_service = true;

private:
    auto renew() -> void
    {
        if (is_in_service)
        {
            renew("one", port_of_one());
            renew("two", port_of_two());
        }
        timer_.expires_after(renewal_interval_of_tests);
        timer_.async_wait([this](std::error_code error) {
            if (!error)
            {
                renew();
            }
        });
    }

    auto renew(std::string const& id, std::uint16_t port) -> void
    {
        if (id != left_)
        {
            add_at(id, "plain", port);
        }
    }

    asio::steady_timer timer_;
    std::string left_;
};

TEST(outage_of_one_daemon, gives_a_replica_that_leaves_no_more_time)
{
    auto world = renewing_world{};
    ASSERT_TRUE(world.start_as_reader());
    ASSERT_TRUE(world.lose_log());
    world.wait(length_of_outage);
    ASSERT_TRUE(world.return_log());
    world.leave("one");
    EXPECT_LT(world.time_in_use("one"), drop_limit);
    EXPECT_TRUE(world.uses("two"));
}

TEST(outage_of_one_daemon, ends_the_use_of_a_replica_that_left_in_it)
{
    auto world = renewing_world{};
    ASSERT_TRUE(world.start_as_reader());
    ASSERT_TRUE(world.lose_log());
    world.wait(length_of_outage);
    world.leave("one");
    ASSERT_TRUE(world.return_log());
    EXPECT_LT(world.time_in_use("one"), drop_limit);
}

TEST(outage_of_the_log, keeps_entries_that_expired_in_it)
{
    auto world = renewing_world{};
    ASSERT_TRUE(world.start_as_reader());
    world.is_in_service = false;
    ASSERT_TRUE(world.lose_log());
    world.wait(length_of_outage);
    world.leave("one");
    ASSERT_TRUE(world.return_log());
    world.is_in_service = true;
    world.wait(milliseconds{1'500});
    EXPECT_TRUE(world.uses("one"));
}

// The log was in service for the first part only, and returns when this daemon
// reaches it again.
TEST(outage_of_the_log, that_ends_with_one_of_the_daemon_keeps_entries)
{
    auto world = renewing_world{};
    ASSERT_TRUE(world.start_as_reader());
    ASSERT_TRUE(world.lose_log());
    world.wait(length_of_outage);
    world.is_in_service = false;
    world.wait(renewal_interval_of_tests * 4);
    world.leave("one");
    ASSERT_TRUE(world.return_log());
    world.is_in_service = true;
    world.wait(milliseconds{1'500});
    EXPECT_TRUE(world.uses("one"));
}

TEST(outage_of_a_peer, gives_a_replica_that_leaves_no_more_time)
{
    auto world = outage_world{};
    ASSERT_TRUE(world.start());
    auto peers = reading_peers{world};
    peers.run_for(milliseconds{4'500});
    ASSERT_FALSE(world.logged("became a primary log reader"));
    peers.reach_log = false;
    peers.only_first_loses_log = true;
    peers.lapse_grace = milliseconds{2'200};
    world.remove("one");
    peers.run_for(milliseconds{800});
    ASSERT_TRUE(world.logged("became a primary log reader"));
    EXPECT_FALSE(world.uses("one"));
}

/// Records of two entries that were renewed a number of times each.
auto renewals(int of_one, int of_two) -> std::vector<keyed_record>
{
    auto records = std::vector<keyed_record>{};
    auto const add = [&](std::string const& key) {
        records.push_back({key, log_position{records.size()}, "{}"});
    };
    for (auto at = 0; at < std::max(of_one, of_two); ++at)
    {
        if (at < of_one)
        {
            add("one");
        }
        if (at < of_two)
        {
            add("two");
        }
    }
    return records;
}

constexpr auto interval = duration{milliseconds{1'200}};

TEST(renewal_evidence, needs_renewals_throughout)
{
    constexpr auto time = interval * 9;
    EXPECT_TRUE(were_renewed_throughout(renewals(9, 9), time, interval));
    EXPECT_TRUE(were_renewed_throughout(renewals(9, 10), time, interval));
    EXPECT_FALSE(were_renewed_throughout(renewals(8, 7), time, interval));
    EXPECT_FALSE(were_renewed_throughout(renewals(1, 1), time, interval));
    EXPECT_FALSE(were_renewed_throughout({}, time, interval));
}

// Entries are renewed at once after an outage of the log that was short.
TEST(renewal_evidence, is_not_had_from_a_few_renewals)
{
    EXPECT_FALSE(
        were_renewed_throughout(renewals(3, 3), interval * 3, interval));
}

// One replica that writes its entry often shows nothing of the others.
TEST(renewal_evidence, is_not_had_from_one_busy_replica)
{
    EXPECT_FALSE(
        were_renewed_throughout(renewals(2, 40), interval * 9, interval));
}

// Removals are no renewals: the log may have made them.
TEST(renewal_evidence, leaves_removals_out)
{
    auto records = renewals(0, 0);
    for (auto at = std::uint64_t{0}; at < 9; ++at)
    {
        records.push_back({"one", log_position{at}, std::nullopt});
    }
    EXPECT_EQ(median_renewals(records), 0U);
}

} // namespace
} // namespace sapphirereel::relay::test
