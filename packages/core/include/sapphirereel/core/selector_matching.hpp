/// \file
/// Defines which selector stands for a request, which endpoints it may use,
/// and why every other selector and endpoint was passed over.
#ifndef SAPPHIREREEL_CORE_SELECTOR_MATCHING_HPP
#define SAPPHIREREEL_CORE_SELECTOR_MATCHING_HPP

#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/request.hpp"

#include <optional>
#include <string>
#include <vector>

namespace sapphirereel {

/// Why a selector does not stand for a request.
enum class selector_skip_reason
{
    other_service,
    other_model,
    other_customer,
    /// It matches, but one of higher precedence stands.
    lower_precedence,
    /// It matches at the same precedence, but another is first by name.
    later_name
};

/// Why an endpoint may not be used for a request.
enum class endpoint_skip_reason
{
    other_service,
    /// A label that the selector requires is absent.
    label_absent,
    /// A label has a value that the selector does not allow.
    label_differs,
    /// A label is present that the selector requires to be absent.
    label_present
};

/// A selector that was passed over.
struct skipped_selector
{
    selector_name name;
    selector_skip_reason reason = selector_skip_reason::other_service;
    auto operator<=>(skipped_selector const&) const = default;
};

/// An endpoint that was passed over, with the label that ruled it out.
struct skipped_endpoint
{
    endpoint_id id;
    endpoint_skip_reason reason = endpoint_skip_reason::other_service;
    std::string label;
    auto operator<=>(skipped_endpoint const&) const = default;
};

/// An endpoint that a request may use, with what its service can be trusted
/// with.
struct eligible_endpoint
{
    endpoint_id id;
    socket_address address;
    zone_name zone;
    service_name service;
    service_kind kind = service_kind::plain;
    bool checks_fencing = false;
    bool resumes_prefix = false;
    auto operator<=>(eligible_endpoint const&) const = default;
};

/// Where a request may go and why. Endpoints are ordered by id, passed-over
/// selectors by name and endpoints by id.
struct routing
{
    /// The services that the request addresses: the one it names, or the
    /// engine services that list its model when it names none.
    std::vector<service_name> services;
    /// The selector that stands; none: the whole service is eligible.
    std::optional<selector_name> selector;
    std::vector<eligible_endpoint> endpoints;
    std::vector<skipped_selector> skipped_selectors;
    std::vector<skipped_endpoint> skipped_endpoints;
    /// Why no endpoint is eligible; empty when one is.
    findings problems;
    auto operator<=>(routing const&) const = default;
};

/// Labels of an endpoint: its own over those of its group.
auto effective_labels(group const& parent, endpoint const& member) -> label_map;

/// Routes a request. With no matching selector every endpoint of the service
/// is eligible. A selector that stands but leaves no endpoint is not passed
/// over for the next one: the request has none, and `problems` says so.
/// Example: `match(config, {service_name{"lm"}, model_name{"m"}, {}})`.
auto match(configuration const& config, request_facts const& request)
    -> routing;

namespace internal {

/// Why the labels do not meet the requirement, or nothing when they do.
auto requirement_mismatch(
    label_requirement const& requirement, label_map const& labels)
    -> std::optional<endpoint_skip_reason>;

} // namespace internal
} // namespace sapphirereel

#endif
