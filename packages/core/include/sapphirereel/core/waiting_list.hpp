/// \file
/// Defines the offers that wait for a place on a replica, ranked so that
/// customers' shares hold over all entry daemons together.
#ifndef SAPPHIREREEL_CORE_WAITING_LIST_HPP
#define SAPPHIREREEL_CORE_WAITING_LIST_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/length_estimate.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sapphirereel {

/// A stream for which a place on the replica is requested.
struct stream_offer
{
    run_id run;
    daemon_id entry;
    stream_kind kind;
    std::uint32_t prompt_tokens = 0;
    /// Tokens already generated on another replica; above 0 for a moved stream.
    std::uint32_t output_tokens = 0;
    /// Orders the streams of one customer; higher is first.
    std::int32_t priority = 0;
    /// Longest time that the offer may wait at the home, in milliseconds.
    std::uint32_t wait_ms = 0;
    /// Whether it was in flight when an endpoint crashed; a replica runs one
    /// such stream at a time.
    bool suspect = false;
    auto operator<=>(stream_offer const&) const = default;
};

/// Weights of the customers' shares; a customer without an entry has weight 1.
using share_weights = std::map<customer_id, std::uint32_t>;

/// Token memory that each customer holds on the replica.
using held_tokens = std::map<customer_id, double>;

/// Memory that a customer holds for one unit of its weight, in tokens.
auto held_for_weight(
    customer_id const& customer,
    held_tokens const& held,
    share_weights const& weights) -> double;

/// An offer in the queue.
struct waiting_offer
{
    stream_offer offer;
    time_point since{};
    auto operator<=>(waiting_offer const&) const = default;
};

/// Weighted max-min fair order: moved streams first, since their callers wait
/// in the middle of an answer; then the customer that holds the least memory
/// for its weight; then the higher priority; then the earlier offer.
auto ranks_before(
    waiting_offer const& a,
    waiting_offer const& b,
    held_tokens const& held,
    share_weights const& weights) -> bool;

/// The queue of one replica. Example: `best(held, weights)` is the offer to
/// place next.
class waiting_list
{
public:
    auto add(stream_offer const& offer, time_point now) -> void;

    auto remove(run_id const& run) -> void;

    /// Drops offers whose waiting time has ended.
    auto expire(time_point now) -> void;

    [[nodiscard]] auto contains(run_id const& run) const -> bool
    {
        return offers_.contains(run);
    }

    [[nodiscard]] auto size() const -> std::size_t
    {
        return offers_.size();
    }

    /// Number of offers of one customer.
    [[nodiscard]] auto count_of(customer_id const& customer) const
        -> std::size_t;

    /// The offer that ranks first, if any.
    [[nodiscard]] auto best(
        held_tokens const& held, share_weights const& weights) const
        -> std::optional<waiting_offer>;

private:
    std::map<run_id, waiting_offer> offers_;
};

} // namespace sapphirereel

#endif
