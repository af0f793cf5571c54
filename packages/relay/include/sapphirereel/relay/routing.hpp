/// \file
/// Defines the routing configuration and the immutable lookup table built from
/// it. Each version of the configuration gets a table of its own.
#ifndef SAPPHIREREEL_RELAY_ROUTING_HPP
#define SAPPHIREREEL_RELAY_ROUTING_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/http/request_parser.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::relay {

/// Whether a request may be repeated, and the form of its answer.
enum class request_kind
{
    /// May run more than once.
    idempotent,
    /// May run at most once.
    at_most_once,
    /// Answered by a stream of events; may run at most once unless its route
    /// permits resumption.
    stream
};

/// A service that receives a weighted share of a route's traffic.
struct weighted_service
{
    service_name service;
    double weight = 1;
    auto operator<=>(weighted_service const&) const = default;
};

/// Matches requests by host and path, and sets their services, time limits and
/// priority.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::at_most_once;
    /// Longest time from the arrival of a request to its final answer.
    duration timeout{std::chrono::seconds{60}};
    /// Latency up to which an answer, or a stream's first event, has its full
    /// value.
    duration target_latency{std::chrono::seconds{1}};
    /// Target of the longest pause between two events of a stream.
    duration target_pause{std::chrono::milliseconds{200}};
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<weighted_service> services;
    /// Most replicas that one request may run on.
    std::uint32_t max_attempts = 1;
    /// Whether requests are admitted without a key.
    bool needs_no_key = false;
    /// Whether streams may run more than once, so that they continue after a
    /// position on any replica.
    bool may_resume = false;
    auto operator<=>(route const&) const = default;
};

/// Properties of a service's replicas if they are model engines.
struct engine_traits
{
    /// Capacity of the KV cache for prompts and outputs, in tokens.
    double memory_tokens = 0;
    double bytes_per_token = 0;
    /// Bandwidth of a replica's link for migrations, in megabits per second.
    double link_mbps = 0;
    /// Whether running streams can be migrated to another replica.
    bool supports_migration = false;
    /// Whether a running stream can be copied to another replica while it runs.
    bool supports_backup = false;
    /// Tokens in one event of a stream.
    double tokens_per_event = 1;
    auto operator<=>(engine_traits const&) const = default;
};

/// A service whose replicas serve requests.
struct service
{
    service_name name;
    /// Most connections to one replica, from all daemons together.
    std::uint32_t max_connections = 0;
    std::optional<engine_traits> engine;
    /// Time for which a replica is cold after its start.
    duration warmup{0};
    /// Requests per second that a cold replica takes from all daemons together;
    /// 0 if there is no limit.
    double cold_rate = 0;
    auto operator<=>(service const&) const = default;
};

/// A customer and its API keys.
struct customer
{
    customer_id name;
    std::vector<std::string> keys;
    /// Overrides the route's priority.
    std::optional<int> priority;
    auto operator<=>(customer const&) const = default;
};

/// Size limits of callers' messages and timeouts of their connections.
struct caller_limits
{
    http::message_limits message;
    duration head_timeout{std::chrono::seconds{3}};
    duration idle_timeout{std::chrono::seconds{15}};
    auto operator<=>(caller_limits const&) const = default;
};

/// One version of the configuration.
struct routing_configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    /// If absent, requests need no keys.
    std::optional<std::vector<customer>> customers;
    caller_limits limits;
    auto operator<=>(routing_configuration const&) const = default;
};

/// Looks up the route, customer and service of a request.
class routing_table
{
public:
    explicit routing_table(routing_configuration configuration);

    /// The route of a host with the longest prefix of the path.
    [[nodiscard]] auto find_route(
        std::string_view host, std::string_view path) const -> route const*;

    /// The customer that holds a key.
    [[nodiscard]] auto find_customer(std::string_view key) const
        -> customer const*;

    [[nodiscard]] auto find_service(service_name const& name) const
        -> service const*;

    /// Whether a service has streams of several priorities, of which the less
    /// urgent ones have a much longer target latency.
    [[nodiscard]] auto has_tiered_targets(service_name const& name) const
        -> bool
    {
        return tiered_.contains(name);
    }

    [[nodiscard]] auto configuration() const -> routing_configuration const&
    {
        return configuration_;
    }

private:
    routing_configuration configuration_;
    /// Indices of each host's routes, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
    std::map<std::string, std::size_t, std::less<>> by_key_;
    std::map<service_name, std::size_t> by_service_;
    /// Services with tiered targets.
    std::set<service_name> tiered_;
};

} // namespace sapphirereel::relay

#endif
