/// \file
/// Defines the detector of poison requests, which crash the replicas that run
/// them: crashes are attributed to the content of requests, across replicas,
/// callers' retries and daemons.
#ifndef SAPPHIREREEL_RELAY_CRASH_TRACKER_HPP
#define SAPPHIREREEL_RELAY_CRASH_TRACKER_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/poison_request.hpp"
#include "sapphirereel/relay/replica_table.hpp"
#include "sapphirereel/relay/request_admission.hpp"
#include "sapphirereel/relay/timed_reports.hpp"

#include <map>
#include <optional>
#include <vector>

namespace sapphirereel::relay {

/// Number of replicas that a request must have crashed before it is refused. An
/// ordinary request loses a replica now and then; three crashes in a row
/// without any response are not a coincidence.
inline constexpr auto crashes_of_poison_request = 3U;

/// Most crashes that a daemon which has just started is told of: those of eight
/// poison requests.
inline constexpr auto max_remembered = std::size_t{24};

/// Reports of crashes that daemons send to each other.
struct crash_reports
{
    std::vector<crash_message> deaths;
    std::vector<cleared_message> cleared;
    auto operator<=>(crash_reports const&) const = default;
};

/// Digest of what identifies a request across attempts: its customer, target
/// and body.
auto request_fingerprint(
    caller_request const& request, std::optional<customer_id> const& customer)
    -> digest;

/// Records which requests ran on replicas that crashed, as observed by this
/// daemon and its peers.
class crash_tracker
{
public:
    crash_tracker();

    /// Whether any request is suspected. If none is, callers need not compute
    /// the digest of a content.
    [[nodiscard]] auto has_suspects() const -> bool;

    /// Whether a request with this content is expected to crash another
    /// replica.
    [[nodiscard]] auto is_poison(digest const& content) const -> bool;

    /// Records that a replica crashed while it ran a request with this content.
    auto record_replica_crash(
        replica const& which, digest const& content, time_point now) -> void;

    /// Records that a replica answered a request with this content, which
    /// clears the content.
    auto record_response(digest const& content, time_point now) -> void;

    /// Merges a peer's reports. They are not forwarded, because each daemon
    /// sends its own reports to all others.
    auto apply_report(crash_reports const& reports, time_point now) -> void;

    /// This daemon's own reports that are recent enough to be sent.
    [[nodiscard]] auto entries_to_report() const -> crash_reports;

    /// What this daemon remembers of crashes, whoever saw them, up to
    /// `max_remembered` crashes and as many clearances.
    [[nodiscard]] auto memory(time_point now) const -> crash_memory
    {
        return requests_.memory(now, max_remembered);
    }

    /// Records what a peer remembers. Returns whether any crash was new.
    auto learn(crash_memory const& told, time_point now) -> bool
    {
        return requests_.learn(told, now);
    }

    /// Drops expired records.
    auto expire(time_point now) -> void;

private:
    poison_request_detector requests_;
    timed_reports<crash_message> own_crashes_;
    timed_reports<cleared_message> own_cleared_;
};

} // namespace sapphirereel::relay

#endif
