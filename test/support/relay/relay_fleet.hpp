/// \file
/// Defines a fixture that runs several relays, which report to each other, on
/// one event loop in the test's process.
#ifndef SAPPHIREREEL_TEST_SUPPORT_RELAY_RELAY_FLEET_HPP
#define SAPPHIREREEL_TEST_SUPPORT_RELAY_RELAY_FLEET_HPP

#include "support/relay/relay_fixture.hpp"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::relay::test {

/// Ports behind which no replica is reached.
class unreachable_port
{
public:
    /// How connections to it fail.
    enum class kind
    {
        /// A connection is refused.
        refused,
        /// A connection is reset when it is established.
        reset,
        /// A connection is never established.
        dropped,
        /// A connection is established and carries nothing.
        silent
    };

    unreachable_port(asio::io_context& loop, kind how)
        : port(free_port(loop))
    {
        auto const address = asio::ip::tcp::endpoint{
            asio::ip::make_address(process_loopback_ip()), port};
        if (how == kind::dropped)
        {
            // The kernel drops what would exceed the queue of connections that
            // nobody accepts.
            queue_.emplace(loop, address);
            queue_->listen(1);
            for (auto at = 0; at < 4; ++at)
            {
                fillers_.emplace_back(loop);
                fillers_.back().async_connect(address, [](std::error_code) {});
            }
        }
        if (how == kind::reset || how == kind::silent)
        {
            listener_ = std::move(*listener::open(
                loop, address, [this, how](asio::ip::tcp::socket socket) {
                    opened_.push_back(connection::adopt(std::move(socket)));
                    if (how == kind::reset)
                    {
                        opened_.back()->reset();
                    }
                }));
        }
    }

    std::uint16_t port;

private:
    std::optional<asio::ip::tcp::acceptor> queue_;
    std::deque<asio::ip::tcp::socket> fillers_;
    std::vector<std::shared_ptr<connection>> opened_;
    std::unique_ptr<listener> listener_;
};

/// Writes a replica's record to a log.
inline auto add_replica(
    fake_log& log,
    std::string const& id,
    std::string const& service,
    std::uint16_t port) -> void
{
    log.write(
        keyed_stream::replicas, id,
        fmt::format(
            R"({{"service":"{}","address":"{}:{}","zone":"z",)"
            R"("slots":4,"state":"ready"}})",
            service, process_loopback_ip(), port));
}

/// Writes a configuration with the routes /safe/ and /once/ to the service
/// `plain`, /stream/ and /resumable/ to the service `engine`.
inline auto write_configuration(fake_log& log) -> void
{
    log.write(
        keyed_stream::configuration, "config",
        R"({"version":1,"routes":[)"
        R"({"name":"safe","host":"h","path-prefix":"/safe/","kind":"safe",)"
        R"("service":"plain","max-attempts":2,"timeout-ms":1500,)"
        R"("target-latency-ms":150},)"
        R"({"name":"once","host":"h","path-prefix":"/once/",)"
        R"("kind":"unsafe","service":"plain","timeout-ms":1500,)"
        R"("target-latency-ms":150},)"
        R"({"name":"stream","host":"h","path-prefix":"/stream/",)"
        R"("kind":"streaming","service":"engine","timeout-ms":5000},)"
        R"({"name":"resumable","host":"h","path-prefix":"/resumable/",)"
        R"("kind":"streaming","service":"engine","timeout-ms":5000,)"
        R"("max-attempts":3,"stream-resume":true}],)"
        R"("services":[{"name":"plain"},{"name":"engine",)"
        R"("engine":{"kv-cache-tokens":9000,"kv-token-bytes":10,)"
        R"("link-mbps":1000,"moves":true,"backups":true,"stride":1}}]})");
}

/// Relays with their own logs, and callers.
class relay_fleet
{
public:
    using node_type = relay_node<
        deployment::wire_format,
        fake_log,
        deployment::record_reader>;

    explicit relay_fleet(std::size_t daemons)
    {
        auto const callers = free_port(loop);
        auto const peers = free_port(loop);
        for (auto at = std::size_t{0}; at < daemons; ++at)
        {
            logs.push_back(std::make_unique<fake_log>(loop));
            write_configuration(*logs.back());
            nodes.push_back(std::make_unique<node_type>(
                loop, settings_of(at, callers, peers), *logs.back(),
                std::move(*length_estimator::create({})), at + 1));
            nodes.back()->state().log =
                process_log{[this](std::string_view line) {
                    lines.emplace_back(line);
                    return true;
                }};
        }
        caller_port_ = callers;
    }

    /// Adds a replica to the logs of all relays.
    auto add(
        std::string const& id, std::string const& service, std::uint16_t port)
        -> void
    {
        for (auto const& each : logs)
        {
            add_replica(*each, id, service, port);
        }
    }

    /// Has a relay's connections to some ports end at other ones, behind which
    /// no replica is reached.
    auto divert(
        std::size_t daemon, std::map<std::uint16_t, std::uint16_t> ports)
        -> void
    {
        nodes[daemon]->state().pool.set_connector(
            [this, ports = std::move(ports)](
                asio::ip::tcp::endpoint to, duration limit,
                connection::connect_handler done) {
                auto const found = ports.find(to.port());
                to.port(found == ports.end() ? to.port() : found->second);
                connection::connect(loop, to, limit, std::move(done));
            });
    }

    /// Has a relay's connections to its peers end at a port of the test's, as
    /// if that were the peer, and all others at another port.
    auto divert_peers(
        std::size_t daemon, std::uint16_t peers_to, std::uint16_t others_to)
        -> void
    {
        nodes[daemon]->state().pool.set_connector(
            [this, peers_to, others_to](
                asio::ip::tcp::endpoint to, duration limit,
                connection::connect_handler done) {
                auto const own = asio::ip::make_address(process_loopback_ip());
                auto const is_peer = to.address() != own;
                to = {own, is_peer ? peers_to : others_to};
                connection::connect(loop, to, limit, std::move(done));
            });
    }

    /// Starts the relays and waits until each has read its log and has heard
    /// of all others.
    auto start() -> bool
    {
        for (auto const& each : nodes)
        {
            if (!each->start())
            {
                return false;
            }
        }
        return run_until([this] {
            return std::all_of(
                nodes.begin(), nodes.end(), [this](auto const& each) {
                    return each->is_ready() &&
                           each->caller_addresses().size() == nodes.size() &&
                           !each->state().replicas.replicas().empty();
                });
        });
    }

    /// Runs the event loop until a condition holds, for 8 seconds at most.
    template <class Condition>
    auto run_until(Condition holds) -> bool
    {
        auto const end =
            std::chrono::steady_clock::now() + std::chrono::seconds{8};
        while (!holds() && std::chrono::steady_clock::now() < end)
        {
            loop.run_for(std::chrono::milliseconds{2});
            loop.restart();
        }
        return holds();
    }

    auto run_for(duration length) -> void
    {
        loop.run_for(length);
        loop.restart();
    }

    /// Sends a request to a relay; its response is added to `responses`.
    auto send_request(
        std::size_t to, std::string const& target, http::field_list fields = {})
        -> void
    {
        fields.push_back({"Host", "h"});
        fields.push_back(
            {"X-Sapphirereel-Request-Id", fmt::format("r{}", ++requests_)});
        buffered_call::start(
            loop, pool_, caller_address(to),
            http::write_request("GET", target, fields, {}),
            std::chrono::seconds{6}, [this](buffered_response answer) {
                responses.push_back(std::move(answer));
            });
    }

    /// Where a relay takes callers' requests.
    [[nodiscard]] auto caller_address(std::size_t daemon) const
        -> asio::ip::tcp::endpoint
    {
        return {asio::ip::make_address(ip_of(daemon)), caller_port_};
    }

    /// Number of responses with a status.
    [[nodiscard]] auto count_of(int status) const -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(
            responses.begin(), responses.end(), [&](auto const& each) {
                return each && each->head.status == status;
            }));
    }

    /// Whether a log line of any relay contains a message.
    [[nodiscard]] auto logged(std::string_view message) const -> bool
    {
        return std::any_of(
            lines.begin(), lines.end(), [&](std::string const& line) {
                return line.find(message) != std::string::npos;
            });
    }

    asio::io_context loop;
    std::vector<std::unique_ptr<fake_log>> logs;
    std::deque<buffered_response> responses;
    std::vector<std::string> lines;
    std::vector<std::unique_ptr<node_type>> nodes;

    /// The address of a relay among its peers.
    static auto ip_of(std::size_t daemon) -> std::string
    {
        auto ip = process_loopback_ip();
        ip.replace(ip.rfind('.') + 1, 1, std::to_string(daemon + 2));
        return ip;
    }

private:
    static auto settings_of(
        std::size_t daemon, std::uint16_t callers, std::uint16_t peers)
        -> relay_settings
    {
        auto settings = relay_settings{};
        settings.zone = zone_name{"z"};
        settings.callers = {ip_of(daemon), callers};
        settings.peers = {ip_of(daemon), peers};
        settings.seeds = {ip_of(0)};
        settings.retry_budget = {0.2, 50, std::chrono::seconds{10}};
        return settings;
    }

    std::uint16_t caller_port_ = 0;
    std::size_t requests_ = 0;
    upstream_pool pool_{loop};
};

} // namespace sapphirereel::relay::test

#endif
