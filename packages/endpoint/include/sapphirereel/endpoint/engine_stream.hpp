/// \file
/// Defines the HTTP client of one stream of an engine's run.
#ifndef SAPPHIREREEL_ENDPOINT_ENGINE_STREAM_HPP
#define SAPPHIREREEL_ENDPOINT_ENGINE_STREAM_HPP

#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/endpoint/engine_protocol.hpp"
#include "sapphirereel/endpoint/exchange.hpp"
#include "sapphirereel/endpoint/timeouts.hpp"

namespace sapphirereel::endpoints {

/// Carries one stream at a time, blocking its thread. Once stopped it stays
/// stopped: make a new one for another stream.
///
/// Example:
/// \code
/// auto stream = engine_stream{address, limits};
/// auto const outcome = stream.run(request, [&](token_event const& event) {
///     return deliver(event);
/// });
/// \endcode
class engine_stream
{
public:
    explicit engine_stream(socket_address address, timeouts limits = {});

    /// Starts a run and delivers its tokens until it ends.
    auto run(run_request const& request, token_sink const& sink)
        -> stream_outcome;

    /// Delivers the tokens of a run that exists, from one of them on.
    auto attach(attach_request const& request, token_sink const& sink)
        -> stream_outcome;

    /// Ends the stream from any thread, without blocking. It doesn't cancel
    /// the run at the engine.
    auto stop() -> void;

private:
    internal::exchange exchange_;
};

static_assert(engine_stream_protocol<engine_stream>);

} // namespace sapphirereel::endpoints

#endif
