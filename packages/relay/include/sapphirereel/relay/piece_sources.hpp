/// \file
/// Defines which peer is asked next for pieces of a large value.
#ifndef SAPPHIREREEL_RELAY_PIECE_SOURCES_HPP
#define SAPPHIREREEL_RELAY_PIECE_SOURCES_HPP

#include "sapphirereel/core/clock.hpp"

#include <map>
#include <optional>
#include <random>
#include <string>

namespace sapphirereel::relay {

/// Peers that hold a value or pieces of it.
class piece_sources
{
public:
    /// Adds a peer, unless it is known.
    auto add(std::string const& ip) -> void;

    /// A peer that may be asked now and is not being asked, drawn at random so
    /// that the load spreads. It counts as being asked until `finish`.
    auto choose(time_point now, std::mt19937_64& random)
        -> std::optional<std::string>;

    /// Records the end of a call to a peer, which is not asked before `again`.
    auto finish(std::string const& ip, time_point again) -> void;

    /// When the next peer that is not being asked may be asked; none if there
    /// is none.
    [[nodiscard]] auto next_at() const -> std::optional<time_point>;

private:
    struct source
    {
        time_point usable_from{};
        bool is_asked = false;
    };

    std::map<std::string, source> sources_;
};

} // namespace sapphirereel::relay

#endif
