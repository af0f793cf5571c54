#include "sapphirereel/relay/event_sequence.hpp"

#include <algorithm>

namespace sapphirereel::relay {

event_sequence::event_sequence(std::optional<std::uint64_t> position)
    : last_number_(position)
    , first_allowed_after_(position)
{}

auto event_sequence::begin_run() -> void
{
    first_allowed_after_ = std::max(first_allowed_after_, last_number_);
    has_run_begun_ = false;
}

auto event_sequence::classify(std::optional<std::uint64_t> number) const
    -> event_order
{
    // Empty values compare as lower than any number.
    if (number && number <= std::max(last_number_, first_allowed_after_))
    {
        return event_order::duplicate;
    }
    if (number && last_number_ && *number != *last_number_ + 1)
    {
        return event_order::after_gap;
    }
    return has_begun() ? event_order::next : event_order::first;
}

auto event_sequence::record_forwarded(
    std::optional<std::uint64_t> number, duration since_request) -> void
{
    if (has_begun())
    {
        longest_pause_ =
            std::max(longest_pause_, since_request - time_to_last_);
    }
    else
    {
        time_to_first_ = since_request;
    }
    time_to_last_ = since_request;
    last_number_ = number;
    has_run_begun_ = true;
    ++count_;
}

} // namespace sapphirereel::relay
