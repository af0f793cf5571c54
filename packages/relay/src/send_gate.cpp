#include "sapphirereel/relay/send_gate.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

/// Time for which less urgent requests leave the permits to a more urgent one
/// that was refused: callers return within it.
constexpr auto urgent_precedence = duration{std::chrono::milliseconds{1'000}};

/// Time for which a replica that fails if it rejects too often is sent nothing
/// after a rejection.
constexpr auto rejection_pause = duration{std::chrono::milliseconds{1'000}};

} // namespace

send_gate::send_gate(replica_table const& replicas)
    : replicas_(&replicas)
{}

auto send_gate::set_asker(asker ask) -> void
{
    ask_ = std::move(ask);
}

auto send_gate::find_closed(
    placement_need const& need,
    std::optional<engine_traits> const& engine,
    int priority,
    time_point now) -> closed_replicas
{
    auto closed = closed_replicas{};
    auto limited = std::vector<endpoint_id>{};
    for (auto const& id : limits_.limited_replicas())
    {
        auto const* const listed = replicas_->find(id);
        auto const is_candidate = listed != nullptr && !listed->leaving &&
                                  !replicas_->is_evacuated(*listed) &&
                                  listed->service == need.service &&
                                  !need.excluded.contains(id);
        if (!is_candidate)
        {
            continue;
        }
        auto const stated = limits_.limits_of(id);
        if (stated.rejections && !has_room(id, need, engine, now))
        {
            closed.ids.insert(id);
            closed.may_open_soon = true;
        }
        else if (stated.rate)
        {
            limited.push_back(id);
        }
    }
    auto const holds = [&](endpoint_id const& id) {
        return permits_.holds(id, now);
    };
    auto const must_yield = yields(need.service, priority, now);
    if (!must_yield && std::none_of(limited.begin(), limited.end(), holds))
    {
        auto const is_awaited = ask_for_one(limited, now);
        closed.may_open_soon = closed.may_open_soon || is_awaited;
    }
    for (auto const& id : limited)
    {
        if (must_yield || !holds(id))
        {
            closed.ids.insert(id);
        }
    }
    return closed;
}

auto send_gate::ask_for_one(
    std::vector<endpoint_id> const& among, time_point now) -> bool
{
    auto order = among;
    std::stable_sort(
        order.begin(), order.end(),
        [this](endpoint_id const& one, endpoint_id const& other) {
            return permits_.last_asked(one) < permits_.last_asked(other);
        });
    for (auto const& id : order)
    {
        if (permits_.is_awaited(id, now))
        {
            return true;
        }
    }
    for (auto const& id : order)
    {
        ask(id, permit_use::request, now);
        if (permits_.is_awaited(id, now))
        {
            return true;
        }
        if (permits_.holds(id, now))
        {
            return false;
        }
    }
    return false;
}

auto send_gate::ask(endpoint_id const& id, permit_use use, time_point now)
    -> void
{
    auto const number = permits_.ask(id, use, now);
    if (number)
    {
        auto const rate = limits_.limits_of(id).rate.value_or(0);
        ask_({{}, *number, id, rate, use});
    }
}

auto send_gate::take(endpoint_id const& id, permit_use use, time_point now)
    -> permission
{
    if (!limits_.limits_of(id).rate || permits_.take(id, now))
    {
        return permission::granted;
    }
    if (use == permit_use::running)
    {
        ask(id, use, now);
        if (permits_.take(id, now))
        {
            return permission::granted;
        }
    }
    return permits_.is_awaited(id, now) ? permission::awaited
                                        : permission::denied;
}

auto send_gate::has_room(
    endpoint_id const& id,
    placement_need const& need,
    std::optional<engine_traits> const& engine,
    time_point now) const -> bool
{
    auto const rejected = rejections_.find(id);
    auto const has_rejected = rejected != rejections_.end() &&
                              now - rejected->second < rejection_pause;
    return !has_rejected && replicas_->has_room(id, need, engine, now);
}

auto send_gate::yields(
    service_name const& service, int priority, time_point now) const -> bool
{
    auto const found = refusals_.find(service);
    if (found == refusals_.end())
    {
        return false;
    }
    return std::any_of(
        found->second.begin(), found->second.lower_bound(priority),
        [&](auto const& each) {
            return now - each.second < urgent_precedence;
        });
}

auto send_gate::record_refusal(
    service_name const& service, int priority, time_point now) -> void
{
    refusals_[service][priority] = now;
}

auto send_gate::record_rejection(endpoint_id const& id, time_point now) -> void
{
    if (limits_.limits_of(id).rejections)
    {
        rejections_[id] = now;
    }
}

auto send_gate::issue(permit_request const& asked, double share, time_point now)
    -> permit_response
{
    auto const known = limits_.limits_of(asked.replica).rate;
    auto const rate = known ? std::min(*known, asked.rate) : asked.rate;
    return {
        asked.number, asked.replica,
        issuer_.issue(asked.replica, rate * share, asked.use, now), asked.use};
}

auto send_gate::apply_response(permit_response const& response, time_point now)
    -> void
{
    permits_.apply_response(response, now);
}

auto send_gate::expire(time_point now) -> void
{
    limits_.retain(replicas_->replicas(), now);
    issuer_.expire(now);
    permits_.expire(now);
    std::erase_if(rejections_, [&](auto const& each) {
        return now - each.second >= rejection_pause;
    });
}

} // namespace sapphirereel::relay
