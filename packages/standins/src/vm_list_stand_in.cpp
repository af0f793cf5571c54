#include "sapphirereel/standins/vm_list_stand_in.hpp"

#include "sapphirereel/standins/present_time.hpp"

namespace sapphirereel::standins {
namespace {

auto empty_list() -> nlohmann::json
{
    return {{"vms", nlohmann::json::array()}};
}

} // namespace

auto vm_list_stand_in::start(vm_list_settings const& settings)
    -> result<std::unique_ptr<vm_list_stand_in>>
{
    auto stand_in =
        std::unique_ptr<vm_list_stand_in>{new vm_list_stand_in{settings}};
    auto server = http_server::start(
        settings.server, [&stand_in](httplib::Server& routes) {
            stand_in->define_routes(routes);
        });
    if (!server)
    {
        return tl::unexpected{server.error()};
    }
    stand_in->server_ = std::move(*server);
    return stand_in;
}

vm_list_stand_in::vm_list_stand_in(vm_list_settings const& settings)
    : list_(settings.lag, present_time(), empty_list())
{}

auto vm_list_stand_in::address() const -> socket_address
{
    return server_->address();
}

auto vm_list_stand_in::define_routes(httplib::Server& server) -> void
{
    server.Get("/v1/vms", [this](auto const& request, auto& response) {
        read(request, response);
    });
    server.Put("/v1/vms", [this](auto const& request, auto& response) {
        put(request, response);
    });
    server.Post("/faults", [this](auto const& request, auto& response) {
        change_faults(nlohmann::json::parse(request.body));
        reply(response, 200, nlohmann::json::object());
    });
}

auto vm_list_stand_in::read(
    httplib::Request const& request, httplib::Response& response) -> void
{
    auto const lock = std::lock_guard{mutex_};
    if (down_)
    {
        drop_connection(request);
        return;
    }
    reply(response, 200, list_.observe(present_time()).value);
}

auto vm_list_stand_in::put(
    httplib::Request const& request, httplib::Response& response) -> void
{
    auto const list = nlohmann::json::parse(request.body);
    static_cast<void>(list.at("vms").get<nlohmann::json::array_t>());
    auto const lock = std::lock_guard{mutex_};
    list_.set(present_time(), list);
    reply(response, 200, nlohmann::json::object());
}

auto vm_list_stand_in::change_faults(nlohmann::json const& change) -> void
{
    auto const lock = std::lock_guard{mutex_};
    down_ = change.value("down", down_);
    if (change.contains("lag_ms"))
    {
        list_.set_lag(
            std::chrono::milliseconds{change.at("lag_ms").get<std::int64_t>()});
    }
}

} // namespace sapphirereel::standins
