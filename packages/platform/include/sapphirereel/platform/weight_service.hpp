/// \file
/// Defines what the platform's weight store says of its rate limit. Engines
/// fetch the weights themselves.
#ifndef SAPPHIREREEL_PLATFORM_WEIGHT_SERVICE_HPP
#define SAPPHIREREEL_PLATFORM_WEIGHT_SERVICE_HPP

#include "sapphirereel/platform/vm_list_service.hpp"

#include <cstdint>

namespace sapphirereel::platform {

/// How many loads the weight store serves, for all engines together.
struct load_budget
{
    std::uint32_t loads_per_minute = 0;
    auto operator<=>(load_budget const&) const = default;
};

/// A weight store. Calls block and may be made from several threads.
template <class Service>
concept weight_service = requires(Service const& store)
{
    {
        store.budget()
        } -> std::same_as<tl::expected<load_budget, platform_error>>;
};

} // namespace sapphirereel::platform

#endif
