/// \file
/// Defines the routing of a request: the selector that applies to it, the
/// endpoints that are eligible, and the reason why each other selector and
/// endpoint was skipped.
#ifndef SAPPHIREREEL_CORE_SELECTOR_MATCHING_HPP
#define SAPPHIREREEL_CORE_SELECTOR_MATCHING_HPP

#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/request.hpp"

#include <optional>
#include <string>
#include <vector>

namespace sapphirereel {

/// Reason why a selector does not apply to a request.
enum class selector_skip_reason
{
    other_service,
    other_model,
    other_customer,
    /// It matches, but one with a higher precedence applies.
    lower_precedence,
    /// It matches with the same precedence, but another comes first by name.
    later_name
};

/// Reason why an endpoint is not eligible for a request.
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

/// A selector that does not apply.
struct skipped_selector
{
    selector_name name;
    selector_skip_reason reason = selector_skip_reason::other_service;
    auto operator<=>(skipped_selector const&) const = default;
};

/// An endpoint that is not eligible, with the label that excluded it, if any.
struct skipped_endpoint
{
    endpoint_id id;
    endpoint_skip_reason reason = endpoint_skip_reason::other_service;
    std::string label;
    auto operator<=>(skipped_endpoint const&) const = default;
};

/// An endpoint to which a request may be sent, with the capabilities of its
/// service.
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

/// Eligible endpoints of a request and the reasons for their choice. Endpoints
/// are ordered by id, selectors by name.
struct routing
{
    /// The services that the request addresses: the one it names or, if it
    /// names none, every engine service that lists its model.
    std::vector<service_name> services;
    /// The selector that applies. Without one the whole service is eligible.
    std::optional<selector_name> selector;
    std::vector<eligible_endpoint> endpoints;
    std::vector<skipped_selector> skipped_selectors;
    std::vector<skipped_endpoint> skipped_endpoints;
    /// The reason why no endpoint is eligible; empty if one is.
    findings problems;
    auto operator<=>(routing const&) const = default;
};

/// Labels of an endpoint: its own, which override those of its group.
auto effective_labels(group const& parent, endpoint const& member) -> label_map;

/// Routes a request. With no matching selector every endpoint of the service is
/// eligible. If the selector that applies leaves no endpoint, there is no
/// fallback to the next selector: `endpoints` is empty and `problems` holds the
/// reason.
/// Example: `match(config, {service_name{"lm"}, model_name{"m"}, {}})`.
auto match(configuration const& config, request_facts const& request)
    -> routing;

namespace internal {

/// The reason why the labels do not meet the requirement, or nothing if they
/// do.
auto requirement_mismatch(
    label_requirement const& requirement, label_map const& labels)
    -> std::optional<endpoint_skip_reason>;

} // namespace internal
} // namespace sapphirereel

#endif
