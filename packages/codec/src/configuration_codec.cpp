#include "sapphirereel/codec/configuration_codec.hpp"

#include "configuration_reader.hpp"

#include <utility>

namespace sapphirereel {
namespace {

using internal::json_place;
using nlohmann::json;

auto format_address(socket_address const& address) -> std::string
{
    auto const is_v6 = address.ip.find(':') != std::string::npos;
    auto const ip = is_v6 ? "[" + address.ip + "]" : address.ip;
    return ip + ":" + std::to_string(address.port);
}

/// Writes a field unless it is empty.
template <class Container>
auto put_filled(json& to, char const* key, Container const& value) -> void
{
    if (!value.empty())
    {
        to[key] = value;
    }
}

template <class Map>
auto values_of(Map const& objects) -> json
{
    auto list = json::array();
    for (auto const& [name, value] : objects)
    {
        list.push_back(value);
    }
    return list;
}

auto weights_of(std::map<customer_id, customer_share> const& shares) -> json
{
    auto weights = json::object();
    for (auto const& [customer, share] : shares)
    {
        weights[customer.str()] = share.weight;
    }
    return weights;
}

auto change_json(put_group const& c) -> json
{
    return {{"change", "put_group"}, {"group", c.value}};
}

auto change_json(remove_group const& c) -> json
{
    return {{"change", "remove_group"}, {"group", c.name}};
}

auto change_json(set_group_label const& c) -> json
{
    return {
        {"change", "set_group_label"},
        {"group", c.name},
        {"key", c.key},
        {"value", c.value}};
}

auto change_json(remove_group_label const& c) -> json
{
    return {
        {"change", "remove_group_label"}, {"group", c.name}, {"key", c.key}};
}

auto change_json(add_endpoint const& c) -> json
{
    return {{"change", "add_endpoint"}, {"group", c.to}, {"endpoint", c.value}};
}

auto change_json(remove_endpoint const& c) -> json
{
    return {{"change", "remove_endpoint"}, {"endpoint", c.id}};
}

auto change_json(set_endpoint_label const& c) -> json
{
    return {
        {"change", "set_endpoint_label"},
        {"endpoint", c.id},
        {"key", c.key},
        {"value", c.value}};
}

auto change_json(remove_endpoint_label const& c) -> json
{
    return {
        {"change", "remove_endpoint_label"},
        {"endpoint", c.id},
        {"key", c.key}};
}

auto change_json(put_service const& c) -> json
{
    return {{"change", "put_service"}, {"service", c.value}};
}

auto change_json(remove_service const& c) -> json
{
    return {{"change", "remove_service"}, {"service", c.name}};
}

auto change_json(put_selector const& c) -> json
{
    return {{"change", "put_selector"}, {"selector", c.value}};
}

auto change_json(remove_selector const& c) -> json
{
    return {{"change", "remove_selector"}, {"selector", c.name}};
}

auto change_json(put_share const& c) -> json
{
    return {{"change", "put_share"}, {"share", c.value}};
}

auto change_json(remove_share const& c) -> json
{
    return {{"change", "remove_share"}, {"customer", c.customer}};
}

auto record_json(configuration_edit const& edit) -> json
{
    return {{"edit", edit}};
}

auto record_json(configuration_snapshot const& snapshot) -> json
{
    return {{"snapshot", snapshot}};
}

auto record_json(malformed_record const& record) -> json
{
    return {{"malformed", record.reasons}};
}

auto read_record(json const& from, json_place const& where, findings& found)
    -> configuration_record
{
    auto reader = internal::object_reader{from, where, found};
    auto record = configuration_record{};
    if (reader.has("snapshot"))
    {
        record = reader.required("snapshot", internal::read_snapshot);
    }
    else
    {
        record = reader.required("edit", internal::read_edit);
    }
    reader.finish();
    return record;
}

auto read_changes(json const& from, json_place const& where, findings& found)
    -> std::vector<configuration_change>
{
    if (from.is_array())
    {
        return internal::read_list(from, where, found, internal::read_change);
    }
    auto reader = internal::object_reader{from, where, found};
    auto const read = [](json const& list, json_place const& at,
                         findings& notes) {
        return internal::read_list(list, at, notes, internal::read_change);
    };
    auto changes = reader.required("changes", read);
    reader.finish();
    return changes;
}

/// Reads one object or a list of them.
template <class Reader>
auto one_or_more(Reader read)
{
    return [read](json const& from, json_place const& where, findings& found) {
        if (from.is_array())
        {
            return internal::read_list(from, where, found, read);
        }
        return std::vector{read(from, where, found)};
    };
}

/// Reads a value for nlohmann::json, which wants exceptions.
template <class Reader>
auto read_or_throw(json const& from, Reader read)
{
    auto found = findings{};
    auto value = read(from, json_place{}, found);
    if (!found.empty())
    {
        auto const& first = found.front();
        throw json::other_error::create(
            unknown_name_error, first.where.field + ": " + first.message,
            &from);
    }
    return value;
}

} // namespace

auto to_json(json& to, endpoint const& from) -> void
{
    to = {
        {"id", from.id},
        {"address", format_address(from.address)},
        {"zone", from.zone}};
    put_filled(to, "labels", from.labels);
}

auto to_json(json& to, group const& from) -> void
{
    to = {{"name", from.name}, {"service", from.service}};
    put_filled(to, "labels", from.labels);
    put_filled(to, "endpoints", from.endpoints);
}

auto to_json(json& to, service const& from) -> void
{
    to = {
        {"name", from.name},
        {"kind", from.kind},
        {"checks_fencing", from.checks_fencing},
        {"resumes_prefix", from.resumes_prefix}};
    put_filled(to, "models", from.models);
    put_filled(to, "non_idempotent_methods", from.non_idempotent_methods);
}

auto to_json(json& to, label_requirement const& from) -> void
{
    to = {{"key", from.key}, {"values", from.values}};
}

auto to_json(json& to, selector const& from) -> void
{
    to = {{"name", from.name}, {"precedence", from.precedence}};
    put_filled(to, "services", from.services);
    put_filled(to, "models", from.models);
    put_filled(to, "customers", from.customers);
    put_filled(to, "requirements", from.requirements);
}

auto to_json(json& to, customer_share const& from) -> void
{
    to = {{"customer", from.customer}, {"weight", from.weight}};
}

auto to_json(json& to, configuration const& from) -> void
{
    to = {
        {"services", values_of(from.services)},
        {"groups", values_of(from.groups)},
        {"selectors", values_of(from.selectors)},
        {"shares", weights_of(from.shares)}};
}

auto from_json(json const& from, configuration& to) -> void
{
    to = read_or_throw(from, internal::read_configuration);
}

auto to_json(json& to, configuration_change const& from) -> void
{
    to = std::visit([](auto const& c) { return change_json(c); }, from);
}

auto to_json(json& to, configuration_edit const& from) -> void
{
    to = {
        {"id", from.id},
        {"based_on", from.based_on},
        {"author", from.author},
        {"changes", json::array()}};
    for (auto const& change : from.changes)
    {
        to["changes"].push_back(
            std::visit([](auto const& c) { return change_json(c); }, change));
    }
}

auto from_json(json const& from, configuration_edit& to) -> void
{
    to = read_or_throw(from, internal::read_edit);
}

auto to_json(json& to, edit_verdict const& from) -> void
{
    to = {{"verdict", from.kind}, {"offset", from.offset}};
    put_filled(to, "findings", from.reasons);
}

auto from_json(json const& from, edit_verdict& to) -> void
{
    to = read_or_throw(from, internal::read_verdict);
}

auto to_json(json& to, configuration_snapshot const& from) -> void
{
    auto changed = json::object();
    for (auto const& [key, offset] : from.state.changed)
    {
        changed[to_string(key.kind)][key.name] = offset;
    }
    auto verdicts = json::object();
    for (auto const& [id, verdict] : from.state.verdicts)
    {
        verdicts[id.str()] = verdict;
    }
    to = {
        {"as_of", from.state.offset},
        {"anchor_ms", from.anchor},
        {"configuration", from.state.config},
        {"changed", std::move(changed)},
        {"verdicts", std::move(verdicts)}};
}

auto from_json(json const& from, configuration_snapshot& to) -> void
{
    to = read_or_throw(from, internal::read_snapshot);
}

auto encode_configuration_record(configuration_record const& record)
    -> std::string
{
    auto const value = std::visit(
        [](auto const& typed) { return record_json(typed); }, record);
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto decode_configuration_record(std::string_view body)
    -> result<configuration_record>
{
    return internal::read_text_with(body, "record", read_record);
}

auto decode_configuration_entry(log_record const& record) -> configuration_entry
{
    auto decoded = decode_configuration_record(record.body);
    if (!decoded)
    {
        return {
            record.offset, record.appended,
            malformed_record{std::move(decoded.error())}};
    }
    return {record.offset, record.appended, *std::move(decoded)};
}

auto decode_configuration_edit(std::string_view text, std::string source)
    -> result<configuration_edit>
{
    return internal::read_text_with(
        text, std::move(source), internal::read_edit);
}

auto decode_changes(std::string_view text, std::string source)
    -> result<std::vector<configuration_change>>
{
    return internal::read_text_with(text, std::move(source), read_changes);
}

auto decode_groups(std::string_view text, std::string source)
    -> result<std::vector<group>>
{
    return internal::read_text_with(
        text, std::move(source), one_or_more(internal::read_group));
}

auto decode_services(std::string_view text, std::string source)
    -> result<std::vector<service>>
{
    return internal::read_text_with(
        text, std::move(source), one_or_more(internal::read_service));
}

auto decode_selectors(std::string_view text, std::string source)
    -> result<std::vector<selector>>
{
    return internal::read_text_with(
        text, std::move(source), one_or_more(internal::read_selector));
}

auto decode_configuration(std::string_view text, std::string source)
    -> result<configuration>
{
    return internal::read_text_with(
        text, std::move(source), internal::read_configuration);
}

} // namespace sapphirereel
