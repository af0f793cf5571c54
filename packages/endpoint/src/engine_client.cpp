#include "sapphirereel/endpoint/engine_client.hpp"

#include "sapphirereel/endpoint/exchange.hpp"

#include <nlohmann/json.hpp>

namespace sapphirereel::endpoints {
namespace {

using internal::exchange_end;

auto read_load(nlohmann::json const& value) -> load_report
{
    auto report = load_report{
        value.at("memory_tokens_used").get<std::uint64_t>(),
        value.at("memory_tokens_total").get<std::uint64_t>(),
        value.at("running").get<std::uint32_t>(),
        value.at("waiting").get<std::uint32_t>(),
        value.at("preemptions").get<std::uint64_t>(),
        {},
        std::chrono::milliseconds{value.at("age_ms").get<std::int64_t>()}};
    for (auto const& model : value.at("models"))
    {
        report.models.emplace_back(model.get<std::string>());
    }
    return report;
}

auto read_event(nlohmann::json const& value) -> cache_event
{
    auto const stored = value.at("kind").get<std::string>() == "stored";
    return cache_event{
        value.at("number").get<std::uint64_t>(),
        stored ? cache_event_kind::stored : cache_event_kind::evicted,
        digest{value.at("prefix").get<std::string>()}};
}

auto read_events(nlohmann::json const& value) -> cache_event_page
{
    auto page = cache_event_page{value.at("next").get<std::uint64_t>(), {}};
    for (auto const& event : value.at("events"))
    {
        page.events.push_back(read_event(event));
    }
    return page;
}

auto read_fence(std::string const& body) -> log_offset
{
    auto const value = nlohmann::json::parse(body, nullptr, false);
    auto const is_fence = value.is_object() && value.contains("fence") &&
                          value["fence"].is_number_unsigned();
    return log_offset{is_fence ? value["fence"].get<std::uint64_t>() : 0};
}

auto name_of_kind(order_kind kind) -> char const*
{
    switch (kind)
    {
    case order_kind::load_model:
        return "load_model";
    case order_kind::unload_model:
        return "unload_model";
    case order_kind::load_adapter:
        return "load_adapter";
    case order_kind::unload_adapter:
        return "unload_adapter";
    case order_kind::set_role:
        return "set_role";
    }
    return "";
}

template <class Decode>
auto ask(
    socket_address const& address,
    timeouts const& limits,
    std::string path,
    Decode decode)
    -> tl::expected<decltype(decode(nlohmann::json{})), engine_error>
{
    auto exchange = internal::exchange{address, limits};
    auto const outcome = exchange.perform({"GET", std::move(path), {}, {}});
    if (outcome.end != exchange_end::answered)
    {
        return tl::unexpected{engine_error{outcome.detail}};
    }
    if (outcome.answer.status != 200)
    {
        return tl::unexpected{
            engine_error{"status " + std::to_string(outcome.answer.status)}};
    }
    try
    {
        return decode(nlohmann::json::parse(outcome.answer.body));
    }
    catch (nlohmann::json::exception const& error)
    {
        return tl::unexpected{engine_error{error.what()}};
    }
}

} // namespace

engine_client::engine_client(socket_address address, timeouts limits)
    : address_(std::move(address))
    , limits_(limits)
{}

auto engine_client::cancel(run_id const& run) const -> bool
{
    auto exchange = internal::exchange{address_, limits_};
    auto const outcome =
        exchange.perform({"DELETE", "/v1/runs/" + run.str(), {}, {}});
    auto const status = outcome.answer.status;
    return outcome.end == exchange_end::answered &&
           (status == 204 || status == 404);
}

auto engine_client::load() const -> tl::expected<load_report, engine_error>
{
    return ask(address_, limits_, "/v1/load", read_load);
}

auto engine_client::cache_events(std::uint64_t from) const
    -> tl::expected<cache_event_page, engine_error>
{
    auto const path = "/v1/cache-events?from=" + std::to_string(from);
    return ask(address_, limits_, path, read_events);
}

auto engine_client::order(engine_order const& order) const -> order_outcome
{
    auto const body = nlohmann::json{
        {"fence", order.fence.value},
        {"kind", name_of_kind(order.kind)},
        {"subject", order.subject},
        {"version", order.version}};
    auto exchange = internal::exchange{address_, limits_};
    auto const outcome = exchange.perform(
        {"POST",
         "/v1/orders",
         {{"Content-Type", "application/json"}},
         body.dump()});
    auto const status = outcome.answer.status;
    if (outcome.end == exchange_end::not_sent)
    {
        return {order_status::refused, {}, outcome.detail};
    }
    if (outcome.end != exchange_end::answered)
    {
        return {order_status::unanswered, {}, outcome.detail};
    }
    if (status == 200)
    {
        return {order_status::done, order.fence, {}};
    }
    if (status == 409)
    {
        auto const fence = read_fence(outcome.answer.body);
        return {order_status::fenced, fence, outcome.answer.body};
    }
    auto const refused = status == 503 || (status >= 400 && status < 500);
    return {
        refused ? order_status::refused : order_status::unanswered,
        {},
        outcome.answer.body};
}

} // namespace sapphirereel::endpoints
