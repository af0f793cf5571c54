/// \file
/// Defines how a caller's HTTP request becomes an event of the core.
#ifndef SAPPHIREREEL_DAEMON_REQUEST_INTAKE_HPP
#define SAPPHIREREEL_DAEMON_REQUEST_INTAKE_HPP

#include "sapphirereel/codec/openai_request.hpp"
#include "sapphirereel/codec/signing_key.hpp"
#include "sapphirereel/composition/event.hpp"

#include <httplib.h>

namespace sapphirereel::daemon {

/// What intake needs to know beside the request.
struct intake_context
{
    codec::signing_key key;
    /// Time that a request has until its first token or answer, unless it
    /// names a shorter one.
    duration default_deadline{};
    time_point now;
    wall_time civil;
    /// A name for a request whose caller gave none.
    request_name made_up_name;
};

/// A checked request for a generation.
struct generation_intake
{
    codec::openai_request parsed;
    generation_request request;
    request_name name;
};

/// Reads a request for a generation; the attachment is left to the caller of
/// this function.
auto read_generation(
    codec::openai_kind kind,
    httplib::Request const& request,
    intake_context const& context) -> result<generation_intake>;

/// A checked call of a plain service.
struct call_intake
{
    call_arrived arrived;
    request_name name;
};

/// Reads a call of a plain service.
auto read_call(httplib::Request const& request, intake_context const& context)
    -> result<call_intake>;

} // namespace sapphirereel::daemon

#endif
