/// \file
/// Defines what a request of a caller says, and the decision whether and under
/// which terms it is served.
#ifndef SAPPHIREREEL_RELAY_REQUEST_ADMISSION_HPP
#define SAPPHIREREEL_RELAY_REQUEST_ADMISSION_HPP

#include "sapphirereel/http/message.hpp"
#include "sapphirereel/relay/routing.hpp"

#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace sapphirereel::relay {

/// What a request says of the generation that it asks for, in tokens.
struct generation_size
{
    double prompt = 0;
    double most_output = 0;
    /// The caller's own estimate of the output, if it gave one.
    std::optional<double> hinted_output;
    auto operator<=>(generation_size const&) const = default;
};

/// A request of a caller.
struct caller_request
{
    /// Differs for each attempt of a caller.
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    std::string credential;
    /// How long the caller waits, if it says so.
    std::optional<duration> caller_timeout;
    std::optional<generation_size> generation;
    /// Fields to forward as they came.
    http::field_list forwarded;
    std::string body;
    auto operator<=>(caller_request const&) const = default;
};

/// Why a request is not served.
enum class refusal_reason
{
    no_configuration,
    no_route,
    unknown_key,
    no_replica,
    overload,
    retry_budget,
    deadline,
    stopping,
    crashes_replicas
};

/// The name of a reason in logs and metrics.
auto name_of(refusal_reason reason) -> std::string_view;

/// A request that is not served and has not run.
struct refusal
{
    refusal_reason reason = refusal_reason::no_route;
    int status = 503;
    /// When the caller should come back.
    std::optional<duration> retry_after;
    auto operator<=>(refusal const&) const = default;
};

/// The terms under which a request is served. Keeps the table alive whose
/// route it points to.
struct grant
{
    std::shared_ptr<routing_table const> table;
    relay::route const* route = nullptr;
    /// The customer whose key the request carries; none where the route needs
    /// no key.
    std::optional<customer_id> customer;
    /// When the request must have its final answer.
    time_point deadline;
};

/// Decides by the configuration in force; `table` is null before the first.
auto admit(
    std::shared_ptr<routing_table const> const& table,
    caller_request const& request,
    time_point now) -> tl::expected<grant, refusal>;

} // namespace sapphirereel::relay

#endif
