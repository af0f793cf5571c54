/// \file
/// Defines the splitter of a stream of server-sent events into complete events,
/// whose bytes are left unchanged.
#ifndef SAPPHIREREEL_RELAY_EVENT_SPLITTER_HPP
#define SAPPHIREREEL_RELAY_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::relay {

/// Largest event, in bytes.
inline constexpr auto max_event_bytes = std::size_t{262'144};

/// The bytes of one event, including the empty line that ends it, and its
/// number.
struct raw_event
{
    std::string bytes;
    /// The event's id, if it is a number.
    std::optional<std::uint64_t> number;
    auto operator<=>(raw_event const&) const = default;
};

/// Splits a stream that arrives in pieces into complete events.
class event_splitter
{
public:
    /// Appends a piece of the stream and returns the events that it completes.
    auto feed(std::string_view piece) -> std::vector<raw_event>;

    /// Whether the incomplete event is longer than events may be.
    [[nodiscard]] auto is_too_long() const -> bool
    {
        return partial_.size() > max_event_bytes;
    }

    /// Whether bytes of an incomplete event are buffered.
    [[nodiscard]] auto has_partial() const -> bool
    {
        return !partial_.empty();
    }

private:
    std::string partial_;
    /// Bytes of `partial_` that hold no end of an event.
    std::size_t searched_ = 0;
};

} // namespace sapphirereel::relay

#endif
