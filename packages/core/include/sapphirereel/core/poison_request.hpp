/// \file
/// Defines how requests that crash each endpoint which runs them are found:
/// by content, over deaths, daemons and resends.
///
/// In the first death all that was in flight becomes suspect. A suspect runs
/// on from there on a replica without another suspect (stream_offer::suspect),
/// so that of all in flight at a second death only it was at both.
///
/// Bound: with the default of 2 deaths a lethal request ends 2 endpoints, and
/// beyond them only those that other copies of it reached before the news.
/// A request that is innocent but was in flight at two unrelated deaths within
/// the memory can't be told from a lethal one unless it got past the length at
/// which the first endpoint died (record_survival) or has run to its end.
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

/// How suspects are judged.
struct poison_request_settings
{
    /// Deaths at which a request must have been the only common one.
    std::uint32_t deaths = 2;
    /// Deaths from which on a request runs with no other suspect beside it.
    /// From the first on it is found soonest, but every request that an
    /// ordinary loss of an engine moves must then wait for a replica.
    std::uint32_t isolation_deaths = 1;
    /// Time after which a suspicion or verdict is forgotten.
    duration memory = std::chrono::hours(1);
    /// Most deaths remembered; the oldest go first.
    std::size_t most_deaths = 1'024;
    auto operator<=>(poison_request_settings const&) const = default;
};

/// How a request may run.
enum class poison_verdict
{
    /// Nothing is known against it.
    clear,
    /// It was in flight at a death: run it with no other suspect beside it.
    isolate,
    /// It crashed endpoints: refuse it, finally.
    poison
};

/// Gossip: an endpoint died with these contents in flight. Several daemons may
/// each tell of their own; lists under one name are joined.
struct crash_message
{
    /// Names the death: a digest of the endpoint and its incarnation.
    digest death;
    std::vector<digest> in_flight;
    auto operator<=>(crash_message const&) const = default;
};

/// Gossip: the content ran to its end after these deaths, and so caused none.
struct cleared_message
{
    digest content;
    std::vector<digest> deaths;
    auto operator<=>(cleared_message const&) const = default;
};

/// What one daemon knows of requests that may be lethal. Daemons that have
/// heard the same messages give the same verdicts, in whatever order.
class poison_request_detector
{
public:
    static auto create(poison_request_settings const& settings)
        -> result<poison_request_detector>;

    /// Takes in a death, an own one or one heard of; true if it told anything
    /// new, and is then to be passed on.
    auto record_crash(crash_message const& message, time_point now) -> bool;

    /// Takes in that a content caused none of the named deaths.
    auto cleared(cleared_message const& message, time_point now) -> void;

    /// To be called when a request has run to its end; returns what to tell
    /// the other daemons, if it was a suspect.
    auto record_completion(digest const& content, time_point now)
        -> std::optional<cleared_message>;

    /// To be called when a suspect's run has got past the length it had when
    /// its endpoint died: that content did not end the endpoint there, so the
    /// death was another's. Returns what to tell the other daemons.
    auto record_survival(digest const& content, time_point now)
        -> std::optional<cleared_message>
    {
        return record_completion(content, now);
    }

    /// Whether any death is remembered, so that a verdict may not be clear.
    [[nodiscard]] auto has_crashes() const -> bool
    {
        return !crashes_.empty();
    }

    /// How a request with this content may run.
    [[nodiscard]] auto verdict(digest const& content) const -> poison_verdict;

    /// Drops deaths older than the memory.
    auto expire(time_point now) -> void;

    /// All deaths known, to tell a daemon that has just started.
    [[nodiscard]] auto deaths() const -> std::vector<crash_message>;

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

    [[nodiscard]] auto is_only_common_suspect(
        digest const& content, std::vector<digest> const& deaths) const -> bool;
    [[nodiscard]] auto crashes_of(digest const& content) const
        -> std::vector<digest>;
    auto evict_oldest() -> void;

    poison_request_settings settings_;
    std::map<digest, crash_record> crashes_;
};

} // namespace sapphirereel

#endif
