/// \file
/// Defines the bounded queue of messages that wait for a connection.
#ifndef SAPPHIREREEL_PEER_MESSAGE_QUEUE_HPP
#define SAPPHIREREEL_PEER_MESSAGE_QUEUE_HPP

#include "sapphirereel/core/clock.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace sapphirereel::peer::internal {

/// Bounds of a queue.
struct queue_limits
{
    std::size_t messages = 0;
    std::size_t bytes = 0;
    duration lifetime{};
    auto operator<=>(queue_limits const&) const = default;
};

/// Messages in the order of sending; beyond a bound the oldest are dropped.
class message_queue
{
public:
    explicit message_queue(queue_limits const& limits);

    /// Adds a message and returns how many were dropped for it.
    auto push(std::string message, time_point now) -> std::size_t;

    /// Drops the messages that are too old and returns their number.
    auto expire(time_point now) -> std::size_t;

    /// Drops all messages and returns their number.
    auto clear() -> std::size_t;

    /// Takes the oldest message.
    auto pop() -> std::optional<std::string>;

    /// Size of the oldest message in bytes; 0 when the queue is empty.
    [[nodiscard]] auto front_bytes() const -> std::size_t;

    [[nodiscard]] auto empty() const -> bool;

private:
    struct entry
    {
        std::string message;
        time_point sent;
    };

    queue_limits limits_;
    std::deque<entry> entries_;
    std::size_t bytes_ = 0;
};

} // namespace sapphirereel::peer::internal

#endif
