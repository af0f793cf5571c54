/// \file
/// Defines the configuration that requests are routed by, and the table that
/// is built from it. Immutable: a new version makes a new table.
#ifndef SAPPHIREREEL_RELAY_ROUTING_HPP
#define SAPPHIREREEL_RELAY_ROUTING_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/http/request_parser.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::relay {

/// How often a request may run, and how its answer comes.
enum class request_kind
{
    /// May run more than once.
    idempotent,
    /// May run once at most.
    at_most_once,
    /// Answered by events; may run once at most.
    stream
};

/// A service among those that share a route's traffic.
struct weighted_service
{
    service_name service;
    double weight = 1;
    auto operator<=>(weighted_service const&) const = default;
};

/// Which requests go where, and what is promised of them.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::at_most_once;
    /// Longest time from the arrival of a request to its final answer.
    duration timeout{std::chrono::seconds{60}};
    /// Time within which an answer is worth most; of a stream, its first event.
    duration target_latency{std::chrono::seconds{1}};
    /// Longest pause between events of a stream that is still on time.
    duration target_pause{std::chrono::milliseconds{200}};
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<weighted_service> services;
    /// Most replicas that one request may run on.
    std::uint32_t max_attempts = 1;
    /// Whether requests need no key.
    bool needs_no_key = false;
    auto operator<=>(route const&) const = default;
};

/// What a service's replicas are, where they are model engines.
struct engine_traits
{
    /// Memory for prompts and outputs, in tokens.
    double memory_tokens = 0;
    double bytes_per_token = 0;
    /// Speed of a replica's link for moving memory, in megabits a second.
    double link_mbps = 0;
    /// Whether running streams can be moved to another replica.
    bool supports_migration = false;
    /// Whether a running stream can be copied to another replica as it grows.
    bool supports_backup = false;
    /// Tokens in one event of a stream.
    double tokens_per_event = 1;
    auto operator<=>(engine_traits const&) const = default;
};

/// A service that requests are sent to.
struct service
{
    service_name name;
    /// Most connections to one replica, from all daemons together.
    std::uint32_t max_connections = 0;
    std::optional<engine_traits> engine;
    auto operator<=>(service const&) const = default;
};

/// A customer and the keys that stand for it.
struct customer
{
    customer_id name;
    std::vector<std::string> keys;
    /// Takes precedence over the route's priority, if present.
    std::optional<int> priority;
    auto operator<=>(customer const&) const = default;
};

/// What callers may send and how long they may take.
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
    /// Without a list, requests carry no keys.
    std::optional<std::vector<customer>> customers;
    caller_limits limits;
    auto operator<=>(routing_configuration const&) const = default;
};

/// Finds the route and the customer of a request.
class routing_table
{
public:
    explicit routing_table(routing_configuration configuration);

    /// The route of a host with the longest prefix that begins the path.
    [[nodiscard]] auto find_route(
        std::string_view host, std::string_view path) const -> route const*;

    /// The customer that holds a key.
    [[nodiscard]] auto find_customer(std::string_view key) const
        -> customer const*;

    [[nodiscard]] auto find_service(service_name const& name) const
        -> service const*;

    [[nodiscard]] auto configuration() const -> routing_configuration const&
    {
        return configuration_;
    }

private:
    routing_configuration configuration_;
    /// Routes of a host, those with the longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
    std::map<std::string, std::size_t, std::less<>> by_key_;
    std::map<service_name, std::size_t> by_service_;
};

} // namespace sapphirereel::relay

#endif
