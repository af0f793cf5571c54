/// \file
/// Defines the check for requests that the configuration cannot route, which
/// are refused at once instead of waiting.
#ifndef SAPPHIREREEL_COMPOSITION_UNROUTABLE_HPP
#define SAPPHIREREEL_COMPOSITION_UNROUTABLE_HPP

#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/request.hpp"

#include <optional>

namespace sapphirereel {

/// The refusal of a request whose service or model is not configured or has no
/// endpoint; nothing if the request can be routed.
auto unroutable(request_facts const& facts, configuration const& config)
    -> std::optional<refusal>;

} // namespace sapphirereel

#endif
