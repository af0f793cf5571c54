/// \file
/// Defines the HTTP client of the platform's weight store.
#ifndef SAPPHIREREEL_PLATFORM_WEIGHT_CLIENT_HPP
#define SAPPHIREREEL_PLATFORM_WEIGHT_CLIENT_HPP

#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/platform/timeouts.hpp"
#include "sapphirereel/platform/weight_service.hpp"

namespace sapphirereel::platform {

/// Asks the weight store at one address.
class weight_client
{
public:
    explicit weight_client(socket_address address, timeouts limits = {});

    /// The store's rate limit.
    [[nodiscard]] auto budget() const
        -> tl::expected<load_budget, platform_error>;

private:
    socket_address address_;
    timeouts limits_;
};

static_assert(weight_service<weight_client>);

} // namespace sapphirereel::platform

#endif
