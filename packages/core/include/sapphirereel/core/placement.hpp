/// \file
/// Defines the placement of a stream by its entry daemon, which asks the home
/// daemons of a few candidates for a reservation, takes the best reply and
/// releases the others.
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

/// Limits of a placement search.
struct placement_settings
{
    /// Candidates asked at once.
    std::uint32_t asked_at_once = 2;
    /// Candidates asked in all before the search ends or waits in a queue.
    std::uint32_t asked_in_all = 6;
    /// Time after which a home that has not replied is skipped.
    duration reply_timeout = std::chrono::milliseconds(40);
    candidate_weights weights;
    auto operator<=>(placement_settings const&) const = default;
};

/// Send the message to the home daemon.
struct send_reserve
{
    daemon_id home;
    reserve_message message;
    auto operator<=>(send_reserve const&) const = default;
};

/// Send the message to the home daemon: the reservation is not used.
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
    /// Home that holds the reservation; empty where no home replied. The
    /// stream is then announced to the home once that is known.
    daemon_id home;
    auto operator<=>(stream_placed const&) const = default;
};

/// No candidate has a free place.
struct stream_not_placed
{
    run_id run;
    /// Whether there was no candidate, as opposed to no free place.
    bool no_candidate = false;
    offer_refusal_cause cause = offer_refusal_cause::memory;
    duration retry_after{0};
    auto operator<=>(stream_not_placed const&) const = default;
};

using placement_action =
    std::variant<send_reserve, send_release, stream_placed, stream_not_placed>;
using placement_actions = std::vector<placement_action>;

/// The placement searches in progress at one entry daemon. A search whose offer
/// may wait stays in the homes' queues for that time.
/// Example: `begin(offer, candidates, now)` returns the reserves to send;
/// feed replies to `replied` and call `tick` at `next_timeout`.
class placement
{
public:
    static auto create(placement_settings const& settings, std::uint64_t seed)
        -> result<placement>;

    /// Starts a search, unless one for the run is in progress.
    auto begin(
        stream_offer const& offer,
        placement_candidates candidates,
        time_point now) -> placement_actions;

    /// Processes a home's reply. Replies after the end of the search are
    /// ignored, since all reservations but the one used were released then.
    auto replied(
        daemon_id const& home,
        reserve_reply_message const& reply,
        time_point now) -> placement_actions;

    /// Skips homes whose reply is overdue.
    auto tick(time_point now) -> placement_actions;

    /// Cancels a search and releases its reservations.
    auto cancel(run_id const& run) -> placement_actions;

    /// Next time at which `tick` must be called, if any.
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
