#include "sapphirereel/core/configuration_check.hpp"

#include "sapphirereel/core/selector_matching.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <set>
#include <utility>

namespace sapphirereel {
namespace {

/// Longest name of an object, in bytes.
constexpr auto name_length_max = std::size_t{128};

/// Largest weight of a share.
constexpr auto weight_max = std::uint32_t{1'000'000};

auto is_name_character(char c) -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
           c == ':' || c == '/' || c == '@' || c == '+';
}

auto is_plain_name(std::string const& name) -> bool
{
    return !name.empty() && name.size() <= name_length_max &&
           std::all_of(name.begin(), name.end(), is_name_character);
}

auto is_ip_number(std::string const& ip) -> bool
{
    auto buffer = in6_addr{};
    return inet_pton(AF_INET, ip.c_str(), &buffer) == 1 ||
           inet_pton(AF_INET6, ip.c_str(), &buffer) == 1;
}

template <class Name>
auto overlaps(std::vector<Name> const& a, std::vector<Name> const& b) -> bool
{
    return a.empty() || b.empty() ||
           std::any_of(a.begin(), a.end(), [&](Name const& name) {
               return std::find(b.begin(), b.end(), name) != b.end();
           });
}

template <class Name>
auto covers(std::vector<Name> const& wide, std::vector<Name> const& narrow)
    -> bool
{
    if (wide.empty())
    {
        return true;
    }
    return !narrow.empty() &&
           std::all_of(narrow.begin(), narrow.end(), [&](Name const& name) {
               return std::find(wide.begin(), wide.end(), name) != wide.end();
           });
}

auto outranks(selector const& a, selector const& b) -> bool
{
    return a.precedence != b.precedence ? a.precedence > b.precedence
                                        : a.name < b.name;
}

/// Whether `wide` applies to every request that matches `narrow`, so that
/// `narrow` never does.
auto shadows(selector const& wide, selector const& narrow) -> bool
{
    return outranks(wide, narrow) && covers(wide.services, narrow.services) &&
           covers(wide.models, narrow.models) &&
           covers(wide.customers, narrow.customers);
}

/// Validates one configuration object by object and collects the findings.
class checker
{
public:
    explicit checker(configuration const& config)
        : config_(config)
    {}

    auto run() && -> findings
    {
        for (auto const& [name, definition] : config_.services)
        {
            check_service(name, definition);
        }
        for (auto const& [name, parent] : config_.groups)
        {
            check_group(name, parent);
        }
        check_models();
        for (auto const& [name, candidate] : config_.selectors)
        {
            check_selector(name, candidate);
        }
        check_selector_pairs();
        for (auto const& [customer, share] : config_.shares)
        {
            check_share(customer, share);
        }
        std::sort(found_.begin(), found_.end());
        return std::move(found_);
    }

private:
    auto error(std::string field, std::string message, std::string remedy)
        -> void
    {
        found_.push_back(
            {{object_, 0, std::move(field)},
             std::move(message),
             std::move(remedy),
             severity::error});
    }

    auto warning(std::string field, std::string message, std::string remedy)
        -> void
    {
        found_.push_back(
            {{object_, 0, std::move(field)},
             std::move(message),
             std::move(remedy),
             severity::warning});
    }

    template <class Name>
    auto begin_object(
        std::string const& kind, Name const& key, Name const& own_name) -> void
    {
        object_ = kind + " " + key.str();
        check_name("name", own_name.str());
        if (key != own_name)
        {
            error(
                "name", "the object is stored as '" + key.str() + "'",
                "use one name");
        }
    }

    auto check_name(std::string const& field, std::string const& name) -> void
    {
        if (!is_plain_name(name))
        {
            error(
                field, "'" + name + "' is no name",
                "use 1 to 128 of the characters a-z A-Z 0-9 - _ . : / @ +");
        }
    }

    auto check_labels(std::string const& field, label_map const& labels) -> void
    {
        for (auto const& [key, value] : labels)
        {
            auto where = field;
            where.append(".").append(key);
            check_name(where, key);
            check_name(where, value);
        }
    }

    auto check_service(service_name const& name, service const& definition)
        -> void
    {
        begin_object("service", name, definition.name);
        if (definition.kind == service_kind::engine &&
            definition.models.empty())
        {
            warning(
                "models", "an engine service without a model gets no request",
                "list the models that it answers for");
        }
        if (definition.kind == service_kind::plain &&
            !definition.models.empty())
        {
            error(
                "models", "a plain service has no models",
                "remove the models, or make the kind 'engine'");
        }
        if (definition.kind == service_kind::engine &&
            !definition.non_idempotent_methods.empty())
        {
            error(
                "non_idempotent_methods",
                "an engine service has no calls that may not be repeated",
                "remove the methods, or make the kind 'plain'");
        }
        for (auto const& model : definition.models)
        {
            check_name("models", model.str());
        }
        check_methods(definition);
    }

    auto check_methods(service const& definition) -> void
    {
        for (auto const& method : definition.non_idempotent_methods)
        {
            auto const upper =
                !method.empty() &&
                std::all_of(method.begin(), method.end(), [](char c) {
                    return c >= 'A' && c <= 'Z';
                });
            if (!upper)
            {
                error(
                    "non_idempotent_methods",
                    "'" + method + "' is no HTTP method",
                    "write it in capitals, as in POST");
            }
        }
    }

    /// Requests that name a model without a service go to every service that
    /// lists it, so a model listed twice gets a warning.
    auto check_models() -> void
    {
        auto owners = std::map<model_name, service_name>{};
        for (auto const& [name, definition] : config_.services)
        {
            object_ = "service " + name.str();
            for (auto const& model : definition.models)
            {
                auto const [owner, first] = owners.emplace(model, name);
                if (!first && owner->second != name)
                {
                    warning(
                        "models",
                        "the model '" + model.str() + "' is also listed by '" +
                            owner->second.str() + "'",
                        "list it once, or expect requests at both services");
                }
            }
        }
    }

    auto check_group(group_name const& name, group const& parent) -> void
    {
        begin_object("group", name, parent.name);
        check_labels("labels", parent.labels);
        if (!config_.services.contains(parent.service))
        {
            error(
                "service", "there is no service '" + parent.service.str() + "'",
                "add the service in the same edit, or correct the name");
        }
        if (parent.endpoints.empty())
        {
            warning(
                "endpoints", "the group has no endpoints",
                "add endpoints, or remove the group");
        }
        for (auto const& member : parent.endpoints)
        {
            check_endpoint(name, member);
        }
    }

    auto check_endpoint(group_name const& parent, endpoint const& member)
        -> void
    {
        object_ = "endpoint " + member.id.str();
        check_name("id", member.id.str());
        check_name("zone", member.zone.str());
        check_labels("labels", member.labels);
        if (!is_ip_number(member.address.ip))
        {
            error(
                "address", "'" + member.address.ip + "' is no IP number",
                "write an IPv4 or IPv6 number; names are not looked up");
        }
        if (member.address.port == 0)
        {
            error("address", "port 0 cannot be connected to", "name the port");
        }
        auto const [same_id, new_id] = ids_.emplace(member.id, parent);
        if (!new_id)
        {
            error(
                "id",
                "the id is also used in group '" + same_id->second.str() + "'",
                "give each endpoint its own id");
        }
        auto const [same, is_new] =
            addresses_.emplace(member.address, member.id);
        if (!is_new)
        {
            error(
                "address",
                "the address is also that of '" + same->second.str() + "'",
                "give each endpoint its own address");
        }
    }

    auto check_selector(selector_name const& name, selector const& candidate)
        -> void
    {
        begin_object("selector", name, candidate.name);
        check_selected_services(candidate);
        check_selected_models(candidate);
        for (auto const& customer : candidate.customers)
        {
            check_name("customers", customer.str());
        }
        auto keys = std::set<std::string>{};
        for (auto const& requirement : candidate.requirements)
        {
            check_name("requirements", requirement.key);
            if (!keys.insert(requirement.key).second)
            {
                warning(
                    "requirements." + requirement.key,
                    "the label is required twice; both must hold",
                    "write one requirement with the allowed values");
            }
        }
        if (!selects_endpoint(candidate))
        {
            warning(
                "requirements",
                "the selector matches no endpoint; its requests are refused",
                "label endpoints as required, or change the requirements");
        }
    }

    auto check_selected_services(selector const& candidate) -> void
    {
        for (auto const& name : candidate.services)
        {
            if (!config_.services.contains(name))
            {
                error(
                    "services", "there is no service '" + name.str() + "'",
                    "add the service in the same edit, or correct the name");
            }
        }
    }

    auto check_selected_models(selector const& candidate) -> void
    {
        for (auto const& model : candidate.models)
        {
            auto const listed = std::any_of(
                config_.services.begin(), config_.services.end(),
                [&](auto const& entry) {
                    auto const& models = entry.second.models;
                    return overlaps(candidate.services, {entry.first}) &&
                           std::find(models.begin(), models.end(), model) !=
                               models.end();
                });
            if (!listed)
            {
                warning(
                    "models",
                    "no service that it selects lists the model '" +
                        model.str() + "'",
                    "list the model at the service, or correct the name");
            }
        }
    }

    [[nodiscard]] auto selects_endpoint(selector const& candidate) const -> bool
    {
        return std::any_of(
            config_.groups.begin(), config_.groups.end(),
            [&](auto const& entry) {
                auto const& parent = entry.second;
                return overlaps(candidate.services, {parent.service}) &&
                       std::any_of(
                           parent.endpoints.begin(), parent.endpoints.end(),
                           [&](auto const& member) {
                               return meets(candidate, parent, member);
                           });
            });
    }

    [[nodiscard]] static auto meets(
        selector const& candidate, group const& parent, endpoint const& member)
        -> bool
    {
        auto const labels = effective_labels(parent, member);
        return std::none_of(
            candidate.requirements.begin(), candidate.requirements.end(),
            [&](auto const& requirement) {
                return internal::requirement_mismatch(requirement, labels)
                    .has_value();
            });
    }

    auto check_selector_pairs() -> void
    {
        for (auto const& [name, candidate] : config_.selectors)
        {
            object_ = "selector " + name.str();
            for (auto const& [other_name, other] : config_.selectors)
            {
                if (name != other_name)
                {
                    check_selector_pair(candidate, other);
                }
            }
        }
    }

    auto check_selector_pair(selector const& candidate, selector const& other)
        -> void
    {
        auto const shadowed = shadows(other, candidate);
        if (shadowed)
        {
            warning(
                "precedence",
                "the selector never stands: '" + other.name.str() +
                    "' takes all of its requests",
                "raise its precedence, or remove it");
            return;
        }
        auto const ambiguous = candidate.precedence == other.precedence &&
                               candidate.name < other.name &&
                               overlaps(candidate.services, other.services) &&
                               overlaps(candidate.models, other.models) &&
                               overlaps(candidate.customers, other.customers) &&
                               !shadows(candidate, other);
        if (ambiguous)
        {
            warning(
                "precedence",
                "at the same precedence as '" + other.name.str() +
                    "', which matches some of the same requests; the first by "
                    "name stands",
                "give them different precedences");
        }
    }

    auto check_share(customer_id const& customer, customer_share const& share)
        -> void
    {
        begin_object("share", customer, share.customer);
        if (share.weight == 0 || share.weight > weight_max)
        {
            error(
                "weight",
                "the weight " + std::to_string(share.weight) +
                    " is out of range",
                "use 1 to 1000000");
        }
    }

    configuration const& config_;
    findings found_;
    std::string object_;
    std::map<endpoint_id, group_name> ids_;
    std::map<socket_address, endpoint_id> addresses_;
};

} // namespace

auto check_configuration(configuration const& config) -> findings
{
    return checker{config}.run();
}

auto has_errors(findings const& found) -> bool
{
    return std::any_of(found.begin(), found.end(), [](auto const& one) {
        return one.level == severity::error;
    });
}

} // namespace sapphirereel
