/// \file
/// Defines a relay whose log is lost and comes back, and peers that report to
/// it what they see of the log.
#ifndef SAPPHIREREEL_TEST_SUPPORT_RELAY_OUTAGE_WORLD_HPP
#define SAPPHIREREEL_TEST_SUPPORT_RELAY_OUTAGE_WORLD_HPP

#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {

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

    /// Whether only the first of them is affected by that.
    bool only_first_loses_log = false;
    duration lapse_grace{0};

    /// Runs the loop for a time, with a report of each peer now and then.
    auto run_for(duration time) -> void
    {
        auto const end = telemetry::monotonic_now() + time;
        while (telemetry::monotonic_now() < end)
        {
            report();
            world_->loop.run_for(std::chrono::milliseconds{100});
            world_->loop.restart();
        }
    }

private:
    /// They read the log all the while that they reach it.
    auto age_of_copies(bool reaches_log) -> copy_age
    {
        auto const now = telemetry::monotonic_now();
        read_at_ = reach_log ? now : read_at_;
        return {
            reaches_log ? duration{0} : now - read_at_, duration::max(),
            duration{0}};
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
            auto const is_affected =
                !only_first_loses_log || report.ip == "10.0.0.1";
            report.is_log_reachable = reach_log || !is_affected;
            report.age = age_of_copies(report.is_log_reachable);
            report.lapse_grace = is_affected ? lapse_grace : duration{0};
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

} // namespace sapphirereel::relay::test

#endif
