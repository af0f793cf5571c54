/// \file
/// Defines what the platform says of the entry VMs. The list lags.
#ifndef SAPPHIREREEL_PLATFORM_VM_LIST_SERVICE_HPP
#define SAPPHIREREEL_PLATFORM_VM_LIST_SERVICE_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <concepts>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace sapphirereel::platform {

/// Whether the platform means a VM to stay.
enum class vm_state
{
    live,
    leaving
};

/// One VM of the list.
struct listed_vm
{
    std::string name;
    std::string ip;
    zone_name zone;
    region_name region;
    vm_state state = vm_state::live;
    auto operator<=>(listed_vm const&) const = default;
};

/// Why an answer of the platform could not be had.
struct platform_error
{
    std::string detail;
    auto operator<=>(platform_error const&) const = default;
};

/// A VM list. Calls block and may be made from several threads.
template <class Service>
concept vm_list_service = requires(Service const& list)
{
    {
        list.read()
        } -> std::same_as<tl::expected<std::vector<listed_vm>, platform_error>>;
};

} // namespace sapphirereel::platform

#endif
