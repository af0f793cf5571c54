/// \file
/// Defines how the engine stand-in carries out orders, and how it takes their
/// fencing numbers.
#ifndef SAPPHIREREEL_STANDINS_ENGINE_ORDERS_HPP
#define SAPPHIREREEL_STANDINS_ENGINE_ORDERS_HPP

#include "sapphirereel/core/configuration.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphirereel::standins {

/// How an engine takes orders.
struct order_settings
{
    /// Whether an order with an old fencing number is refused.
    bool checks_fencing = true;
    /// Models at the start. An engine without any serves every model.
    std::vector<std::string> models;
    /// Where models are fetched; without it they load at once.
    std::optional<socket_address> weight_store;
    auto operator<=>(order_settings const&) const = default;
};

/// An answer to an order.
struct order_reply
{
    int status = 200;
    nlohmann::json body;
};

/// What an engine has loaded.
class engine_orders
{
public:
    explicit engine_orders(order_settings settings);

    /// Carries an order out; throws a JSON exception if it is malformed.
    auto take(nlohmann::json const& order) -> order_reply;

    /// Whether requests for a model are served.
    [[nodiscard]] auto serves(std::string const& model) const -> bool;
    [[nodiscard]] auto models() const -> std::set<std::string> const&;

    /// Everything that orders have set, for inspection.
    [[nodiscard]] auto state() const -> nlohmann::json;

private:
    auto fetch(std::string const& model, std::string const& version) const
        -> bool;

    order_settings settings_;
    std::uint64_t highest_fence_ = 0;
    std::uint64_t taken_ = 0;
    std::uint64_t fenced_ = 0;
    std::set<std::string> models_;
    std::set<std::string> adapters_;
    std::string role_;
};

} // namespace sapphirereel::standins

#endif
