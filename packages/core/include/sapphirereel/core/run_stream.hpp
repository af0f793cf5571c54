/// \file
/// Defines one stream of a run: its number, the chunks it carries, how it
/// ends, and the endpoint that executes the run. Here a stream is a connection
/// that carries a run's tokens; a stream of the replica's ledger (stream_offer)
/// is the run itself, which may use several such connections.
#ifndef SAPPHIREREEL_CORE_RUN_STREAM_HPP
#define SAPPHIREREEL_CORE_RUN_STREAM_HPP

#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <cstdint>
#include <string>

namespace sapphirereel {

/// Numbers a connection that carries tokens of a run to this daemon. Each new
/// connection has a new number, by which late events of an old one are
/// recognized.
struct stream_number
{
    std::uint64_t value = 0;
    auto operator<=>(stream_number const&) const = default;
};

/// One chunk of a generation, as sent by the engine. A chunk without a token,
/// such as the one with the usage, has `is_token` false.
struct run_chunk
{
    /// Index of the token in the whole generation, counted from 0.
    std::uint64_t index = 0;
    bool is_token = true;
    /// The chunk's JSON text.
    std::string json;
    /// The output text that the token adds.
    std::string text;
    auto operator<=>(run_chunk const&) const = default;
};

/// How a stream of a run ended.
enum class run_end
{
    /// The whole generation was delivered.
    finished,
    /// On a start: the run was certainly not started. On an attach: the
    /// connection was refused, so the process has ended and its runs are lost.
    refused_not_run,
    /// The engine refused the request itself; any other engine would too.
    rejected,
    /// The connection broke or went silent; the run may still continue.
    lost,
    /// A later attachment took the run over.
    superseded,
    /// The engine has no such run.
    unknown_run,
    /// The stream was stopped from this side, or the run was cancelled.
    cancelled
};

/// The end of a stream, with the engine's message where it refused.
struct run_outcome
{
    run_end end = run_end::lost;
    /// HTTP status and body of a refusal; 0 where there was no answer.
    int status = 0;
    std::string detail;
    auto operator<=>(run_outcome const&) const = default;
};

/// The endpoint that executes a run, with what the run's recovery depends on.
struct run_place
{
    endpoint_id endpoint;
    socket_address address;
    /// Whether the service's engines can continue from given output.
    bool resumes_prefix = false;
    auto operator<=>(run_place const&) const = default;
};

/// Output that a generation has already, for an engine to continue from.
struct output_text
{
    std::string text;
    std::uint64_t tokens = 0;
    auto operator<=>(output_text const&) const = default;
};

} // namespace sapphirereel

#endif
