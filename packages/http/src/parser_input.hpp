/// \file
/// Defines how bytes are put into the library's parser.
#ifndef SAPPHIREREEL_HTTP_PARSER_INPUT_HPP
#define SAPPHIREREEL_HTTP_PARSER_INPUT_HPP

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <stdexcept>
#include <string_view>

namespace sapphirereel::http {

/// Puts bytes into a parser; returns how many it took. A field that is longer
/// than the library can hold, for which it throws, is the error `header_limit`.
template <class Parser>
auto put_bytes(
    Parser& parser, std::string_view bytes, boost::system::error_code& error)
    -> std::size_t
{
    try
    {
        return parser.put(
            boost::asio::buffer(bytes.data(), bytes.size()), error);
    }
    catch (std::length_error const&)
    {
        error = boost::beast::http::error::header_limit;
        return 0;
    }
}

} // namespace sapphirereel::http

#endif
