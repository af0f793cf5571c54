/// \file
/// Defines a fixture of relays that each run on an event loop of their own, so
/// that some of them can be frozen: their sockets stay open, and nothing is
/// read from them or sent.
#ifndef SAPPHIREREEL_TEST_SUPPORT_RELAY_FREEZABLE_FLEET_HPP
#define SAPPHIREREEL_TEST_SUPPORT_RELAY_FREEZABLE_FLEET_HPP

#include "support/relay/relay_fleet.hpp"

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace sapphirereel::relay::test {

/// What a freezable fleet is made of.
struct freezable_fleet_plan
{
    std::size_t daemons = 6;
    /// Time within which a change must take effect, for versions and for
    /// leaving replicas.
    duration bound{std::chrono::milliseconds{2'000}};
};

/// Relays with logs of the same content. The first by number come first among
/// the daemons that read the log for the others, up to eight of them.
class freezable_fleet
{
public:
    using node_type = relay_fleet::node_type;

    explicit freezable_fleet(freezable_fleet_plan const& plan)
    {
        auto const callers = free_port(loop_);
        peer_port_ = free_port(loop_);
        for (auto at = std::size_t{0}; at < plan.daemons; ++at)
        {
            daemons_.push_back(std::make_unique<daemon>(
                settings_of(plan, at, callers, peer_port_)));
            write_configuration(daemons_.back()->log);
            add_replica(daemons_.back()->log, "i-1", "plain", free_port(loop_));
        }
    }

    /// Starts the relays and runs them until they have settled who reads the
    /// log.
    auto start() -> bool
    {
        for (auto const& each : daemons_)
        {
            if (!each->node.start())
            {
                return false;
            }
        }
        run_for(discovery_time + std::chrono::milliseconds{800});
        return all_have_version(1);
    }

    /// Stops running a relay.
    auto freeze(std::size_t which) -> void
    {
        frozen_.insert(which);
    }

    /// Cuts a relay off from the log: its calls are not answered any more.
    auto cut_from_log(std::size_t which) -> void
    {
        daemons_[which]->log.answer_delay = std::chrono::hours{1};
    }

    /// Has the log answer a relay's calls about one stream no more.
    auto cut_from_stream(std::size_t which, keyed_stream stream) -> void
    {
        daemons_[which]->log.silent.insert(stream);
    }

    /// Writes a version of the configuration to the log.
    auto publish(int version) -> void
    {
        for (auto const& each : daemons_)
        {
            each->log.write(
                keyed_stream::configuration, "config",
                fmt::format(
                    R"({{"version":{},"routes":[],"services":[]}})", version));
        }
    }

    /// Whether a version is in force at all relays that are not frozen.
    [[nodiscard]] auto all_have_version(std::uint64_t version) const -> bool
    {
        for (auto at = std::size_t{0}; at < daemons_.size(); ++at)
        {
            auto const& table = daemons_[at]->node.state().table;
            auto const has_version =
                table && table->configuration().version >= version;
            if (!has_version && !frozen_.contains(at))
            {
                return false;
            }
        }
        return true;
    }

    /// Runs the relays until a version is in force at all that are not frozen;
    /// returns the time that this took.
    auto time_until_version(std::uint64_t version) -> duration
    {
        auto const began = std::chrono::steady_clock::now();
        auto const end = began + std::chrono::seconds{8};
        while (!all_have_version(version) &&
               std::chrono::steady_clock::now() < end)
        {
            run_once();
        }
        return std::chrono::duration_cast<duration>(
            std::chrono::steady_clock::now() - began);
    }

    auto run_for(duration length) -> void
    {
        auto const end = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < end)
        {
            run_once();
        }
    }

    /// Number of calls to the log so far, of all relays.
    [[nodiscard]] auto log_calls() const -> std::size_t
    {
        auto calls = std::size_t{0};
        for (auto const& each : daemons_)
        {
            calls += each->log.calls;
        }
        return calls;
    }

    [[nodiscard]] auto node(std::size_t which) -> node_type&
    {
        return daemons_[which]->node;
    }

    /// The port at which relays serve each other.
    [[nodiscard]] auto peer_port() const -> std::uint16_t
    {
        return peer_port_;
    }

private:
    struct daemon
    {
        explicit daemon(relay_settings const& settings)
            : log(loop)
            , node(
                  loop,
                  settings,
                  log,
                  std::move(*length_estimator::create({})),
                  std::hash<std::string>{}(settings.peers.ip))
        {
            node.state().log = process_log{[](std::string_view) {
                return true;
            }};
        }

        asio::io_context loop;
        fake_log log;
        node_type node;
    };

    auto run_once() -> void
    {
        for (auto at = std::size_t{0}; at < daemons_.size(); ++at)
        {
            if (!frozen_.contains(at))
            {
                daemons_[at]->loop.poll();
                daemons_[at]->loop.restart();
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }

    static auto settings_of(
        freezable_fleet_plan const& plan,
        std::size_t daemon,
        std::uint16_t callers,
        std::uint16_t peers) -> relay_settings
    {
        auto settings = relay_settings{};
        settings.zone = zone_name{"z"};
        settings.callers = {relay_fleet::ip_of(daemon), callers};
        settings.peers = {relay_fleet::ip_of(daemon), peers};
        settings.seeds = {relay_fleet::ip_of(0)};
        settings.retry_budget = {0.2, 50, std::chrono::seconds{10}};
        settings.drain_limit = plan.bound;
        settings.configuration_limit = plan.bound;
        return settings;
    }

    asio::io_context loop_;
    std::uint16_t peer_port_ = 0;
    std::vector<std::unique_ptr<daemon>> daemons_;
    std::set<std::size_t> frozen_;
};

} // namespace sapphirereel::relay::test

#endif
