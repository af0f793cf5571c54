#include "sapphirereel/relay/configuration_review.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>
#include <utility>

namespace sapphirereel::relay {
namespace {

auto milliseconds_of(duration value) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// Collects findings about the entries of one configuration.
class finding_list
{
public:
    explicit finding_list(std::string source)
        : source_(std::move(source))
    {}

    auto error(std::string entry, std::string message, std::string mend) -> void
    {
        found_.push_back(
            {{source_, 0, std::move(entry)},
             std::move(message),
             std::move(mend),
             severity::error});
    }

    auto warning(std::string entry, std::string message, std::string mend)
        -> void
    {
        found_.push_back(
            {{source_, 0, std::move(entry)},
             std::move(message),
             std::move(mend),
             severity::warning});
    }

    auto take() -> findings
    {
        return std::move(found_);
    }

private:
    std::string source_;
    findings found_;
};

auto entry_of(route const& each) -> std::string
{
    return "route " + each.name;
}

auto review_match(route const& each, finding_list& found) -> void
{
    auto const& prefix = each.path_prefix;
    if (!prefix.starts_with('/') || !prefix.ends_with('/'))
    {
        found.error(
            entry_of(each),
            fmt::format(
                "the path prefix '{}' does not begin and end with a slash",
                prefix),
            "write it as /path/");
    }
    if (each.host.empty() || each.host.find(':') != std::string::npos)
    {
        found.error(
            entry_of(each),
            fmt::format(
                "no request has the host '{}': ports are not compared",
                each.host),
            "write the host name without a port");
    }
}

auto review_services_of(
    route const& each, std::set<service_name> const& known, finding_list& found)
    -> void
{
    auto total = 0.0;
    for (auto const& share : each.services)
    {
        total += std::max(0.0, share.weight);
        if (!known.contains(share.service))
        {
            found.error(
                entry_of(each),
                fmt::format("service '{}' is not listed", share.service.str()),
                "list the service or name another one");
        }
        if (!(share.weight > 0))
        {
            found.warning(
                entry_of(each),
                fmt::format(
                    "service '{}' with weight {} gets no requests",
                    share.service.str(), share.weight),
                "remove the service or give it a weight above 0");
        }
    }
    if (!(total > 0))
    {
        found.error(
            entry_of(each), "no service gets its requests",
            "name a service with a weight above 0");
    }
}

auto review_limits_of(route const& each, finding_list& found) -> void
{
    if (each.max_attempts == 0)
    {
        found.error(
            entry_of(each), "0 attempts serve no request",
            "allow 1 attempt or more");
    }
    if (each.timeout <= duration{0})
    {
        found.error(
            entry_of(each),
            fmt::format(
                "the timeout of {} ms ends every request",
                milliseconds_of(each.timeout)),
            "set a timeout above 0");
    }
    if (each.target_latency > each.timeout)
    {
        found.warning(
            entry_of(each),
            fmt::format(
                "the target latency of {} ms is longer than the timeout of {} "
                "ms",
                milliseconds_of(each.target_latency),
                milliseconds_of(each.timeout)),
            "raise the timeout or lower the target");
    }
    if (each.kind == request_kind::stream && each.target_pause >= each.timeout)
    {
        found.warning(
            entry_of(each),
            fmt::format(
                "the target pause of {} ms is not shorter than the timeout of "
                "{} ms",
                milliseconds_of(each.target_pause),
                milliseconds_of(each.timeout)),
            "raise the timeout or lower the target");
    }
    if (each.may_resume && each.max_attempts == 1)
    {
        found.warning(
            entry_of(each),
            "its streams may resume, but 1 attempt leaves none to resume with",
            "allow 2 attempts or more");
    }
    if (each.kind == request_kind::at_most_once && each.max_attempts > 1)
    {
        found.warning(
            entry_of(each),
            fmt::format(
                "{} attempts contradict its kind: a request runs at most once",
                each.max_attempts),
            "set 1 attempt, or the kind to idempotent if requests may be "
            "repeated");
    }
}

/// Finds routes whose host and prefix an earlier route has.
auto review_hidden_routes(std::vector<route> const& routes, finding_list& found)
    -> void
{
    auto first = std::map<std::pair<std::string, std::string>, std::string>{};
    for (auto const& each : routes)
    {
        auto const [held, is_new] =
            first.try_emplace({each.host, each.path_prefix}, each.name);
        if (!is_new)
        {
            found.error(
                entry_of(each),
                fmt::format(
                    "never matches: route {} has the same host '{}' and path "
                    "prefix '{}'",
                    held->second, each.host, each.path_prefix),
                "remove one of them or change its prefix");
        }
    }
}

template <class Entry, class Name>
auto review_names(
    std::vector<Entry> const& entries,
    std::string_view kind,
    Name const& name_of_entry,
    finding_list& found) -> void
{
    auto seen = std::set<std::string>{};
    for (auto const& each : entries)
    {
        auto const name = name_of_entry(each);
        if (!seen.insert(name).second)
        {
            found.error(
                fmt::format("{} {}", kind, name), "the name is listed twice",
                "remove one of them or rename it");
        }
    }
}

auto review_services(routing_configuration const& proposed, finding_list& found)
    -> void
{
    auto used = std::set<service_name>{};
    auto streamed = std::set<service_name>{};
    for (auto const& each : proposed.routes)
    {
        for (auto const& share : each.services)
        {
            used.insert(share.service);
            if (each.kind == request_kind::stream)
            {
                streamed.insert(share.service);
            }
        }
    }
    for (auto const& each : proposed.services)
    {
        auto const entry = "service " + each.name.str();
        if (!used.contains(each.name))
        {
            found.warning(
                entry, "no route sends requests to it",
                "remove it or name it in a route");
        }
        if (each.cold_rate < 0 ||
            (each.cold_rate > 0) != (each.warmup > duration{0}))
        {
            found.warning(
                entry,
                fmt::format(
                    "a rate of {} requests per second for cold replicas and a "
                    "warm-up of {} ms limit nothing together",
                    each.cold_rate, milliseconds_of(each.warmup)),
                "set both above 0, or both to 0");
        }
        auto const has_memory = !each.engine || each.engine->memory_tokens > 0;
        if (streamed.contains(each.name) && !has_memory)
        {
            found.warning(
                entry, "streams are sent to engines without memory",
                "state the KV cache memory of its replicas");
        }
    }
}

auto review_customers(
    routing_configuration const& proposed, finding_list& found) -> void
{
    if (!proposed.customers)
    {
        return;
    }
    auto holders = std::map<std::string, std::string>{};
    for (auto const& each : *proposed.customers)
    {
        auto const entry = "customer " + each.name.str();
        if (each.keys.empty())
        {
            found.warning(entry, "never matches: it has no key", "add a key");
        }
        for (auto const& key : each.keys)
        {
            auto const [held, is_new] =
                holders.try_emplace(key, each.name.str());
            if (!is_new)
            {
                found.error(
                    entry,
                    fmt::format(
                        "one of its keys is held by customer {}, whose "
                        "requests it never gets",
                        held->second),
                    "remove the key from one of them");
            }
        }
    }
}

auto review_caller_limits(
    routing_configuration const& proposed, finding_list& found) -> void
{
    auto const& limits = proposed.limits;
    if (limits.head_timeout > limits.idle_timeout)
    {
        found.warning(
            "limits",
            fmt::format(
                "the header timeout of {} ms is longer than the idle timeout "
                "of {} ms",
                milliseconds_of(limits.head_timeout),
                milliseconds_of(limits.idle_timeout)),
            "raise the idle timeout or lower the other");
    }
    for (auto const& each : proposed.routes)
    {
        if (each.path_prefix.size() >= limits.message.head_bytes)
        {
            found.error(
                entry_of(each),
                fmt::format(
                    "never matches: heads are limited to {} bytes and its "
                    "prefix has {}",
                    limits.message.head_bytes, each.path_prefix.size()),
                "raise the limit or shorten the prefix");
        }
    }
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

auto review_configuration(
    routing_configuration const& proposed, std::string const& source)
    -> findings
{
    auto found = finding_list{source};
    auto known = std::set<service_name>{};
    for (auto const& each : proposed.services)
    {
        known.insert(each.name);
    }
    review_names(proposed.routes, "route", route_name, found);
    review_names(proposed.services, "service", name_of_service, found);
    if (proposed.customers)
    {
        review_names(*proposed.customers, "customer", customer_name, found);
    }
    for (auto const& each : proposed.routes)
    {
        review_match(each, found);
        review_services_of(each, known, found);
        review_limits_of(each, found);
    }
    review_hidden_routes(proposed.routes, found);
    review_services(proposed, found);
    review_customers(proposed, found);
    review_caller_limits(proposed, found);
    return found.take();
}

auto review_version(
    routing_configuration const& in_force,
    routing_configuration const& proposed,
    std::string const& source) -> findings
{
    if (proposed.version > in_force.version)
    {
        return {};
    }
    return {
        {{source, 0, "version"},
         fmt::format(
             "version {} is not higher than {}, which is in force, and would "
             "be ignored",
             proposed.version, in_force.version),
         fmt::format("write a version above {}", in_force.version)}};
}

} // namespace sapphirereel::relay
