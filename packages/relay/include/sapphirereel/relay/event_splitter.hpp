/// \file
/// Defines how a stream of server-sent events is cut into whole events, whose
/// bytes stay as they are.
#ifndef SAPPHIREREEL_RELAY_EVENT_SPLITTER_HPP
#define SAPPHIREREEL_RELAY_EVENT_SPLITTER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::relay {

/// The bytes of one event, with the empty line that ends it, and its number.
struct raw_event
{
    std::string bytes;
    /// The event's id, where it is a number.
    std::optional<std::uint64_t> number;
    auto operator<=>(raw_event const&) const = default;
};

/// Cuts pieces of a stream into whole events.
class event_splitter
{
public:
    /// Takes a piece and returns the events that it ends.
    auto feed(std::string_view piece) -> std::vector<raw_event>;

    /// Whether bytes of an event that has not ended are held.
    [[nodiscard]] auto has_partial() const -> bool
    {
        return !rest_.empty();
    }

private:
    std::string rest_;
};

} // namespace sapphirereel::relay

#endif
