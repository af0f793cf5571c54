#include "sapphirereel/relay/configuration_changes.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace sapphirereel::relay {
namespace {

auto milliseconds_of(duration value) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

auto name_of(request_kind kind) -> std::string_view
{
    switch (kind)
    {
    case request_kind::idempotent:
        return "idempotent";
    case request_kind::at_most_once:
        return "at most once";
    case request_kind::stream:
        break;
    }
    return "stream";
}

/// Adds `field: before -> after` where the values differ.
template <class Value>
auto compare(
    std::vector<std::string>& fields,
    std::string_view field,
    Value const& before,
    Value const& after) -> void
{
    if (!(before == after))
    {
        fields.push_back(fmt::format("{}: {} -> {}", field, before, after));
    }
}

auto services_text(route const& each) -> std::string
{
    auto text = std::string{};
    for (auto const& share : each.services)
    {
        text += fmt::format(
            "{}{} {}", text.empty() ? "" : ", ", share.service.str(),
            share.weight);
    }
    return text;
}

auto differences(route const& before, route const& after)
    -> std::vector<std::string>
{
    auto fields = std::vector<std::string>{};
    compare(fields, "host", before.host, after.host);
    compare(fields, "path prefix", before.path_prefix, after.path_prefix);
    compare(fields, "kind", name_of(before.kind), name_of(after.kind));
    compare(fields, "services", services_text(before), services_text(after));
    compare(
        fields, "timeout ms", milliseconds_of(before.timeout),
        milliseconds_of(after.timeout));
    compare(
        fields, "target latency ms", milliseconds_of(before.target_latency),
        milliseconds_of(after.target_latency));
    compare(
        fields, "target pause ms", milliseconds_of(before.target_pause),
        milliseconds_of(after.target_pause));
    compare(fields, "priority", before.priority, after.priority);
    compare(fields, "attempts", before.max_attempts, after.max_attempts);
    compare(fields, "needs no key", before.needs_no_key, after.needs_no_key);
    compare(fields, "streams may resume", before.may_resume, after.may_resume);
    return fields;
}

auto differences(service const& before, service const& after)
    -> std::vector<std::string>
{
    auto fields = std::vector<std::string>{};
    compare(
        fields, "connections", before.max_connections, after.max_connections);
    compare(
        fields, "warm-up ms", milliseconds_of(before.warmup),
        milliseconds_of(after.warmup));
    compare(
        fields, "cold requests per second", before.cold_rate, after.cold_rate);
    if (before.engine != after.engine)
    {
        fields.emplace_back("engine: traits differ");
    }
    return fields;
}

auto differences(customer const& before, customer const& after)
    -> std::vector<std::string>
{
    auto fields = std::vector<std::string>{};
    compare(
        fields, "priority", before.priority.value_or(-1),
        after.priority.value_or(-1));
    auto const missing_in = [](auto const& keys, auto const& others) {
        return std::count_if(
            keys.begin(), keys.end(), [&](std::string const& key) {
                return std::find(others.begin(), others.end(), key) ==
                       others.end();
            });
    };
    auto const removed = missing_in(before.keys, after.keys);
    auto const added = missing_in(after.keys, before.keys);
    if (removed + added > 0)
    {
        fields.push_back(
            fmt::format("keys: {} removed, {} added", removed, added));
    }
    return fields;
}

/// Compares the entries of one kind by their names.
template <class Entry, class Name>
auto compare_entries(
    std::vector<Entry> const& before,
    std::vector<Entry> const& after,
    std::string_view kind,
    Name const& name_of_entry,
    std::vector<configuration_change>& changes) -> void
{
    auto old_entries = std::map<std::string, Entry const*>{};
    for (auto const& each : before)
    {
        old_entries.emplace(name_of_entry(each), &each);
    }
    auto kept = std::set<std::string>{};
    for (auto const& each : after)
    {
        auto const name = name_of_entry(each);
        kept.insert(name);
        auto const old = old_entries.find(name);
        if (old == old_entries.end())
        {
            changes.push_back(
                {change_kind::added, fmt::format("{} {}", kind, name), {}});
            continue;
        }
        auto fields = differences(*old->second, each);
        if (!fields.empty())
        {
            changes.push_back(
                {change_kind::changed, fmt::format("{} {}", kind, name),
                 std::move(fields)});
        }
    }
    for (auto const& [name, each] : old_entries)
    {
        if (!kept.contains(name))
        {
            changes.push_back(
                {change_kind::removed, fmt::format("{} {}", kind, name), {}});
        }
    }
}

auto limit_differences(caller_limits const& before, caller_limits const& after)
    -> std::vector<std::string>
{
    auto fields = std::vector<std::string>{};
    compare(
        fields, "header bytes", before.message.head_bytes,
        after.message.head_bytes);
    compare(
        fields, "body bytes", before.message.body_bytes,
        after.message.body_bytes);
    compare(
        fields, "header timeout ms", milliseconds_of(before.head_timeout),
        milliseconds_of(after.head_timeout));
    compare(
        fields, "idle timeout ms", milliseconds_of(before.idle_timeout),
        milliseconds_of(after.idle_timeout));
    return fields;
}

constexpr auto route_name = [](route const& each) {
    return each.name;
};
constexpr auto name_of_service = [](service const& each) {
    return each.name.str();
};
constexpr auto customer_name = [](customer const& each) {
    return each.name.str();
};

} // namespace

auto changes_between(
    routing_configuration const& in_force,
    routing_configuration const& proposed) -> std::vector<configuration_change>
{
    auto changes = std::vector<configuration_change>{};
    compare_entries(
        in_force.routes, proposed.routes, "route", route_name, changes);
    compare_entries(
        in_force.services, proposed.services, "service", name_of_service,
        changes);
    compare_entries(
        in_force.customers.value_or(std::vector<customer>{}),
        proposed.customers.value_or(std::vector<customer>{}), "customer",
        customer_name, changes);
    if (in_force.customers.has_value() != proposed.customers.has_value())
    {
        changes.push_back(
            {change_kind::changed,
             "customers",
             {proposed.customers ? "keys: not required -> required"
                                 : "keys: required -> not required"}});
    }
    auto limits = limit_differences(in_force.limits, proposed.limits);
    if (!limits.empty())
    {
        changes.push_back({change_kind::changed, "limits", std::move(limits)});
    }
    return changes;
}

} // namespace sapphirereel::relay
