/// \file
/// Defines the HTTP client of a plain service.
#ifndef SAPPHIREREEL_ENDPOINT_PLAIN_CLIENT_HPP
#define SAPPHIREREEL_ENDPOINT_PLAIN_CLIENT_HPP

#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/endpoint/exchange.hpp"
#include "sapphirereel/endpoint/plain_protocol.hpp"
#include "sapphirereel/endpoint/timeouts.hpp"

namespace sapphirereel::endpoints {

/// Carries one call at a time, blocking its thread. Once stopped it stays
/// stopped.
class plain_client
{
public:
    explicit plain_client(socket_address address, timeouts limits = {});

    /// Sends the call once and waits for its answer. The path goes out as it
    /// stands, so it is percent-encoded already.
    auto call(call_content const& content) -> plain_call_outcome;

    /// Breaks off the call from any thread, without blocking.
    auto stop() -> void;

private:
    internal::exchange exchange_;
};

static_assert(plain_protocol<plain_client>);

} // namespace sapphirereel::endpoints

#endif
