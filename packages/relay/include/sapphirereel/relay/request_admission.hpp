/// \file
/// Defines a caller's request and its admission: whether it is served, and with
/// which route, customer and deadline.
#ifndef SAPPHIREREEL_RELAY_REQUEST_ADMISSION_HPP
#define SAPPHIREREEL_RELAY_REQUEST_ADMISSION_HPP

#include "sapphirereel/http/message.hpp"
#include "sapphirereel/relay/routing.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace sapphirereel::relay {

/// Size of the requested generation, in tokens.
struct generation_size
{
    double prompt = 0;
    double most_output = 0;
    /// The caller's own estimate of the output, if it gave one.
    std::optional<double> hinted_output;
    auto operator<=>(generation_size const&) const = default;
};

/// A caller's request.
struct caller_request
{
    /// Distinguishes the attempts of a caller.
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    std::string credential;
    /// Time for which the caller waits, if the request states it.
    std::optional<duration> caller_timeout;
    std::optional<generation_size> generation;
    /// The parts of the prompt that other requests may share, in order. The
    /// last part of a prompt belongs to the request itself and is left out.
    std::vector<digest> prompt_parts;
    /// Header fields to forward unchanged.
    http::field_list forwarded;
    std::string body;
    /// Number of the last event that the caller has received of the stream that
    /// it resumes.
    std::optional<std::uint64_t> last_event = std::nullopt;
    /// What is wrong with the position that the caller sent, if it can't be
    /// read.
    std::optional<std::string> position_error = std::nullopt;
    auto operator<=>(caller_request const&) const = default;
};

/// Why a request is refused.
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
    crashes_replicas,
    /// All replicas of the service have asked for a backoff.
    replicas_busy,
    /// The replicas of the service take no more requests now, by the limits
    /// that they state.
    replicas_limited,
    /// All replicas of the service are in evacuated zones.
    zone_evacuated
};

inline constexpr auto count_of_refusal_reasons =
    static_cast<std::size_t>(refusal_reason::zone_evacuated) + 1;

/// The name of a reason in logs and metrics.
auto name_of(refusal_reason reason) -> std::string_view;

/// The refusal of a request that has not run on any replica.
struct refusal
{
    refusal_reason reason = refusal_reason::no_route;
    int status = 503;
    /// Delay after which the caller should retry.
    std::optional<duration> retry_after;
    auto operator<=>(refusal const&) const = default;
};

/// The terms on which a request is served. Owns a share of the table that
/// `route` points into.
struct grant
{
    std::shared_ptr<routing_table const> table;
    relay::route const* route = nullptr;
    /// The customer whose key the request carries; none if the route needs no
    /// key.
    std::optional<customer_id> customer;
    /// Time by which the final answer must be sent.
    time_point deadline;
    /// The customer's priority, or the route's; 0 is the most urgent.
    int priority = 0;
    /// The part of its prompt that the request tries, to see whether it still
    /// crashes replicas.
    std::optional<digest> trial_part = std::nullopt;
    /// Whether a peer has forwarded the request, so that it is not forwarded
    /// again.
    bool is_forwarded = false;
    /// Most attempts for the request: the route's, or what the peer that has
    /// forwarded it permits of them.
    std::uint32_t max_attempts = 1;
};

/// Admits or refuses a request by the configuration in force; `table` is null
/// until the first configuration arrives.
auto admit(
    std::shared_ptr<routing_table const> const& table,
    caller_request const& request,
    time_point now) -> tl::expected<grant, refusal>;

} // namespace sapphirereel::relay

#endif
