/// \file
/// Defines the sequence of a stream's events as forwarded to its caller:
/// detects duplicate and missing events across all runs of the stream and
/// measures its timing.
#ifndef SAPPHIREREEL_RELAY_EVENT_SEQUENCE_HPP
#define SAPPHIREREEL_RELAY_EVENT_SEQUENCE_HPP

#include "sapphirereel/core/clock.hpp"

#include <cstdint>
#include <optional>

namespace sapphirereel::relay {

/// Order of an event relative to the events forwarded before.
enum class event_order
{
    /// The first event of the stream.
    first,
    /// Directly follows the last event.
    next,
    /// Has been forwarded already.
    duplicate,
    /// An event before it is missing.
    after_gap
};

/// Tracks the events of one stream.
class event_sequence
{
public:
    /// `position` is the number of the last event that the caller has received
    /// before, if it has.
    explicit event_sequence(
        std::optional<std::uint64_t> position = std::nullopt);

    /// Records that a run was sent that continues after the last event, or at
    /// the beginning if there is none.
    auto begin_run() -> void;

    /// Whether the present run has forwarded an event.
    [[nodiscard]] auto has_run_begun() const -> bool
    {
        return has_run_begun_;
    }

    /// Whether the next event must have a number: the run's replica may have
    /// ignored the position after which the run continues.
    [[nodiscard]] auto awaits_number() const -> bool
    {
        return first_allowed_after_ && !has_run_begun_;
    }

    /// Compares an event with those forwarded before. An event without a number
    /// can't be checked and counts as the next one.
    [[nodiscard]] auto classify(std::optional<std::uint64_t> number) const
        -> event_order;

    /// Records that an event was forwarded, and the time since the request
    /// arrived.
    auto record_forwarded(
        std::optional<std::uint64_t> number, duration since_request) -> void;

    [[nodiscard]] auto has_begun() const -> bool
    {
        return count_ > 0;
    }

    [[nodiscard]] auto count() const -> std::uint64_t
    {
        return count_;
    }

    /// Number of the last event, if it had one; the position before the first.
    [[nodiscard]] auto last_number() const -> std::optional<std::uint64_t>
    {
        return last_number_;
    }

    /// Time from the request's arrival to the first and to the last event, and
    /// the longest time between two events.
    [[nodiscard]] auto time_to_first() const -> duration
    {
        return time_to_first_;
    }

    [[nodiscard]] auto time_to_last() const -> duration
    {
        return time_to_last_;
    }

    [[nodiscard]] auto longest_pause() const -> duration
    {
        return longest_pause_;
    }

private:
    std::uint64_t count_ = 0;
    std::optional<std::uint64_t> last_number_;
    /// The position after which the present run continues. No event up to it is
    /// forwarded, also after events without numbers.
    std::optional<std::uint64_t> first_allowed_after_;
    bool has_run_begun_ = false;
    duration time_to_first_{0};
    duration time_to_last_{0};
    duration longest_pause_{0};
};

} // namespace sapphirereel::relay

#endif
