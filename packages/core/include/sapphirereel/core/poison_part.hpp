/// \file
/// Defines the detection of poison prompt parts: parts of prompts, such as a
/// shared document, on which every endpoint crashes as it begins to write
/// output, whatever else the request holds.
///
/// Requests with such a part need not be alike, so that each may crash only one
/// endpoint; what adds up is the part. A crash makes suspects of all parts of
/// the requests that had produced no output on the endpoint. Output clears the
/// parts of its request, since a poison part never produces any. A part that
/// was at several crashes without any output in between is poison.
///
/// Daemons send each other crashes and clearances as they see them, and always
/// their rulings, so that a daemon that has just started knows them too.
#ifndef SAPPHIREREEL_CORE_POISON_PART_HPP
#define SAPPHIREREEL_CORE_POISON_PART_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/poison_request.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace sapphirereel {

/// When a part of prompts is refused, and when it is tried again.
struct poison_part_settings
{
    /// Incidents without output in between that make a part poison if it has
    /// never produced output.
    std::uint32_t crashes = 3;
    /// The same for a part that has produced output before.
    std::uint32_t crashes_of_proven_part = 5;
    /// Crashes that follow each other within this time are one incident: they
    /// may have a common cause, such as a lost rack, and are reported with
    /// different delays.
    duration incident_length = std::chrono::milliseconds(300);
    /// Time after the last needed crash in which output, or another daemon's
    /// report of output, still clears a part.
    duration settle_time = std::chrono::milliseconds(500);
    /// Time for which a ruling waits until a request without the part has
    /// output; if none has, the endpoints may all be lost.
    duration silence_limit = std::chrono::seconds(10);
    /// Time for which output of a part contradicts a ruling of another daemon.
    duration contradiction_time = std::chrono::seconds(1);
    /// Time for which a crash that was heard of is told from a new one.
    duration crash_memory = std::chrono::seconds(60);
    /// Time after which a part that is not refused is forgotten, counted from
    /// its last crash or output.
    duration memory = std::chrono::minutes(10);
    /// Least time from a ruling to a trial; doubled by each trial that fails.
    /// The turns of a fleet's daemons are spread at random over as many
    /// intervals more as there are daemons.
    duration trial_interval = std::chrono::seconds(60);
    duration most_trial_interval = std::chrono::hours(1);
    /// Most parts recorded; those longest without a crash or output are dropped
    /// first, suspects later and refused ones last.
    std::size_t most_parts = 1'024;
    /// Seeds the times of trials.
    std::uint64_t seed = 0;
    auto operator<=>(poison_part_settings const&) const = default;
};

/// Gossip: the newest ruling on a part. Of two, the higher number holds.
struct part_ruling
{
    digest part;
    /// Counts the rulings on the part: odd if it is poison, even if it has
    /// produced output since.
    std::uint32_t number = 0;

    [[nodiscard]] auto is_poison() const -> bool
    {
        return number % 2 == 1;
    }
    auto operator<=>(part_ruling const&) const = default;
};

/// Gossip: what a daemon has seen of prompt parts, and its rulings.
struct poison_part_reports
{
    /// Crashes and the parts of the requests that had no output then.
    std::vector<crash_message> crashes;
    /// Parts that have produced output since.
    std::vector<cleared_message> cleared;
    std::vector<part_ruling> rulings;

    [[nodiscard]] auto empty() const -> bool
    {
        return crashes.empty() && cleared.empty() && rulings.empty();
    }
    auto operator<=>(poison_part_reports const&) const = default;
};

/// One daemon's record of crashes, outputs and rulings by prompt part.
class poison_part_detector
{
public:
    static auto create(poison_part_settings const& settings)
        -> result<poison_part_detector>;

    /// Counts a request with these parts. Of two parts at the same crashes the
    /// one in fewer requests is the likelier cause.
    auto record_request(std::vector<digest> const& parts, time_point now)
        -> void;

    /// Records a crash, seen here or received by gossip; `in_flight` lists the
    /// parts of the requests that had produced no output. True if the message
    /// contained anything new.
    auto record_crash(crash_message const& message, time_point now) -> bool;

    /// Records that an endpoint has begun to write output for a request with
    /// these parts. Returns the messages that clear those that were suspects.
    auto record_output(std::vector<digest> const& parts, time_point now)
        -> std::vector<cleared_message>;

    /// Applies a clearance received by gossip; `content` names the part. True
    /// if it clears a crash that it was not cleared of before.
    auto apply(cleared_message const& message, time_point now) -> bool;

    /// Applies a ruling received by gossip; true if it is newer than the known
    /// one.
    auto apply(part_ruling const& ruling, time_point now) -> bool;

    /// Applies reports received by gossip; returns those that were new, which
    /// are to be forwarded.
    auto apply(poison_part_reports const& reports, time_point now)
        -> poison_part_reports;

    /// Rules on the suspects whose time has come and drops what has expired.
    /// Returns the parts that were found to be poison.
    auto update(time_point now) -> std::vector<digest>;

    /// The first of the parts that is poison, if any.
    [[nodiscard]] auto find_poison(std::vector<digest> const& parts) const
        -> std::optional<digest>;

    /// Whether a request with a poison part is let through to see whether the
    /// part still crashes endpoints. Daemons take turns at random, so that the
    /// whole fleet of `daemons` lets through one request in an interval.
    auto take_trial(digest const& part, std::size_t daemons, time_point now)
        -> bool;

    /// The newest rulings, to be sent with each report.
    [[nodiscard]] auto rulings() const -> std::vector<part_ruling>;

    /// Whether one more crash may convict the part.
    [[nodiscard]] auto is_almost_due(digest const& part) const -> bool;

    /// Whether any part is suspected or refused.
    [[nodiscard]] auto has_suspects() const -> bool
    {
        return !suspects_.empty() || !ruled_.empty();
    }

private:
    /// A crash, or the first of several at about the same time.
    struct incident
    {
        digest crash;
        time_point at{};
    };
    /// The parts of which a crash was reported or cleared.
    struct known_crash
    {
        std::set<digest> parts;
        time_point at{};
    };
    struct part_record
    {
        /// Incidents without output since, the oldest first, as many as a
        /// ruling needs. After a ruling: those on which it rests.
        std::vector<incident> incidents;
        time_point touched_at{};
        std::uint64_t requests = 0;
        /// When it has last produced output, here or as reported.
        std::optional<time_point> output_at;
        std::uint32_t ruling = 0;
        time_point ruled_at{};
        /// Where in the interval of trials this daemon's turn is, 0 to 1.
        double turn = 0;
        /// Whether a request is on trial since `ruled_at`.
        bool is_on_trial = false;
    };
    struct due_part
    {
        digest part;
        /// Whether it has produced output, and the requests that held it; the
        /// less of either, the likelier it is the cause.
        bool is_proven = false;
        std::uint64_t requests = 0;
        auto operator<=>(due_part const&) const = default;
    };

    explicit poison_part_detector(poison_part_settings const& settings)
        : settings_(settings)
        , random_(settings.seed)
    {}

    auto record_of(digest const& part, time_point now) -> part_record&;
    auto record_failed_trial(crash_message const& message, time_point now)
        -> bool;
    auto note_crash(digest const& crash, digest const& part, time_point now)
        -> bool;
    auto add_incident(digest const& crash, digest const& part, time_point now)
        -> void;
    auto remove_incidents(
        digest const& part, std::vector<digest> const& crashes) -> bool;
    [[nodiscard]] auto needed_incidents(part_record const& record) const
        -> std::size_t;
    [[nodiscard]] auto is_poison(part_record const& record) const -> bool
    {
        return record.ruling % 2 == 1;
    }
    [[nodiscard]] auto due_since(part_record const& record) const
        -> std::optional<time_point>;
    [[nodiscard]] auto due_parts(time_point now) const -> std::vector<due_part>;
    auto set_ruling(digest const& part, std::uint32_t number, time_point now)
        -> void;
    auto remove_explained_incidents(digest const& cause) -> void;
    auto drop_expired(time_point now) -> void;
    auto evict_oldest() -> void;
    [[nodiscard]] auto trial_interval(std::uint32_t ruling) const -> duration;

    poison_part_settings settings_;
    std::mt19937_64 random_;
    std::map<digest, part_record> parts_;
    std::map<digest, known_crash> crashes_;
    /// Parts with incidents and no ruling that rests on them.
    std::set<digest> suspects_;
    /// When any request has last produced output.
    std::optional<time_point> output_at_;
    /// Parts with a ruling.
    std::set<digest> ruled_;
    time_point expired_at_{};
};

} // namespace sapphirereel

#endif
