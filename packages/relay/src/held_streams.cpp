#include "sapphirereel/relay/held_streams.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sapphirereel::relay {
namespace {

auto is_fresh(time_point received_at, time_point now) -> bool
{
    return now - received_at <= max_waiting_age;
}

} // namespace

auto is_attempted_before(held_stream const& first, held_stream const& second)
    -> bool
{
    return std::tie(first.priority, first.latest_start) <
           std::tie(second.priority, second.latest_start);
}

auto may_yield(duration waited, duration target_latency) -> bool
{
    return std::chrono::duration<double>(waited) <
           std::chrono::duration<double>(target_latency) * max_yield_share;
}

auto held_streams::hold(held_stream stream, attempt_function attempt) -> hold_id
{
    held_.emplace(++last_id_, held{std::move(stream), std::move(attempt)});
    return last_id_;
}

auto held_streams::release(hold_id which) -> void
{
    held_.erase(which);
}

auto held_streams::attempt_in_order(service_name const& service) -> void
{
    auto order = std::vector<std::pair<held_stream, hold_id>>{};
    for (auto const& [id, each] : held_)
    {
        if (each.stream.service == service)
        {
            order.emplace_back(each.stream, id);
        }
    }
    // Stable, so that equals are attempted in the order of their arrival.
    std::stable_sort(
        order.begin(), order.end(), [](auto const& first, auto const& second) {
            return is_attempted_before(first.first, second.first);
        });
    for (auto const& [stream, id] : order)
    {
        auto const found = held_.find(id);
        if (found != held_.end())
        {
            // Copied because the attempt may release the stream.
            auto const attempt = found->second.attempt;
            attempt();
        }
    }
}

auto held_streams::set_peer_entries(
    daemon_id const& peer,
    std::vector<waiting_entry> const& entries,
    time_point now) -> void
{
    std::erase_if(peers_, [&](auto const& each) {
        return !is_fresh(each.second.received_at, now);
    });
    auto accepted = std::vector<waiting_entry>{};
    for (auto const& each : entries)
    {
        if (each.count > 0 && accepted.size() < max_waiting_entries)
        {
            accepted.push_back(each);
        }
    }
    peers_[peer] = {std::move(accepted), now};
}

auto held_streams::is_any_before(held_stream const& stream) const -> bool
{
    return std::any_of(held_.begin(), held_.end(), [&](auto const& each) {
        auto const& other = each.second.stream;
        return other.service == stream.service &&
               is_attempted_before(other, stream);
    });
}

template <class Condition>
auto held_streams::is_any(time_point now, Condition const& condition) const
    -> bool
{
    auto const is_here =
        std::any_of(held_.begin(), held_.end(), [&](auto const& each) {
            return condition(
                each.second.stream.service, each.second.stream.priority);
        });
    return is_here ||
           std::any_of(peers_.begin(), peers_.end(), [&](auto const& peer) {
               auto const& listed = peer.second.entries;
               return is_fresh(peer.second.received_at, now) &&
                      std::any_of(
                          listed.begin(), listed.end(), [&](auto const& each) {
                              return condition(each.service, each.priority);
                          });
           });
}

auto held_streams::is_any_more_urgent(
    service_name const& service, int priority, time_point now) const -> bool
{
    return is_any(now, [&](service_name const& of, int urgency) {
        return of == service && urgency < priority;
    });
}

auto held_streams::is_any_of_other_priority(
    service_name const& service, int priority, time_point now) const -> bool
{
    return is_any(now, [&](service_name const& of, int urgency) {
        return of == service && urgency != priority;
    });
}

auto held_streams::tokens_until(
    held_stream const& stream, time_point now, std::optional<hold_id> own) const
    -> double
{
    auto tokens = stream.tokens;
    for (auto const& [id, each] : held_)
    {
        auto const counts = id != own &&
                            each.stream.service == stream.service &&
                            is_attempted_before(each.stream, stream);
        tokens += counts ? each.stream.tokens : 0;
    }
    auto daemons = 1.0;
    auto tokens_at_peers = 0.0;
    for (auto const& [peer, reported] : peers_)
    {
        if (!is_fresh(reported.received_at, now))
        {
            continue;
        }
        daemons += 1;
        for (auto const& each : reported.entries)
        {
            auto const counts = each.service == stream.service &&
                                each.priority < stream.priority;
            tokens_at_peers += counts ? std::max(0.0, each.tokens) : 0;
        }
    }
    return tokens + tokens_at_peers / daemons;
}

auto held_streams::entries_to_report(
    std::function<bool(service_name const&)> const& is_reported) const
    -> std::vector<waiting_entry>
{
    auto sums = std::map<std::pair<int, service_name>, waiting_entry>{};
    for (auto const& [id, each] : held_)
    {
        auto const& stream = each.stream;
        auto& sum = sums[{stream.priority, stream.service}];
        sum.service = stream.service;
        sum.priority = stream.priority;
        ++sum.count;
        sum.tokens += stream.tokens;
    }
    auto entries = std::vector<waiting_entry>{};
    for (auto const& [key, sum] : sums)
    {
        if (entries.size() < max_waiting_entries && is_reported(sum.service))
        {
            entries.push_back(sum);
        }
    }
    return entries;
}

} // namespace sapphirereel::relay
