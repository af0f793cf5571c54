/// \file
/// Defines how an entry daemon finds a replica for a stream: it asks the home
/// daemons of a few candidates, takes the best reply and releases the others.
#ifndef SAPPHIREREEL_CORE_PLACEMENT_HPP
#define SAPPHIREREEL_CORE_PLACEMENT_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/placement_candidate.hpp"
#include "sapphirereel/core/placement_message.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace sapphirereel {

/// How an entry daemon asks for places.
struct placement_settings
{
    /// Candidates asked at once.
    std::uint32_t asked_at_once = 2;
    /// Candidates asked in all before the stream is held back.
    std::uint32_t asked_in_all = 6;
    /// Time after which a home that has not replied is passed over.
    duration reply_timeout = std::chrono::milliseconds(40);
    candidate_weights weights;
    auto operator<=>(placement_settings const&) const = default;
};

/// Send the message to the daemon.
struct send_reserve
{
    daemon_id home;
    reserve_message message;
    auto operator<=>(send_reserve const&) const = default;
};

/// Send the message to the daemon: a reservation is not used.
struct send_release
{
    daemon_id home;
    release_message message;
    auto operator<=>(send_release const&) const = default;
};

/// Dispatch the run to the replica.
struct stream_placed
{
    run_id run;
    endpoint_id replica;
    /// Home that holds the reservation; empty where none replied, and then
    /// the stream is to be announced to the home once it is known.
    daemon_id home;
    auto operator<=>(stream_placed const&) const = default;
};

/// No candidate has a place now.
struct stream_not_placed
{
    run_id run;
    /// Whether there was no candidate at all, rather than no room.
    bool no_candidate = false;
    offer_refusal_cause cause = offer_refusal_cause::memory;
    duration retry_after{0};
    auto operator<=>(stream_not_placed const&) const = default;
};

using placement_action =
    std::variant<send_reserve, send_release, stream_placed, stream_not_placed>;
using placement_actions = std::vector<placement_action>;

/// The searches for a place that one entry daemon has under way. A search
/// whose offer may wait stays open in the homes' queues for that time.
/// Example: `begin(offer, candidates, now)` returns the reserves to send;
/// feed replies to `replied` and call `tick` at `next_timeout`.
class placement
{
public:
    static auto create(placement_settings const& settings, std::uint64_t seed)
        -> result<placement>;

    /// Starts a search. A run that is being searched for already is not
    /// started again.
    auto begin(
        stream_offer const& offer,
        placement_candidates candidates,
        time_point now) -> placement_actions;

    /// Takes in a home's reply; a late one of no use is released.
    auto replied(
        daemon_id const& home,
        reserve_reply_message const& reply,
        time_point now) -> placement_actions;

    /// Passes over homes whose reply is overdue.
    auto tick(time_point now) -> placement_actions;

    /// Gives up a search; reservations that it holds are released.
    auto cancel(run_id const& run) -> placement_actions;

    /// When `tick` has something to do next.
    [[nodiscard]] auto next_timeout() const -> std::optional<time_point>;

private:
    struct inquiry
    {
        placement_candidate candidate;
        std::optional<reserve_reply_message> reply;
        bool overdue = false;
    };

    struct search
    {
        stream_offer offer;
        placement_candidates remaining;
        std::vector<inquiry> inquiries;
        /// Candidates whose home is unknown.
        placement_candidates without_home;
        time_point deadline{};
        time_point wait_until{};
    };

    placement(placement_settings const& settings, std::uint64_t seed)
        : settings_(settings)
        , generator_(seed)
    {}

    auto ask_next(search& current, time_point now, placement_actions& actions)
        -> bool;
    auto advance(search& current, time_point now, placement_actions& actions)
        -> bool;
    [[nodiscard]] static auto wait_in_queue(search& current, time_point now)
        -> bool;
    static auto fallback_outcome(search const& current) -> placement_action;
    [[nodiscard]] auto best_accepted(search const& current) const
        -> inquiry const*;
    static auto release_all_but(
        search const& current, inquiry const* kept, placement_actions& actions)
        -> void;

    placement_settings settings_;
    std::mt19937_64 generator_;
    std::map<run_id, search> searches_;
};

} // namespace sapphirereel

#endif
