/// \file
/// Defines how a head is recognised whose fields go on in further lines.
#ifndef SAPPHIREREEL_HTTP_FOLDED_LINE_HPP
#define SAPPHIREREEL_HTTP_FOLDED_LINE_HPP

#include <string_view>

namespace sapphirereel::http {

/// Whether a header line goes on in the next line, an obsolete form that
/// parsers read differently.
inline auto has_folded_line(std::string_view head) -> bool
{
    return head.find("\r\n ") != std::string_view::npos ||
           head.find("\r\n\t") != std::string_view::npos;
}

} // namespace sapphirereel::http

#endif
