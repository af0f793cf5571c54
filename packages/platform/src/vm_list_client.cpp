#include "sapphirereel/platform/vm_list_client.hpp"

#include "http.hpp"

namespace sapphirereel::platform {
namespace {

auto read_vm(nlohmann::json const& value) -> listed_vm
{
    auto const state = value.at("state").get<std::string>();
    return listed_vm{
        value.at("name").get<std::string>(), value.at("ip").get<std::string>(),
        zone_name{value.at("zone").get<std::string>()},
        region_name{value.at("region").get<std::string>()},
        state == "leaving" ? vm_state::leaving : vm_state::live};
}

auto read_list(nlohmann::json const& value) -> std::vector<listed_vm>
{
    auto list = std::vector<listed_vm>{};
    for (auto const& vm : value.at("vms"))
    {
        list.push_back(read_vm(vm));
    }
    return list;
}

} // namespace

vm_list_client::vm_list_client(socket_address address, timeouts limits)
    : address_(std::move(address))
    , limits_(limits)
{}

auto vm_list_client::read() const
    -> tl::expected<std::vector<listed_vm>, platform_error>
{
    return internal::fetch_json(address_, limits_, "/v1/vms", read_list);
}

} // namespace sapphirereel::platform
