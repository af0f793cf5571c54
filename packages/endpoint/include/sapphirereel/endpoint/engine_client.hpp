/// \file
/// Defines the HTTP client of an engine's short calls.
#ifndef SAPPHIREREEL_ENDPOINT_ENGINE_CLIENT_HPP
#define SAPPHIREREEL_ENDPOINT_ENGINE_CLIENT_HPP

#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/endpoint/engine_protocol.hpp"
#include "sapphirereel/endpoint/timeouts.hpp"

namespace sapphirereel::endpoints {

/// Speaks to the engine at one address.
class engine_client
{
public:
    explicit engine_client(socket_address address, timeouts limits = {});

    /// Cancels a run. True if the engine confirmed that it no longer runs.
    [[nodiscard]] auto cancel(run_id const& run) const -> bool;

    /// The engine's last load report.
    [[nodiscard]] auto load() const -> tl::expected<load_report, engine_error>;

    /// Events of the prefix cache from a number on.
    [[nodiscard]] auto cache_events(std::uint64_t from) const
        -> tl::expected<cache_event_page, engine_error>;

    /// Gives an order.
    [[nodiscard]] auto order(engine_order const& order) const -> order_outcome;

private:
    socket_address address_;
    timeouts limits_;
};

static_assert(engine_protocol<engine_client>);

} // namespace sapphirereel::endpoints

#endif
