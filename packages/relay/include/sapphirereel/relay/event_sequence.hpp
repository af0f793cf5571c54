/// \file
/// Defines what is known of the events that a caller has got of its stream:
/// that each comes once and in order, over all runs, and how long they took.
#ifndef SAPPHIREREEL_RELAY_EVENT_SEQUENCE_HPP
#define SAPPHIREREEL_RELAY_EVENT_SEQUENCE_HPP

#include "sapphirereel/core/clock.hpp"

#include <cstdint>
#include <optional>

namespace sapphirereel::relay {

/// What becomes of an event.
enum class event_order
{
    /// The first of the stream.
    first,
    /// Follows the one before.
    next,
    /// The caller has it already.
    duplicate,
    /// One before it is missing.
    after_gap
};

/// The events of one stream.
class event_sequence
{
public:
    /// The place of an event with a number, if it has one.
    [[nodiscard]] auto classify(std::optional<std::uint64_t> number) const
        -> event_order;

    /// Takes in that an event was passed on, so long after the request came.
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

    /// Number of the last event, if it had one.
    [[nodiscard]] auto last_number() const -> std::optional<std::uint64_t>
    {
        return last_number_;
    }

    /// Times since the request came, and the longest between two events.
    [[nodiscard]] auto time_to_first() const -> duration
    {
        return first_after_;
    }

    [[nodiscard]] auto time_to_last() const -> duration
    {
        return last_after_;
    }

    [[nodiscard]] auto longest_pause() const -> duration
    {
        return longest_pause_;
    }

private:
    std::uint64_t count_ = 0;
    std::optional<std::uint64_t> last_number_;
    duration first_after_{0};
    duration last_after_{0};
    duration longest_pause_{0};
};

} // namespace sapphirereel::relay

#endif
