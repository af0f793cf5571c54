/// \file
/// Defines the stand-in of the platform's lagging VM list.
#ifndef SAPPHIREREEL_STANDINS_VM_LIST_STAND_IN_HPP
#define SAPPHIREREEL_STANDINS_VM_LIST_STAND_IN_HPP

#include "sapphirereel/standins/http_server.hpp"
#include "sapphirereel/standins/lagging.hpp"

#include <mutex>

namespace sapphirereel::standins {

/// How the VM list stand-in behaves.
struct vm_list_settings
{
    server_settings server;
    /// How late a change is seen.
    duration lag{0};
    auto operator<=>(vm_list_settings const&) const = default;
};

/// A running VM list. It hands out the JSON that was last put into it.
class vm_list_stand_in
{
public:
    static auto start(vm_list_settings const& settings)
        -> result<std::unique_ptr<vm_list_stand_in>>;

    [[nodiscard]] auto address() const -> socket_address;

private:
    explicit vm_list_stand_in(vm_list_settings const& settings);
    auto define_routes(httplib::Server& server) -> void;
    auto read(httplib::Request const& request, httplib::Response& response)
        -> void;
    auto put(httplib::Request const& request, httplib::Response& response)
        -> void;
    auto change_faults(nlohmann::json const& change) -> void;

    std::mutex mutex_;
    bool down_ = false;
    lagging<nlohmann::json> list_;
    std::unique_ptr<http_server> server_;
};

} // namespace sapphirereel::standins

#endif
