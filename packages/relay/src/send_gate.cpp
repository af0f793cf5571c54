#include "sapphirereel/relay/send_gate.hpp"

#include "sapphirereel/core/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sapphirereel::relay {
namespace {

/// Time for which less urgent requests leave the permits to a more urgent one
/// that was refused: callers return within it.
constexpr auto urgent_precedence = duration{std::chrono::milliseconds{1'000}};

/// Time for which a replica that fails if it rejects too often is sent nothing
/// after a rejection.
constexpr auto rejection_pause = duration{std::chrono::milliseconds{1'000}};

/// Time until a permit for a cold replica within which a request waits for it.
constexpr auto max_cold_wait = duration{std::chrono::milliseconds{100}};

/// Time after which a daemon may ask again if the one that it asked is not the
/// home of a cold replica: both soon agree on which daemons are alive.
constexpr auto wait_for_other_home = duration{std::chrono::milliseconds{50}};

/// Part of the slack of a cold replica's bound up to which requests may run
/// there without a permit.
constexpr auto idle_share_of_slack = 0.5;

/// Difference of rates that are equal, after rounding.
constexpr auto rate_tolerance = 1e-6;

} // namespace

send_gate::send_gate(replica_table const& replicas)
    : replicas_(&replicas)
{}

auto send_gate::set_asker(asker ask) -> void
{
    ask_ = std::move(ask);
}

auto send_gate::set_cold_bounds(cold_bounds const& bounds, std::string self)
    -> void
{
    cold_bounds_ = bounds;
    self_ = std::move(self);
}

auto send_gate::set_reachable_share(double share) -> void
{
    reachable_share_ = share;
}

auto send_gate::is_cold_but_idle(endpoint_id const& id, time_point now) const
    -> bool
{
    auto const* const listed = replicas_->find(id);
    if (listed == nullptr || limits_.limits_of(id).rate ||
        !cold_.reports_placements(listed->service) || !cold_.rate_of(id, now))
    {
        return false;
    }
    auto const allowance =
        std::floor(cold_bounds_.slack * idle_share_of_slack * reachable_share_);
    auto const time = replicas_->mean_service_time(listed->service);
    if (!time || replicas_->load_of(id).requests + 1 > allowance)
    {
        return false;
    }
    // Permits take the rate; what runs without them has to fit the overage.
    auto const seconds = std::chrono::duration<double>(*time).count();
    auto const spare = *cold_.rate_of(id, now) * (cold_bounds_.overage - 1);
    return allowance <= spare * seconds;
}

auto send_gate::rate_of(endpoint_id const& id, time_point now) const
    -> std::optional<double>
{
    auto const stated = limits_.limits_of(id).rate;
    auto const cold = cold_.rate_of(id, now);
    return stated && cold ? std::min(*stated, *cold) : (cold ? cold : stated);
}

auto send_gate::find_closed(
    placement_need const& need,
    std::optional<engine_traits> const& engine,
    int priority,
    time_point now) -> closed_replicas
{
    auto closed = closed_replicas{};
    if (limits_.is_empty() && cold_.is_empty())
    {
        return closed;
    }
    auto limited = std::vector<endpoint_id>{};
    auto all = limits_.limited_replicas();
    all.merge(cold_.cold_now(now));
    for (auto const& id : all)
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
        else if (rate_of(id, now))
        {
            limited.push_back(id);
        }
    }
    auto const holds = [&](endpoint_id const& id) {
        return permits_.holds(id, now) || is_cold_but_idle(id, now);
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
    if (!must_yield)
    {
        set_cold_wait(closed, now);
    }
    return closed;
}

auto send_gate::set_cold_wait(closed_replicas& closed, time_point now) const
    -> void
{
    for (auto const& id : closed.ids)
    {
        if (cold_.rate_of(id, now))
        {
            auto const wait = permits_.time_until_asked(id, now);
            closed.cold_wait = std::min(closed.cold_wait.value_or(wait), wait);
        }
    }
    closed.may_open_soon =
        closed.may_open_soon ||
        (closed.cold_wait && *closed.cold_wait <= max_cold_wait);
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
        auto const rate = rate_of(id, now).value_or(0);
        ask_({{}, *number, id, rate, use});
    }
}

auto send_gate::take(endpoint_id const& id, permit_use use, time_point now)
    -> permission
{
    if (!rate_of(id, now) || is_cold_but_idle(id, now) ||
        permits_.take(id, now))
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

auto send_gate::cold_rate_of(permit_request const& asked, time_point now) const
    -> std::optional<double>
{
    auto const known = cold_.rate_of(asked.replica, now);
    auto const* const listed = replicas_->find(asked.replica);
    if (known || listed == nullptr)
    {
        return known;
    }
    auto const of_service = cold_.rate_of_service(listed->service);
    auto const is_asked_as_cold =
        of_service && std::abs(*of_service - asked.rate) < rate_tolerance;
    return is_asked_as_cold ? of_service : std::nullopt;
}

auto send_gate::issue_cold(
    permit_request const& asked, double rate, double share, time_point now)
    -> duration
{
    if (share <= 0)
    {
        return wait_for_other_home;
    }
    auto const phase =
        static_cast<double>(rendezvous_weight(asked.replica.str(), self_)) /
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return issuer_.issue(
        asked.replica, cold_permit_terms(rate, share, cold_bounds_, phase),
        asked.use, now);
}

auto send_gate::issue(
    permit_request const& asked, permit_shares const& shares, time_point now)
    -> permit_response
{
    auto const known = limits_.limits_of(asked.replica).rate;
    auto const rate = known ? std::min(*known, asked.rate) : asked.rate;
    auto const cold = cold_rate_of(asked, now);
    auto const wait =
        cold ? issue_cold(asked, std::min(rate, *cold), shares.cold, now)
             : issuer_.issue(
                   asked.replica, rate * shares.stated, asked.use, now);
    return {asked.number, asked.replica, wait, asked.use};
}

auto send_gate::apply_response(permit_response const& response, time_point now)
    -> void
{
    permits_.apply_response(
        response, now,
        cold_.rate_of(response.replica, now) ? cold_permit_validity
                                             : permit_validity);
}

auto send_gate::expire(time_point now) -> void
{
    limits_.retain(replicas_->replicas(), now);
    cold_.retain(replicas_->replicas(), now);
    issuer_.expire(now);
    permits_.expire(now);
    std::erase_if(rejections_, [&](auto const& each) {
        return now - each.second >= rejection_pause;
    });
}

} // namespace sapphirereel::relay
