/// \file
/// Defines how refusals, answers and findings stand in HTTP responses.
#ifndef SAPPHIREREEL_DAEMON_HTTP_ANSWERS_HPP
#define SAPPHIREREEL_DAEMON_HTTP_ANSWERS_HPP

#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/request.hpp"

#include <httplib.h>
#include <string>

namespace sapphirereel::daemon {

/// Header that carries the disposition of a refused request.
inline constexpr auto disposition_header = "Sapphirereel-Disposition";

/// Writes a refusal: status, disposition, time to come back, error object.
auto write_refusal(refusal const& reason, httplib::Response& response) -> void;

/// Writes an endpoint's whole answer.
auto write_answer(call_answer const& answer, httplib::Response& response)
    -> void;

/// Writes findings as a request error.
auto write_findings(findings const& problems, httplib::Response& response)
    -> void;

/// Writes JSON text.
auto write_json(std::string const& text, httplib::Response& response) -> void;

} // namespace sapphirereel::daemon

#endif
