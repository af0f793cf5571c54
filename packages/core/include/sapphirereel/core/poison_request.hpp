/// \file
/// Defines the detection of poison requests, which crash every endpoint that
/// runs them: by content, over crashes, daemons and resends.
///
/// At a crash all requests in flight become suspects. From `isolation_deaths`
/// crashes on, a suspect runs only on a replica without another suspect
/// (stream_offer::suspect), so that at the next crash it is the only suspect
/// in flight.
///
/// Bound: a poison request crashes `deaths` endpoints (the daemon's value is in
/// core_settings::lethal), and beyond them only those that other copies of it
/// reached before the gossip arrived. A harmless request that was in flight at
/// `deaths` unrelated crashes within `memory` can't be distinguished from a
/// poison request unless it got past the length at which the first endpoint
/// crashed (record_survival) or has completed.
#ifndef SAPPHIREREEL_CORE_POISON_REQUEST_HPP
#define SAPPHIREREEL_CORE_POISON_REQUEST_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sapphirereel {

/// When a suspect is isolated or refused.
struct poison_request_settings
{
    /// Crashes at which a request must have been the only common one.
    std::uint32_t deaths = 2;
    /// Crashes from which on a request runs with no other suspect beside it.
    /// With 1 it is detected soonest, but every request that an ordinary loss
    /// of an engine moves must then wait for a replica.
    std::uint32_t isolation_deaths = 1;
    /// Time after which a suspicion or verdict expires.
    duration memory = std::chrono::hours(1);
    /// Most crashes recorded; the oldest are dropped first.
    std::size_t most_deaths = 1'024;
    auto operator<=>(poison_request_settings const&) const = default;
};

/// How a request may run.
enum class poison_verdict
{
    /// It is not suspected.
    clear,
    /// It was in flight at a crash: run it with no other suspect beside it.
    isolate,
    /// It crashed endpoints: refuse it with a final answer.
    poison
};

/// Gossip: an endpoint crashed with these contents in flight. Several daemons
/// may each report their own requests; lists under one name are merged.
struct crash_message
{
    /// Names the crash by the endpoint and the interval of wall-clock time in
    /// which it was seen; see report_crash.
    digest death;
    std::vector<digest> in_flight;
    auto operator<=>(crash_message const&) const = default;
};

/// Gossip: the content completed after these crashes, and so caused none.
struct cleared_message
{
    digest content;
    std::vector<digest> deaths;
    auto operator<=>(cleared_message const&) const = default;
};

/// A crash that a daemon remembers, without the requests that were cleared.
struct remembered_crash
{
    crash_message crash;
    /// Time since it was recorded.
    duration age{0};
    auto operator<=>(remembered_crash const&) const = default;
};

/// A clearance that a daemon remembers.
struct remembered_clearance
{
    cleared_message clearance;
    /// Time since the youngest of its crashes was recorded.
    duration age{0};
    auto operator<=>(remembered_clearance const&) const = default;
};

/// What a daemon remembers of crashes, for one that has just started.
struct crash_memory
{
    std::vector<remembered_crash> crashes;
    std::vector<remembered_clearance> clearances;
    auto operator<=>(crash_memory const&) const = default;

    [[nodiscard]] auto is_empty() const -> bool
    {
        return crashes.empty() && clearances.empty();
    }
};

/// One daemon's record of crashes and their suspects. Daemons that have
/// received the same messages, in any order, give the same verdicts.
class poison_request_detector
{
public:
    static auto create(poison_request_settings const& settings)
        -> result<poison_request_detector>;

    /// Records a crash, seen here or received by gossip; true if the message
    /// contained anything new and so must be forwarded.
    auto record_crash(crash_message const& message, time_point now) -> bool;

    /// Records that a content caused none of the named crashes.
    auto cleared(cleared_message const& message, time_point now) -> void;

    /// Records that a request has completed; returns the message for the other
    /// daemons if it was a suspect.
    auto record_completion(digest const& content, time_point now)
        -> std::optional<cleared_message>;

    /// Records that a suspect's run has got past the length that it had when
    /// its endpoint crashed, so that another request caused the crash. Returns
    /// the message for the other daemons.
    auto record_survival(digest const& content, time_point now)
        -> std::optional<cleared_message>
    {
        return record_completion(content, now);
    }

    /// Whether any crash is recorded, so that a verdict may not be clear.
    [[nodiscard]] auto has_crashes() const -> bool
    {
        return !crashes_.empty();
    }

    /// How a request with this content may run.
    [[nodiscard]] auto verdict(digest const& content) const -> poison_verdict;

    /// Drops crashes older than `memory`.
    auto expire(time_point now) -> void;

    /// All recorded crashes, for a daemon that has just started.
    [[nodiscard]] auto crashes() const -> std::vector<crash_message>;

    /// The youngest crashes and clearances, `most` of each; crashes of poison
    /// requests come before others.
    [[nodiscard]] auto memory(time_point now, std::size_t most) const
        -> crash_memory;

    /// Records what another daemon remembers, as old as it is. Returns whether
    /// any crash was new.
    auto learn(crash_memory const& told, time_point now) -> bool;

private:
    struct crash_record
    {
        std::set<digest> suspects;
        std::set<digest> cleared;
        time_point at{};
    };

    explicit poison_request_detector(poison_request_settings const& settings)
        : settings_(settings)
    {}

    static auto suspects_of(crash_record const& crash) -> std::vector<digest>;
    /// Whether one of these requests is a poison request.
    [[nodiscard]] auto has_poison(std::vector<digest> const& contents) const
        -> bool;
    [[nodiscard]] auto remembered_crashes(time_point now, std::size_t most)
        const -> std::vector<remembered_crash>;
    [[nodiscard]] auto remembered_clearances(time_point now, std::size_t most)
        const -> std::vector<remembered_clearance>;
    [[nodiscard]] auto is_only_common_suspect(
        digest const& content, std::vector<digest> const& crashes) const
        -> bool;
    [[nodiscard]] auto crashes_of(digest const& content) const
        -> std::vector<digest>;
    auto evict_oldest() -> void;

    poison_request_settings settings_;
    std::map<digest, crash_record> crashes_;
};

} // namespace sapphirereel

#endif
