#include "sapphirereel/standins/plain_stand_in.hpp"

#include <cstdlib>

namespace sapphirereel::standins {
namespace {

constexpr auto crash_exit_code = 70;

} // namespace

auto plain_stand_in::start(plain_settings const& settings)
    -> result<std::unique_ptr<plain_stand_in>>
{
    auto stand_in =
        std::unique_ptr<plain_stand_in>{new plain_stand_in{settings}};
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

plain_stand_in::plain_stand_in(plain_settings const& settings)
    : settings_(settings)
{
    if (!settings_.on_crash)
    {
        settings_.on_crash = [] {
            std::_Exit(crash_exit_code);
        };
    }
}

plain_stand_in::~plain_stand_in()
{
    {
        auto const lock = std::lock_guard{mutex_};
        stopping_ = true;
    }
    changed_.notify_all();
}

auto plain_stand_in::address() const -> socket_address
{
    return server_->address();
}

auto plain_stand_in::set_faults(plain_faults const& faults) -> void
{
    {
        auto const lock = std::lock_guard{mutex_};
        faults_ = faults;
    }
    changed_.notify_all();
}

auto plain_stand_in::effects() -> std::vector<plain_effect>
{
    auto const lock = std::lock_guard{mutex_};
    auto all = std::vector<plain_effect>{};
    for (auto const& [key, count] : effects_)
    {
        all.push_back({key.name, key.path, count});
    }
    return all;
}

auto plain_stand_in::define_routes(httplib::Server& server) -> void
{
    server.Post("/faults", [this](auto const& request, auto& response) {
        change_faults(nlohmann::json::parse(request.body));
        reply(response, 200, nlohmann::json::object());
    });
    server.Get("/standin/effects", [this](auto const&, auto& response) {
        auto body = nlohmann::json::array();
        for (auto const& [name, path, count] : effects())
        {
            body.push_back({{"name", name}, {"path", path}, {"count", count}});
        }
        reply(response, 200, body);
    });
    auto const any = [this](auto const& request, auto& response) {
        call(request, response);
    };
    server.Get(".*", any);
    server.Post(".*", any);
    server.Put(".*", any);
    server.Patch(".*", any);
    server.Delete(".*", any);
    server.Options(".*", any);
}

auto plain_stand_in::call(
    httplib::Request const& request, httplib::Response& response) -> void
{
    auto lock = std::unique_lock{mutex_};
    if (faults_.refuse > 0)
    {
        --faults_.refuse;
        reply(response, 503, {{"error", "refused"}});
        return;
    }
    wait_for_fault(lock);
    if (stopping_)
    {
        drop_connection(request);
        return;
    }
    auto const& marker = settings_.crash_marker;
    if (!marker.empty() && request.body.find(marker) != std::string::npos)
    {
        settings_.on_crash();
    }
    auto const name = request.get_header_value("Idempotency-Key");
    auto const count = ++effects_[{name, request.path}];
    if (faults_.drop_answers > 0)
    {
        --faults_.drop_answers;
        drop_connection(request);
        return;
    }
    reply(
        response, 200,
        {{"service", settings_.name},
         {"method", request.method},
         {"path", request.path},
         {"name", name},
         {"effect", count},
         {"received_bytes", request.body.size()}});
}

auto plain_stand_in::change_faults(nlohmann::json const& change) -> void
{
    {
        auto const lock = std::lock_guard{mutex_};
        faults_.delay_ms = change.value("delay_ms", faults_.delay_ms);
        faults_.drop_answers =
            change.value("drop_answers", faults_.drop_answers);
        faults_.refuse = change.value("refuse", faults_.refuse);
        faults_.silent = change.value("silent", faults_.silent);
    }
    changed_.notify_all();
}

auto plain_stand_in::wait_for_fault(std::unique_lock<std::mutex>& lock) -> void
{
    auto const delay = std::chrono::milliseconds{faults_.delay_ms};
    changed_.wait_for(lock, delay, [this] { return stopping_; });
    changed_.wait(lock, [this] { return stopping_ || !faults_.silent; });
}

} // namespace sapphirereel::standins
