/// \file
/// Defines what a relay is told at its start.
#ifndef SAPPHIREREEL_RELAY_RELAY_SETTINGS_HPP
#define SAPPHIREREEL_RELAY_RELAY_SETTINGS_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/relay/retry_share.hpp"

#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace sapphirereel::relay {

/// An address to listen on or to call, as text that has been checked.
struct listen_address
{
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] auto endpoint() const -> asio::ip::tcp::endpoint
    {
        return {asio::ip::make_address(ip), port};
    }

    [[nodiscard]] auto text() const -> std::string
    {
        return ip + ":" + std::to_string(port);
    }

    auto operator<=>(listen_address const&) const = default;
};

/// What a relay is told at its start.
struct relay_settings
{
    std::string name;
    zone_name zone;
    listen_address callers;
    /// Datagrams and calls between daemons, and metrics.
    listen_address peers;
    std::vector<std::string> seeds;
    retry_budget_terms retry_budget;
    /// Longest time from the order to stop to the process' end.
    duration stop_limit{std::chrono::seconds{8}};
    auto operator<=>(relay_settings const&) const = default;
};

} // namespace sapphirereel::relay

#endif
