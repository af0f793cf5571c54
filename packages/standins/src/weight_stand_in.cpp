#include "sapphirereel/standins/weight_stand_in.hpp"

#include "sapphirereel/standins/present_time.hpp"

namespace sapphirereel::standins {

auto weight_stand_in::start(weight_settings const& settings)
    -> result<std::unique_ptr<weight_stand_in>>
{
    auto stand_in =
        std::unique_ptr<weight_stand_in>{new weight_stand_in{settings}};
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

weight_stand_in::weight_stand_in(weight_settings const& settings)
    : loads_per_minute_(settings.loads_per_minute)
    , loads_(
          settings.loads_per_minute,
          std::chrono::minutes{1},
          settings.loads_per_minute)
{}

auto weight_stand_in::address() const -> socket_address
{
    return server_->address();
}

auto weight_stand_in::define_routes(httplib::Server& server) -> void
{
    server.Get("/v1/budget", [this](auto const&, auto& response) {
        reply(response, 200, {{"loads_per_minute", loads_per_minute_}});
    });
    server.Get(
        "/v1/weights/([^/]+)/([^/]+)",
        [this](auto const& request, auto& response) {
            fetch(request, response);
        });
    server.Get("/standin/loads", [this](auto const&, auto& response) {
        auto const lock = std::lock_guard{mutex_};
        reply(response, 200, {{"served", served_}, {"refused", refused_}});
    });
    server.Post("/faults", [this](auto const& request, auto& response) {
        auto const change = nlohmann::json::parse(request.body);
        auto const lock = std::lock_guard{mutex_};
        down_ = change.value("down", down_);
        reply(response, 200, nlohmann::json::object());
    });
}

auto weight_stand_in::fetch(
    httplib::Request const& request, httplib::Response& response) -> void
{
    auto const lock = std::lock_guard{mutex_};
    if (down_)
    {
        drop_connection(request);
        return;
    }
    if (!loads_.take(present_time()))
    {
        ++refused_;
        reply(response, 429, {{"error", "load rate"}});
        return;
    }
    ++served_;
    auto const model = request.matches[1].str();
    auto const version = request.matches[2].str();
    reply(response, 200, {{"model", model}, {"version", version}});
}

} // namespace sapphirereel::standins
