/// \file
/// Defines the values of a configuration: labelled groups of endpoints,
/// services, selectors and customers' shares. See configuration_log.hpp for
/// changes and selector_matching.hpp for the meaning of selectors.
#ifndef SAPPHIREREEL_CORE_CONFIGURATION_HPP
#define SAPPHIREREEL_CORE_CONFIGURATION_HPP

#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/log_record.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphirereel {

/// Labels of a group or endpoint, by key.
using label_map = std::map<std::string, std::string>;

/// A TCP address with a numeric IP address.
struct socket_address
{
    std::string ip;
    std::uint16_t port = 0;
    auto operator<=>(socket_address const&) const = default;
};

/// Kind of a service's endpoints: inference engines or plain HTTP servers.
enum class service_kind
{
    engine,
    plain
};

/// One endpoint of a group.
struct endpoint
{
    endpoint_id id;
    socket_address address;
    zone_name zone;
    label_map labels;
    auto operator<=>(endpoint const&) const = default;
};

/// A labelled group of endpoints that serve one service. An endpoint's own
/// labels override those of its group.
struct group
{
    group_name name;
    service_name service;
    label_map labels;
    std::vector<endpoint> endpoints;
    auto operator<=>(group const&) const = default;
};

/// A service and the capabilities of its endpoints.
struct service
{
    service_name name;
    service_kind kind = service_kind::plain;
    /// Models that an engine service serves.
    std::vector<model_name> models;
    /// HTTP methods whose calls must not be repeated; only for a plain service.
    std::vector<std::string> non_idempotent_methods;
    /// Whether the endpoints reject a request with an old fencing token.
    bool checks_fencing = false;
    /// Whether an engine can continue a generation from given output tokens.
    bool resumes_prefix = false;
    auto operator<=>(service const&) const = default;
};

/// Requires one label to have an allowed value, or to be absent if `values` is
/// empty.
struct label_requirement
{
    std::string key;
    std::vector<std::string> values;
    auto operator<=>(label_requirement const&) const = default;
};

/// Routes the requests that match `services`, `models` and `customers` to the
/// endpoints whose labels meet all requirements. An empty list matches every
/// request. Of several selectors that match a request the one with the highest
/// precedence applies, and among equals the first by name.
struct selector
{
    selector_name name;
    std::int32_t precedence = 0;
    std::vector<service_name> services;
    std::vector<model_name> models;
    std::vector<customer_id> customers;
    std::vector<label_requirement> requirements;
    auto operator<=>(selector const&) const = default;
};

/// A customer's share of a service's capacity, as a weight relative to those of
/// other customers.
struct customer_share
{
    customer_id customer;
    std::uint32_t weight = 1;
    auto operator<=>(customer_share const&) const = default;
};

/// The configuration that results from all accepted edits up to one offset of
/// the log.
struct configuration
{
    std::map<group_name, group> groups;
    std::map<service_name, service> services;
    std::map<selector_name, selector> selectors;
    std::map<customer_id, customer_share> shares;
    auto operator<=>(configuration const&) const = default;
};

} // namespace sapphirereel

#endif
