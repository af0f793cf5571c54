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

/// What a daemon tells others about the age of its copies. Ages are told at
/// first or second hand only: each daemon that passes one on adds the time of
/// its way to the error, and with many daemons no age would ever grow.
struct copy_age
{
    /// Time since the daemon itself read the log up to the end of its copies.
    duration since_read = duration::max();
    /// The same for a daemon that it hears directly; counts in other zones of a
    /// large fleet.
    duration since_zone_read = duration::max();
    /// Time since the daemon's last read of the log began that was to renew a
    /// copy.
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

    /// Records that this daemon's own reads made its copies complete as of a
    /// moment.
    auto record_read(time_point at) -> void;

    /// Records that this daemon began to read the log, or to fetch a peer's
    /// copy, at a moment. That is left time, the more the longer the log has
    /// not been read: it may be down.
    auto record_attempt(time_point at) -> void;

    /// Applies what a peer says whose copies hold no more than this daemon's.
    /// `is_in_mesh` tells that all daemons among it and this one hear it.
    auto apply_peer(copy_age const& reported, bool is_in_mesh, time_point now)
        -> void;

    /// Applies what a peer says whose copies hold more than this daemon's: its
    /// reads say nothing of them.
    auto apply_attempt(copy_age const& reported, time_point now) -> void;

    /// What this daemon tells others.
    [[nodiscard]] auto age_to_report(time_point now) const -> copy_age;

    /// Time since the log was read up to the end of the copies, as far as this
    /// daemon knows.
    [[nodiscard]] auto age(time_point now) const -> duration;

    /// Whether this daemon should read the log itself.
    [[nodiscard]] auto is_read_due(time_point now) const -> bool;

private:
    auto note_read(time_point at) -> void;
    auto draw_delay() -> void;

    freshness_terms terms_;
    std::mt19937_64 random_;
    time_point started_at_{};
    /// By any daemon, by this one, and by this one or one in its mesh.
    time_point read_at_{};
    time_point own_read_at_{};
    time_point mesh_read_at_{};
    /// By any daemon, and by this one.
    time_point attempted_at_{};
    time_point own_attempted_at_{};
    duration delay_{0};
};

} // namespace sapphirereel::relay

#endif
