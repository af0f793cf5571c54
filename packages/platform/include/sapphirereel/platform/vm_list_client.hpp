/// \file
/// Defines the HTTP client of the platform's VM list.
#ifndef SAPPHIREREEL_PLATFORM_VM_LIST_CLIENT_HPP
#define SAPPHIREREEL_PLATFORM_VM_LIST_CLIENT_HPP

#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/platform/timeouts.hpp"
#include "sapphirereel/platform/vm_list_service.hpp"

namespace sapphirereel::platform {

/// Reads the VM list at one address.
class vm_list_client
{
public:
    explicit vm_list_client(socket_address address, timeouts limits = {});

    /// All VMs in the order of the list.
    [[nodiscard]] auto read() const
        -> tl::expected<std::vector<listed_vm>, platform_error>;

private:
    socket_address address_;
    timeouts limits_;
};

static_assert(vm_list_service<vm_list_client>);

} // namespace sapphirereel::platform

#endif
