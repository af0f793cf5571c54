/// \file
/// Defines a daemon's record of prompt parts that crash replicas: it names the
/// crashes that this daemon sees, and keeps what is reported to its peers.
#ifndef SAPPHIREREEL_RELAY_POISON_PART_TRACKER_HPP
#define SAPPHIREREEL_RELAY_POISON_PART_TRACKER_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/poison_part.hpp"
#include "sapphirereel/relay/replica_table.hpp"
#include "sapphirereel/relay/timed_reports.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sapphirereel::relay {

/// Reports of crashes by prompt part that daemons send to each other.
using part_reports = poison_part_reports;

/// What a report changed.
enum class part_news
{
    /// Nothing.
    none,
    /// Crashes or clearances.
    evidence,
    /// A ruling on a part.
    ruling
};

/// Records which prompt parts were at crashes of replicas, as observed by this
/// daemon and its peers.
class poison_part_tracker
{
public:
    /// `seed` spreads the trials of daemons.
    explicit poison_part_tracker(std::uint64_t seed);

    /// Records that a replica crashed while it had not begun to answer a
    /// request with these parts. True if that was not known.
    auto record_replica_crash(
        replica const& which, std::vector<digest> const& parts, time_point now)
        -> bool;

    /// Counts a request with these parts.
    auto record_request(std::vector<digest> const& parts, time_point now)
        -> void
    {
        parts_.record_request(parts, now);
    }

    /// Records that a replica has begun to answer a request with these parts.
    /// True if peers must know at once, because they may be about to refuse
    /// one of the parts.
    auto record_output(std::vector<digest> const& parts, time_point now)
        -> bool;

    /// Merges a peer's reports. New crashes and clearances are reported onward
    /// if `forwards`, as in a fleet where not all daemons report to each other.
    auto apply_report(
        part_reports const& reports, bool forwards, time_point now)
        -> part_news;

    /// What is sent with this daemon's reports.
    [[nodiscard]] auto entries_to_report() const -> part_reports;

    /// Drops expired records and returns the parts that are now known to crash
    /// replicas.
    auto update(time_point now) -> std::vector<digest>;

    /// The first of the parts that is known to crash replicas, other than one
    /// that is on trial.
    [[nodiscard]] auto find_poison(
        std::vector<digest> const& parts,
        std::optional<digest> const& on_trial = std::nullopt) const
        -> std::optional<digest>;

    /// Whether a request with a poison part may run, to see whether the part
    /// still crashes replicas; see poison_part_detector::take_trial.
    auto take_trial(digest const& part, std::size_t daemons, time_point now)
        -> bool
    {
        return parts_.take_trial(part, daemons, now);
    }

private:
    /// Crashes of one start of a replica, as far as its record shows starts.
    struct observed_crashes
    {
        std::uint32_t count = 1;
        time_point last_at;
    };

    auto name_crash(replica const& which, time_point now) -> digest;

    poison_part_detector parts_;
    std::map<std::string, observed_crashes> observed_;
    timed_reports<crash_message> crashes_;
    timed_reports<cleared_message> cleared_;
};

} // namespace sapphirereel::relay

#endif
