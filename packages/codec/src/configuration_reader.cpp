#include "configuration_reader.hpp"

#include <charconv>
#include <optional>

namespace sapphirereel::internal {
namespace {

auto parse_port(std::string_view text) -> std::optional<std::uint16_t>
{
    auto port = std::uint16_t{0};
    auto const* end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, port);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional{port}
                                                         : std::nullopt;
}

/// Removes the brackets of an IPv6 number.
auto bare_ip(std::string const& ip) -> std::string
{
    auto const bracketed =
        ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    return bracketed ? ip.substr(1, ip.size() - 2) : ip;
}

auto read_address(json const& from, json_place const& where, findings& found)
    -> socket_address
{
    auto const text = read_string(from, where, found);
    auto const colon = text.rfind(':');
    auto const port =
        colon == std::string::npos
            ? std::nullopt
            : parse_port(std::string_view{text}.substr(colon + 1));
    if (!port)
    {
        note(
            found, where, "'" + text + "' is no address",
            "write it as in 10.0.0.7:8000 or [fd00::7]:8000");
        return {};
    }
    return {bare_ip(text.substr(0, colon)), *port};
}

auto read_labels(json const& from, json_place const& where, findings& found)
    -> label_map
{
    auto labels = label_map{};
    if (!from.is_object())
    {
        note(
            found, where, "labels are wanted here",
            "write {\"key\":\"value\"}");
        return labels;
    }
    for (auto const& [key, value] : from.items())
    {
        labels.emplace(key, read_string(value, where.at(key), found));
    }
    return labels;
}

template <class Name>
auto read_names(json const& from, json_place const& where, findings& found)
    -> std::vector<Name>
{
    return read_list(from, where, found, read_name<Name>);
}

auto read_strings(json const& from, json_place const& where, findings& found)
    -> std::vector<std::string>
{
    return read_list(from, where, found, read_string);
}

auto read_requirement(
    json const& from, json_place const& where, findings& found)
    -> label_requirement
{
    auto reader = object_reader{from, where, found};
    auto value = label_requirement{};
    value.key = reader.required("key", read_string);
    value.values =
        reader.optional("values", read_strings, std::vector<std::string>{});
    reader.finish();
    return value;
}

auto read_endpoints(json const& from, json_place const& where, findings& found)
    -> std::vector<endpoint>
{
    return read_list(from, where, found, read_endpoint);
}

/// Reads a list of objects into a map by their own names.
template <class Map, class Reader, class Key>
auto read_objects(
    json const& from,
    json_place const& where,
    findings& found,
    Reader read,
    Key key_of) -> Map
{
    auto objects = Map{};
    for (auto& value : read_list(from, where, found, read))
    {
        auto const key = key_of(value);
        if (!objects.emplace(key, std::move(value)).second)
        {
            note(
                found, where, "'" + key.str() + "' stands here twice",
                "give each object its own name");
        }
    }
    return objects;
}

auto read_groups(json const& from, json_place const& where, findings& found)
    -> std::map<group_name, group>
{
    return read_objects<std::map<group_name, group>>(
        from, where, found, read_group, [](auto const& g) { return g.name; });
}

auto read_services(json const& from, json_place const& where, findings& found)
    -> std::map<service_name, service>
{
    return read_objects<std::map<service_name, service>>(
        from, where, found, read_service, [](auto const& s) { return s.name; });
}

auto read_selectors(json const& from, json_place const& where, findings& found)
    -> std::map<selector_name, selector>
{
    return read_objects<std::map<selector_name, selector>>(
        from, where, found, read_selector,
        [](auto const& s) { return s.name; });
}

/// Shares stand as weights by customer, since there may be thousands.
auto read_shares(json const& from, json_place const& where, findings& found)
    -> std::map<customer_id, customer_share>
{
    auto shares = std::map<customer_id, customer_share>{};
    if (!from.is_object())
    {
        note(found, where, "weights by customer are wanted", "write {...}");
        return shares;
    }
    for (auto const& [name, weight] : from.items())
    {
        auto const customer = customer_id{name};
        auto const number =
            read_number<std::uint32_t>(weight, where.at(name), found);
        shares[customer] = {customer, number};
    }
    return shares;
}

} // namespace

auto read_endpoint(json const& from, json_place const& where, findings& found)
    -> endpoint
{
    auto reader = object_reader{from, where, found};
    auto value = endpoint{};
    value.id = reader.required("id", read_name<endpoint_id>);
    value.address = reader.required("address", read_address);
    value.zone = reader.required("zone", read_name<zone_name>);
    value.labels = reader.optional("labels", read_labels, label_map{});
    reader.finish();
    return value;
}

auto read_group(json const& from, json_place const& where, findings& found)
    -> group
{
    auto reader = object_reader{from, where, found};
    auto value = group{};
    value.name = reader.required("name", read_name<group_name>);
    value.service = reader.required("service", read_name<service_name>);
    value.labels = reader.optional("labels", read_labels, label_map{});
    value.endpoints =
        reader.optional("endpoints", read_endpoints, std::vector<endpoint>{});
    reader.finish();
    return value;
}

auto read_service(json const& from, json_place const& where, findings& found)
    -> service
{
    auto reader = object_reader{from, where, found};
    auto value = service{};
    value.name = reader.required("name", read_name<service_name>);
    value.kind = reader.required("kind", read_enum<service_kind>);
    value.models = reader.optional(
        "models", read_names<model_name>, std::vector<model_name>{});
    value.non_idempotent_methods = reader.optional(
        "non_idempotent_methods", read_strings, std::vector<std::string>{});
    value.checks_fencing = reader.optional("checks_fencing", read_flag, false);
    value.resumes_prefix = reader.optional("resumes_prefix", read_flag, false);
    reader.finish();
    return value;
}

auto read_selector(json const& from, json_place const& where, findings& found)
    -> selector
{
    auto reader = object_reader{from, where, found};
    auto value = selector{};
    value.name = reader.required("name", read_name<selector_name>);
    value.precedence = reader.optional(
        "precedence", read_number<std::int32_t>, std::int32_t{0});
    value.services = reader.optional(
        "services", read_names<service_name>, std::vector<service_name>{});
    value.models = reader.optional(
        "models", read_names<model_name>, std::vector<model_name>{});
    value.customers = reader.optional(
        "customers", read_names<customer_id>, std::vector<customer_id>{});
    auto const read_requirements = [](json const& list, json_place const& at,
                                      findings& notes) {
        return read_list(list, at, notes, read_requirement);
    };
    value.requirements = reader.optional(
        "requirements", read_requirements, std::vector<label_requirement>{});
    reader.finish();
    return value;
}

auto read_share(json const& from, json_place const& where, findings& found)
    -> customer_share
{
    auto reader = object_reader{from, where, found};
    auto value = customer_share{};
    value.customer = reader.required("customer", read_name<customer_id>);
    value.weight = reader.required("weight", read_number<std::uint32_t>);
    reader.finish();
    return value;
}

auto read_configuration(
    json const& from, json_place const& where, findings& found) -> configuration
{
    auto reader = object_reader{from, where, found};
    auto value = configuration{};
    value.groups = reader.optional("groups", read_groups, value.groups);
    value.services = reader.optional("services", read_services, value.services);
    value.selectors =
        reader.optional("selectors", read_selectors, value.selectors);
    value.shares = reader.optional("shares", read_shares, value.shares);
    reader.finish();
    return value;
}

} // namespace sapphirereel::internal
