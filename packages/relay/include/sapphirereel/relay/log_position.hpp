/// \file
/// Defines a position in a stream of the platform's log: an offset within one
/// era of the log.
#ifndef SAPPHIREREEL_RELAY_LOG_POSITION_HPP
#define SAPPHIREREEL_RELAY_LOG_POSITION_HPP

#include <compare>
#include <cstdint>

namespace sapphirereel::relay {

/// A position in a log stream. The log's era rises when the log is restored
/// from an older copy; offsets then go back and are assigned again, so that
/// offsets of different eras must not be compared. Positions are ordered by
/// era, then by offset.
struct log_position
{
    constexpr log_position() = default;

    /// A position in a given era; 0 is the era of a log that states none.
    constexpr explicit(false)
        log_position(std::uint64_t offset_in_era, std::uint64_t era_of_log = 0)
        : era(era_of_log)
        , offset(offset_in_era)
    {}

    /// The position one record later.
    [[nodiscard]] constexpr auto following() const -> log_position
    {
        return {offset + 1, era};
    }

    /// The position one record earlier; `offset` must not be 0.
    [[nodiscard]] constexpr auto preceding() const -> log_position
    {
        return {offset - 1, era};
    }

    std::uint64_t era = 0;
    std::uint64_t offset = 0;
    auto operator<=>(log_position const&) const = default;
};

} // namespace sapphirereel::relay

#endif
