/// \file
/// Defines typed changes to a configuration, the edit that groups them into one
/// atomic change, and the verdict on an edit.
#ifndef SAPPHIREREEL_CORE_CONFIGURATION_EDIT_HPP
#define SAPPHIREREEL_CORE_CONFIGURATION_EDIT_HPP

#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/finding.hpp"

#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sapphirereel {

/// Adds a group or replaces it, including its endpoints.
struct put_group
{
    group value;
    auto operator<=>(put_group const&) const = default;
};

/// Removes a group with its endpoints.
struct remove_group
{
    group_name name;
    auto operator<=>(remove_group const&) const = default;
};

/// Sets one label of a group.
struct set_group_label
{
    group_name name;
    std::string key;
    std::string value;
    auto operator<=>(set_group_label const&) const = default;
};

/// Removes one label of a group.
struct remove_group_label
{
    group_name name;
    std::string key;
    auto operator<=>(remove_group_label const&) const = default;
};

/// Adds an endpoint to a group.
struct add_endpoint
{
    group_name to;
    endpoint value;
    auto operator<=>(add_endpoint const&) const = default;
};

/// Removes an endpoint from its group.
struct remove_endpoint
{
    endpoint_id id;
    auto operator<=>(remove_endpoint const&) const = default;
};

/// Sets one label of an endpoint.
struct set_endpoint_label
{
    endpoint_id id;
    std::string key;
    std::string value;
    auto operator<=>(set_endpoint_label const&) const = default;
};

/// Removes one label of an endpoint.
struct remove_endpoint_label
{
    endpoint_id id;
    std::string key;
    auto operator<=>(remove_endpoint_label const&) const = default;
};

/// Adds or replaces a service.
struct put_service
{
    service value;
    auto operator<=>(put_service const&) const = default;
};

/// Removes a service.
struct remove_service
{
    service_name name;
    auto operator<=>(remove_service const&) const = default;
};

/// Adds or replaces a selector.
struct put_selector
{
    selector value;
    auto operator<=>(put_selector const&) const = default;
};

/// Removes a selector.
struct remove_selector
{
    selector_name name;
    auto operator<=>(remove_selector const&) const = default;
};

/// Sets a customer's share.
struct put_share
{
    customer_share value;
    auto operator<=>(put_share const&) const = default;
};

/// Removes a customer's share; the customer then gets the default weight.
struct remove_share
{
    customer_id customer;
    auto operator<=>(remove_share const&) const = default;
};

/// One change to a configuration.
using configuration_change = std::variant<
    put_group,
    remove_group,
    set_group_label,
    remove_group_label,
    add_endpoint,
    remove_endpoint,
    set_endpoint_label,
    remove_endpoint_label,
    put_service,
    remove_service,
    put_selector,
    remove_selector,
    put_share,
    remove_share>;

/// An operator's edit: its changes take effect all together or not at all.
struct configuration_edit
{
    /// Idempotency key chosen by the operator's client. An edit with an id that
    /// already has a verdict has no effect.
    edit_id id;
    /// Offset of the configuration that the edit was made against.
    log_offset based_on;
    std::string author;
    std::vector<configuration_change> changes;
    auto operator<=>(configuration_edit const&) const = default;
};

/// Decision on an edit.
enum class verdict_kind
{
    /// No verdict: not read back from the log yet, or not appended to it.
    pending,
    accepted,
    rejected
};

/// The verdict on an edit. `offset` is the edit's offset in the log; `reasons`
/// holds the errors of a rejected edit, and the warnings that an accepted edit
/// introduced.
struct edit_verdict
{
    verdict_kind kind = verdict_kind::pending;
    log_offset offset;
    findings reasons;
    auto operator<=>(edit_verdict const&) const = default;
};

/// Kinds of objects among which edits can conflict; each object is versioned on
/// its own.
enum class object_kind
{
    group,
    endpoint,
    service,
    selector,
    share
};

/// Identifies one object of a configuration.
struct object_key
{
    object_kind kind = object_kind::group;
    std::string name;
    auto operator<=>(object_key const&) const = default;
};

/// The name of a kind of object, as used in findings.
auto to_string(object_kind kind) -> std::string;

/// The objects that a change affects in this configuration. Replacing or
/// removing a group also affects its present and its new endpoints.
auto affected_objects(
    configuration const& config, configuration_change const& change)
    -> std::set<object_key>;

/// Applies the changes in order and returns the result, or a finding for each
/// change that cannot be applied, such as one that names a missing object. Does
/// not validate the result.
auto apply_changes(
    configuration config, std::vector<configuration_change> const& changes)
    -> result<configuration>;

/// Changes that turn configuration `from` into `to`; a changed group, service,
/// selector or share is replaced whole.
auto difference(configuration const& from, configuration const& to)
    -> std::vector<configuration_change>;

} // namespace sapphirereel

#endif
