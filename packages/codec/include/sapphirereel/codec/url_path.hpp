/// \file
/// Defines how paths of the callers' API are taken apart, and the escapes of
/// texts in paths and queries.
#ifndef SAPPHIREREEL_CODEC_URL_PATH_HPP
#define SAPPHIREREEL_CODEC_URL_PATH_HPP

#include "sapphirereel/core/identifier.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirereel::codec {

/// A call of a service: the service and the path on its endpoints.
struct service_path
{
    service_name service;
    /// Begins with `/`; the query is kept.
    std::string path;
    auto operator<=>(service_path const&) const = default;
};

/// Takes apart `/services/{service}/{path}`, as it stands in the request line;
/// nothing for another path, an empty service or a bad escape in its name.
auto split_service_path(std::string_view target) -> std::optional<service_path>;

/// Decodes `%XX` escapes; nothing if one is cut or not hexadecimal.
auto decode_percent(std::string_view text) -> std::optional<std::string>;

/// Writes all bytes as `%XX` escapes but letters, digits, `-`, `.`, `_`, `~`
/// and `/`, so that a text can stand as a value in a query.
auto encode_percent(std::string_view text) -> std::string;

} // namespace sapphirereel::codec

#endif
