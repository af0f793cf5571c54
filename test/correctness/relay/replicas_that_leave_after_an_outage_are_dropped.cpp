// A replica whose entry is removed soon after an outage of the log was taken
// for one that had lapsed in it, and was used beyond the time for which it
// serves (DRAIN).
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

/// Time for which a replica that leaves goes on serving.
constexpr auto time_of_service = milliseconds{2'000};

/// A relay with two replicas, whose log is lost and comes back.
class outage_world : public relay_fixture
{
public:
    outage_world()
    {
        configure(1);
        add("one", "plain", one_);
        add("two", "plain", two_);
    }

    auto start_as_reader() -> bool
    {
        return start() &&
               run_until([&] { return logged("became a primary log reader"); });
    }

    auto lose_log() -> bool
    {
        log.is_reachable = false;
        return run_until([&] { return node().is_log_lost(); });
    }

    /// The log answers again, each call after a time.
    auto return_log(duration answer_delay = duration{0}) -> bool
    {
        log.is_reachable = true;
        log.answer_delay = answer_delay;
        auto const is_back =
            run_until([&] { return node().is_log_reachable(); });
        log.answer_delay = duration{0};
        return is_back;
    }

    auto remove(std::string const& id) -> void
    {
        log.write(keyed_stream::replicas, id, std::nullopt);
    }

    auto wait(duration time) -> void
    {
        loop.run_for(time);
        loop.restart();
    }

    [[nodiscard]] auto uses(std::string const& id) -> bool
    {
        return node().state().replicas.find(endpoint_id{id}) != nullptr;
    }

    /// Time until a replica is no longer used.
    auto time_in_use(std::string const& id) -> duration
    {
        auto const began = telemetry::monotonic_now();
        run_until([&] { return !uses(id); });
        return telemetry::monotonic_now() - began;
    }

    auto port_of_two() const -> std::uint16_t
    {
        return two_.port;
    }

    auto port_of_one() const -> std::uint16_t
    {
        return one_.port;
    }

private:
    fake_replica one_{loop, serve_normally};
    fake_replica two_{loop, serve_normally};
};

TEST(replica_that_leaves_after_an_outage, is_dropped_when_entries_must_be_back)
{
    auto world = outage_world{};
    ASSERT_TRUE(world.start_as_reader());
    ASSERT_TRUE(world.lose_log());
    ASSERT_TRUE(world.return_log());
    world.wait(milliseconds{1'200});
    world.remove("one");
    EXPECT_LT(world.time_in_use("one"), time_of_service);
    EXPECT_TRUE(world.uses("two"));
}

TEST(replica_that_leaves_after_an_outage, is_not_kept_for_a_late_answer)
{
    auto world = outage_world{};
    ASSERT_TRUE(world.start_as_reader());
    ASSERT_TRUE(world.lose_log());
    // The log was back when the call was sent that it answered so late.
    ASSERT_TRUE(world.return_log(milliseconds{900}));
    world.wait(milliseconds{300});
    world.remove("one");
    EXPECT_LT(world.time_in_use("one"), milliseconds{1'700});
}

TEST(replica_that_leaves_after_an_outage, is_dropped_at_once_after_the_grace)
{
    auto world = outage_world{};
    ASSERT_TRUE(world.start_as_reader());
    ASSERT_TRUE(world.lose_log());
    ASSERT_TRUE(world.return_log());
    world.wait(milliseconds{2'300});
    world.remove("one");
    EXPECT_LT(world.time_in_use("one"), milliseconds{1'000});
}

TEST(replica_that_lapsed, is_used_through_another_outage)
{
    auto world = outage_world{};
    ASSERT_TRUE(world.start_as_reader());
    ASSERT_TRUE(world.lose_log());
    world.remove("one");
    ASSERT_TRUE(world.return_log());
    world.wait(milliseconds{300});
    EXPECT_TRUE(world.uses("one"));
    ASSERT_TRUE(world.lose_log());
    world.wait(milliseconds{2'500});
    EXPECT_TRUE(world.uses("one"));
    ASSERT_TRUE(world.return_log());
    world.wait(milliseconds{1'500});
    EXPECT_TRUE(world.uses("one"));
    // Its entry is not written again, so that it has left.
    EXPECT_LT(world.time_in_use("one"), milliseconds{1'400});
}

TEST(replica_that_left_in_the_grace, is_not_used_through_another_outage)
{
    auto world = outage_world{};
    ASSERT_TRUE(world.start_as_reader());
    ASSERT_TRUE(world.lose_log());
    ASSERT_TRUE(world.return_log());
    world.wait(milliseconds{1'200});
    world.remove("one");
    world.wait(milliseconds{300});
    ASSERT_TRUE(world.lose_log());
    EXPECT_LT(world.time_in_use("one"), time_of_service);
}

TEST(replica_that_lapsed, is_not_used_where_another_has_its_address)
{
    auto world = outage_world{};
    ASSERT_TRUE(world.start_as_reader());
    ASSERT_TRUE(world.lose_log());
    world.remove("one");
    world.add_at("three", "plain", world.port_of_one());
    ASSERT_TRUE(world.return_log());
    ASSERT_TRUE(world.run_until([&] { return world.uses("three"); }));
    EXPECT_FALSE(world.uses("one"));
}

/// Sends the relay reports of peers that are primary readers before it.
class reading_peers
{
public:
    explicit reading_peers(relay_fixture& world)
        : world_(&world)
        , socket_(
              world.loop, {asio::ip::make_address(process_loopback_ip()), 0})
    {}

    bool reach_log = true;
    duration lapse_grace{0};

    /// Runs the loop for a time, with a report of each peer now and then.
    auto run_for(duration time) -> void
    {
        auto const end = telemetry::monotonic_now() + time;
        while (telemetry::monotonic_now() < end)
        {
            report();
            world_->loop.run_for(milliseconds{100});
            world_->loop.restart();
        }
    }

private:
    /// They read the log all the while that they reach it.
    auto age_of_copies() -> copy_age
    {
        auto const now = telemetry::monotonic_now();
        read_at_ = reach_log ? now : read_at_;
        return {now - read_at_, duration::max(), duration{0}};
    }

    auto report() -> void
    {
        ++sequence_;
        for (auto const* const ip : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        {
            auto report = peer_report{};
            report.ip = ip;
            report.incarnation = 1;
            report.sequence = sequence_;
            report.zone = zone_name{"z"};
            report.accepts_callers = true;
            report.is_log_reachable = reach_log;
            report.age = age_of_copies();
            report.lapse_grace = lapse_grace;
            socket_.send_to(
                asio::buffer(write_peer_report(report)),
                {asio::ip::make_address(process_loopback_ip()),
                 world_->peer_port()});
        }
    }

    relay_fixture* world_;
    asio::ip::udp::socket socket_;
    std::uint64_t sequence_ = 0;
    time_point read_at_{};
};

// The readers of the log take turns while it is lost. One whose first call
// comes after its return has seen no failure itself.
TEST(replica_that_lapsed, is_used_by_a_daemon_that_begins_to_read)
{
    auto world = outage_world{};
    ASSERT_TRUE(world.start());
    auto peers = reading_peers{world};
    peers.run_for(milliseconds{4'500});
    ASSERT_FALSE(world.logged("became a primary log reader"));
    peers.reach_log = false;
    peers.lapse_grace = milliseconds{2'200};
    world.remove("one");
    peers.run_for(milliseconds{800});
    ASSERT_TRUE(world.logged("became a primary log reader"));
    ASSERT_TRUE(world.node().is_log_reachable());
    EXPECT_TRUE(world.uses("one"));
    peers.lapse_grace = milliseconds{0};
    EXPECT_LT(world.time_in_use("one"), milliseconds{2'400});
}

} // namespace
} // namespace sapphirereel::relay::test
