/// \file
/// Defines which parts of a call may be passed on.
#ifndef SAPPHIREREEL_ENDPOINT_HEADER_FIELDS_HPP
#define SAPPHIREREEL_ENDPOINT_HEADER_FIELDS_HPP

#include "sapphirereel/core/request.hpp"

#include <string_view>

namespace sapphirereel::endpoints::internal {

/// Whether a header field concerns the ends and not one connection.
auto is_end_to_end(std::string_view name) -> bool;

/// Whether a call can be written without breaking the form of a request: a
/// path that starts with a slash, no control characters, no empty names.
auto is_sendable(call_content const& content) -> bool;

} // namespace sapphirereel::endpoints::internal

#endif
