#include "sapphirereel/peer/message_queue.hpp"

#include <utility>

namespace sapphirereel::peer::internal {

message_queue::message_queue(queue_limits const& limits)
    : limits_(limits)
{}

auto message_queue::push(std::string message, time_point now) -> std::size_t
{
    bytes_ += message.size();
    entries_.push_back({std::move(message), now});
    auto dropped = std::size_t{0};
    while (entries_.size() > limits_.messages || bytes_ > limits_.bytes)
    {
        pop();
        ++dropped;
    }
    return dropped;
}

auto message_queue::expire(time_point now) -> std::size_t
{
    auto dropped = std::size_t{0};
    while (!entries_.empty() && now - entries_.front().sent >= limits_.lifetime)
    {
        pop();
        ++dropped;
    }
    return dropped;
}

auto message_queue::clear() -> std::size_t
{
    auto const dropped = entries_.size();
    entries_.clear();
    bytes_ = 0;
    return dropped;
}

auto message_queue::pop() -> std::optional<std::string>
{
    if (entries_.empty())
    {
        return std::nullopt;
    }
    auto message = std::move(entries_.front().message);
    bytes_ -= message.size();
    entries_.pop_front();
    return message;
}

auto message_queue::front_bytes() const -> std::size_t
{
    return entries_.empty() ? 0 : entries_.front().message.size();
}

auto message_queue::empty() const -> bool
{
    return entries_.empty();
}

} // namespace sapphirereel::peer::internal
