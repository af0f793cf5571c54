#include "sapphirereel/core/weight_budget.hpp"

#include "sapphirereel/core/rendezvous.hpp"

namespace sapphirereel {

auto weight_lease(std::uint32_t number) -> lease_name
{
    return lease_name{"weights/" + std::to_string(number)};
}

auto find_free_weight_lease(
    lease_table const& table,
    daemon_id const& self,
    std::uint32_t loads_per_minute,
    time_point now) -> std::optional<lease_name>
{
    auto const start = rendezvous_weight("weights", self.str());
    for (std::uint32_t i = 0; i < loads_per_minute; ++i)
    {
        auto const number = (start + i) % loads_per_minute;
        auto const name = weight_lease(static_cast<std::uint32_t>(number));
        if (table.is_free(name, duration::zero(), now))
        {
            return name;
        }
    }
    return std::nullopt;
}

} // namespace sapphirereel
