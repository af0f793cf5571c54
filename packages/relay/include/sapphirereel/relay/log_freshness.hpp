/// \file
/// Defines how a daemon knows up to when its copies of the log's streams are
/// complete, and when it reads the log itself because nobody does so for it.
#ifndef SAPPHIREREEL_RELAY_LOG_FRESHNESS_HPP
#define SAPPHIREREEL_RELAY_LOG_FRESHNESS_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/relay/relay_settings.hpp"

#include <cstdint>
#include <random>

namespace sapphirereel::relay {

/// How old copies of the log may become.
struct freshness_terms
{
    /// Age above which a daemon reads the log itself.
    duration max_age{0};
    /// Longest random delay beyond that age. The first daemon that reads
    /// quiets the others.
    duration max_delay{0};
    /// Least time left to another daemon whose read is under way.
    duration attempt_time{0};

    /// The terms under which every change of the log takes effect within the
    /// deployment's bounds, however many daemons there are.
    static auto of(relay_settings const& settings) -> freshness_terms;

    auto operator<=>(freshness_terms const&) const = default;
};

/// What a daemon tells others about the age of its copies.
struct copy_age
{
    /// Time since the log was read up to the end of the copies.
    duration since_read = duration::max();
    /// Time since the last read of the log began that was to renew a copy.
    duration since_attempt = duration::max();
    auto operator<=>(copy_age const&) const = default;
};

/// Tracks the age of a daemon's copies.
class log_freshness
{
public:
    log_freshness(freshness_terms const& terms, std::uint64_t seed);

    /// Begins to wait for others' reads.
    auto start(time_point now) -> void;

    /// Records that the copies hold all that the log held at a moment.
    auto record_read(time_point at) -> void;

    /// Records that some daemon began to read the log, or this one to fetch a
    /// peer's copy, at a moment. That is left time, the more the longer the log
    /// has not been read: it may be down.
    auto record_attempt(time_point at) -> void;

    /// Applies what a peer says whose copies hold no more than this daemon's.
    auto apply_peer(copy_age const& reported, time_point now) -> void;

    /// Applies what a peer says whose copies hold more than this daemon's: its
    /// reads say nothing of them.
    auto apply_attempt(copy_age const& reported, time_point now) -> void;

    [[nodiscard]] auto age(time_point now) const -> copy_age;

    /// Whether this daemon should read the log itself.
    [[nodiscard]] auto is_read_due(time_point now) const -> bool;

private:
    auto draw_delay() -> void;

    freshness_terms terms_;
    std::mt19937_64 random_;
    time_point started_at_{};
    time_point read_at_{};
    time_point attempted_at_{};
    duration delay_{0};
};

} // namespace sapphirereel::relay

#endif
