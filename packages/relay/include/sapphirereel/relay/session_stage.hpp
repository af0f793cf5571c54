/// \file
/// Defines how far the present request of a caller's connection has got, and
/// who ended the connection.
#ifndef SAPPHIREREEL_RELAY_SESSION_STAGE_HPP
#define SAPPHIREREEL_RELAY_SESSION_STAGE_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sapphirereel::relay {

/// How far the present request of a connection has got.
enum class session_stage : std::uint8_t
{
    /// No byte of a request has been read, and all responses were written.
    idle,
    /// Part of a request has been read.
    receiving,
    /// A whole request has been read and no response has begun.
    waiting,
    /// The response has begun and is not complete.
    answering,
    /// The response is complete and not yet written to the socket.
    flushing,
    count_of_stages
};

/// Who ended a connection.
enum class session_end : std::uint8_t
{
    /// The caller closed or reset it, or it failed.
    caller,
    /// This daemon closed it.
    daemon,
    /// This daemon's process exits.
    exit,
    count_of_ends
};

/// The name of a stage in logs and metrics.
auto name_of(session_stage stage) -> std::string_view;

/// The name of an end in logs and metrics.
auto name_of(session_end end) -> std::string_view;

/// A connection that ended before its request had its complete response.
struct incomplete_session
{
    session_end ended_by = session_end::caller;
    session_stage stage = session_stage::idle;
    /// Bytes of the response that were buffered for writing.
    std::size_t unsent_bytes = 0;
    auto operator<=>(incomplete_session const&) const = default;
};

} // namespace sapphirereel::relay

#endif
