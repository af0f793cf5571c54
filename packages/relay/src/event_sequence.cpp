#include "sapphirereel/relay/event_sequence.hpp"

#include <algorithm>

namespace sapphirereel::relay {

auto event_sequence::classify(std::optional<std::uint64_t> number) const
    -> event_order
{
    if (number && last_number_ && *number <= *last_number_)
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
    ++count_;
}

} // namespace sapphirereel::relay
