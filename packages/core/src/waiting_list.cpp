#include "sapphirereel/core/waiting_list.hpp"

#include <algorithm>

namespace sapphirereel {

auto held_for_weight(
    customer_id const& customer,
    held_tokens const& held,
    share_weights const& weights) -> double
{
    auto const tokens = held.find(customer);
    if (tokens == held.end())
    {
        return 0;
    }
    auto const weight = weights.find(customer);
    auto const share =
        weight == weights.end() ? 1U : std::max(1U, weight->second);
    return tokens->second / share;
}

auto ranks_before(
    waiting_offer const& a,
    waiting_offer const& b,
    held_tokens const& held,
    share_weights const& weights) -> bool
{
    auto const moved_a = a.offer.output_tokens > 0;
    auto const moved_b = b.offer.output_tokens > 0;
    if (moved_a != moved_b)
    {
        return moved_a;
    }
    auto const& customer_a = a.offer.kind.customer;
    auto const& customer_b = b.offer.kind.customer;
    if (customer_a != customer_b)
    {
        auto const held_a = held_for_weight(customer_a, held, weights);
        auto const held_b = held_for_weight(customer_b, held, weights);
        if (held_a != held_b)
        {
            return held_a < held_b;
        }
    }
    if (a.offer.priority != b.offer.priority)
    {
        return a.offer.priority > b.offer.priority;
    }
    return a.since != b.since ? a.since < b.since : a.offer.run < b.offer.run;
}

auto waiting_list::add(stream_offer const& offer, time_point now) -> void
{
    offers_.try_emplace(offer.run, waiting_offer{offer, now});
}

auto waiting_list::remove(run_id const& run) -> void
{
    offers_.erase(run);
}

auto waiting_list::expire(time_point now) -> void
{
    std::erase_if(offers_, [now](auto const& entry) {
        auto const& waiting = entry.second;
        auto const longest = std::chrono::milliseconds(waiting.offer.wait_ms);
        return now - waiting.since >= longest;
    });
}

auto waiting_list::count_of(customer_id const& customer) const -> std::size_t
{
    auto const count = std::count_if(
        offers_.begin(), offers_.end(), [&customer](auto const& entry) {
            return entry.second.offer.kind.customer == customer;
        });
    return static_cast<std::size_t>(count);
}

auto waiting_list::best(held_tokens const& held, share_weights const& weights)
    const -> std::optional<waiting_offer>
{
    auto const first = std::min_element(
        offers_.begin(), offers_.end(), [&](auto const& a, auto const& b) {
            return ranks_before(a.second, b.second, held, weights);
        });
    if (first == offers_.end())
    {
        return std::nullopt;
    }
    return first->second;
}

} // namespace sapphirereel
