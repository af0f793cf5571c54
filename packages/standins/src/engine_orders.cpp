#include "sapphirereel/standins/engine_orders.hpp"

#include <algorithm>
#include <httplib.h>

namespace sapphirereel::standins {

engine_orders::engine_orders(order_settings settings)
    : settings_(std::move(settings))
    , models_(settings_.models.begin(), settings_.models.end())
{}

auto engine_orders::take(nlohmann::json const& order) -> order_reply
{
    auto const fence = order.at("fence").get<std::uint64_t>();
    auto const kind = order.at("kind").get<std::string>();
    auto const subject = order.at("subject").get<std::string>();
    if (settings_.checks_fencing && fence < highest_fence_)
    {
        ++fenced_;
        return {409, {{"fence", highest_fence_}}};
    }
    highest_fence_ = std::max(highest_fence_, fence);
    if (kind == "load_model")
    {
        auto const version = order.value("version", std::string{});
        if (!models_.contains(subject) && !fetch(subject, version))
        {
            return {503, {{"error", "weight store"}}};
        }
        models_.insert(subject);
    }
    else if (kind == "unload_model")
    {
        models_.erase(subject);
    }
    else if (kind == "load_adapter")
    {
        adapters_.insert(subject);
    }
    else if (kind == "unload_adapter")
    {
        adapters_.erase(subject);
    }
    else if (kind == "set_role")
    {
        role_ = subject;
    }
    else
    {
        return {400, {{"error", "unknown kind of order"}}};
    }
    ++taken_;
    return {200, nlohmann::json::object()};
}

auto engine_orders::serves(std::string const& model) const -> bool
{
    return settings_.models.empty() || model.empty() || models_.contains(model);
}

auto engine_orders::models() const -> std::set<std::string> const&
{
    return models_;
}

auto engine_orders::state() const -> nlohmann::json
{
    return {{"fence", highest_fence_}, {"taken", taken_},
            {"fenced", fenced_},       {"models", models_},
            {"adapters", adapters_},   {"role", role_}};
}

auto engine_orders::fetch(
    std::string const& model, std::string const& version) const -> bool
{
    if (!settings_.weight_store)
    {
        return true;
    }
    auto const& store = *settings_.weight_store;
    auto client = httplib::Client{store.ip, store.port};
    auto const named = version.empty() ? std::string{"latest"} : version;
    auto const answer = client.Get("/v1/weights/" + model + "/" + named);
    return answer && answer->status == 200;
}

} // namespace sapphirereel::standins
