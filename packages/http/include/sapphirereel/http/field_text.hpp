/// \file
/// Defines which texts from outside may be written into a header field.
#ifndef SAPPHIREREEL_HTTP_FIELD_TEXT_HPP
#define SAPPHIREREEL_HTTP_FIELD_TEXT_HPP

#include <algorithm>
#include <string_view>

namespace sapphirereel::http {

/// Whether a text can stand as one word in a field: it has no line end, space
/// or other character than the visible ones of ASCII, and is not empty.
constexpr auto is_field_word(std::string_view text) -> bool
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c <= '~';
    });
}

} // namespace sapphirereel::http

#endif
