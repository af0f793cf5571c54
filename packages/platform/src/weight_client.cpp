#include "sapphirereel/platform/weight_client.hpp"

#include "http.hpp"

namespace sapphirereel::platform {
namespace {

auto read_budget(nlohmann::json const& value) -> load_budget
{
    return load_budget{value.at("loads_per_minute").get<std::uint32_t>()};
}

} // namespace

weight_client::weight_client(socket_address address, timeouts limits)
    : address_(std::move(address))
    , limits_(limits)
{}

auto weight_client::budget() const -> tl::expected<load_budget, platform_error>
{
    return internal::fetch_json(address_, limits_, "/v1/budget", read_budget);
}

} // namespace sapphirereel::platform
