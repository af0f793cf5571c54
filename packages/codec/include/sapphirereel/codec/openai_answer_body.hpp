/// \file
/// Defines the bodies of answers that the system itself gives in the form of
/// OpenAI's API: errors and the list of models.
#ifndef SAPPHIREREEL_CODEC_OPENAI_ANSWER_BODY_HPP
#define SAPPHIREREEL_CODEC_OPENAI_ANSWER_BODY_HPP

#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/request.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::codec {

/// The HTTP status that goes with a refusal.
auto refusal_status(refusal_cause cause) -> int;

/// The value of header `Sapphirereel-Disposition`.
auto disposition_text(disposition outcome) -> std::string_view;

/// The value of header `Retry-After`: whole seconds, rounded up.
auto retry_after_text(duration wait) -> std::string;

/// The error body of a refusal.
auto refusal_body(refusal const& refused) -> std::string;

/// The error body for a request with findings; all of them are listed.
auto findings_body(findings const& errors) -> std::string;

/// The body of `GET /v1/models`.
auto models_body(std::vector<model_name> const& models) -> std::string;

} // namespace sapphirereel::codec

#endif
