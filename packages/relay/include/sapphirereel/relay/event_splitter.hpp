/// \file
/// Defines the splitter of a stream of server-sent events into complete events,
/// whose bytes are left unchanged.
#ifndef SAPPHIREREEL_RELAY_EVENT_SPLITTER_HPP
#define SAPPHIREREEL_RELAY_EVENT_SPLITTER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::relay {

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

    /// Whether bytes of an incomplete event are buffered.
    [[nodiscard]] auto has_partial() const -> bool
    {
        return !partial_.empty();
    }

private:
    std::string partial_;
};

} // namespace sapphirereel::relay

#endif
