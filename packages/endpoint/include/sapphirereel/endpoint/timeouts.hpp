/// \file
/// Defines how long exchanges with an endpoint may take.
#ifndef SAPPHIREREEL_ENDPOINT_TIMEOUTS_HPP
#define SAPPHIREREEL_ENDPOINT_TIMEOUTS_HPP

#include "sapphirereel/core/clock.hpp"

namespace sapphirereel::endpoints {

/// Limits of one exchange. Each exchange opens a connection of its own.
struct timeouts
{
    /// Until the connection stands.
    duration connect{std::chrono::seconds{1}};
    /// Without a byte from the endpoint, heartbeats included.
    duration idle{std::chrono::seconds{5}};
    auto operator<=>(timeouts const&) const = default;
};

} // namespace sapphirereel::endpoints

#endif
