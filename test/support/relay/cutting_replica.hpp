/// \file
/// Defines a replica that stops in the middle of its response, at a byte that
/// the request's path states, and ends the connection.
#ifndef SAPPHIREREEL_TEST_SUPPORT_RELAY_CUTTING_REPLICA_HPP
#define SAPPHIREREEL_TEST_SUPPORT_RELAY_CUTTING_REPLICA_HPP

#include "support/relay/raw_replica.hpp"

#include <charconv>
#include <set>
#include <string>
#include <string_view>

namespace sapphirereel::relay::test {

/// How a response states where its body ends.
enum class framing
{
    length,
    chunks,
    none
};

/// How a replica ends its connection.
enum class ending
{
    in_order,
    reset
};

/// A whole response with two events.
inline auto whole_response(std::string const& request_id, framing how)
    -> std::string
{
    auto const first = std::string{"id: 1\ndata: e1\n\n"};
    auto const second = std::string{"id: 2\ndata: e2\n\n"};
    auto const head = fmt::format(
        "HTTP/1.1 200 OK\r\nX-Sapphirereel-Request-Id: {}\r\n"
        "X-Sapphirereel-Response-Signature: sig\r\n",
        request_id);
    switch (how)
    {
    case framing::length:
        return fmt::format(
            "{}Content-Length: {}\r\n\r\n{}{}", head,
            first.size() + second.size(), first, second);
    case framing::chunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n" +
               http::write_chunk(first) + http::write_chunk(second) +
               "0\r\nX-Trailer: 1\r\n\r\n";
    case framing::none:
        break;
    }
    return head + "\r\n" + first + second;
}

/// Size of a response's head with its empty line.
inline auto head_size(std::string_view response) -> std::size_t
{
    return response.find("\r\n\r\n") + 4;
}

/// Cuts the responses to requests whose path holds `cut-N` after N bytes;
/// responds in whole to others.
class cutting_replica
{
public:
    cutting_replica(asio::io_context& loop, framing how, ending end)
        : raw_(
              loop,
              [this](connection& to, std::string const& request) {
                  serve(to, request);
              })
        , framing_(how)
        , ending_(end)
    {}

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return raw_.port;
    }

    /// Requests that were received.
    int arrivals = 0;

    /// Positions at which responses were cut.
    std::set<std::size_t> cuts;

    /// Whether a response is whole where the request was sent before.
    bool cuts_only_once = false;

private:
    static auto field_of(std::string const& request, std::string_view name)
        -> std::string
    {
        auto const at = request.find(name);
        if (at == std::string::npos)
        {
            return {};
        }
        auto const begin = at + name.size();
        return request.substr(begin, request.find("\r\n", begin) - begin);
    }

    static auto cut_of(std::string const& request) -> std::optional<std::size_t>
    {
        auto const text = field_of(request, "/cut-");
        auto position = std::size_t{0};
        auto const read =
            std::from_chars(text.data(), text.data() + text.size(), position);
        return read.ec == std::errc{} ? std::optional{position} : std::nullopt;
    }

    auto serve(connection& to, std::string const& request) -> void
    {
        if (request.starts_with("POST /-/kv-move "))
        {
            // The run has ended with its connection.
            to.send(http::write_response(404, {}, {}));
            return;
        }
        ++arrivals;
        auto const id = field_of(request, "X-Sapphirereel-Request-Id: ");
        auto const response = whole_response(id, framing_);
        auto const cut = cut_of(request);
        auto const is_cut =
            cut && (cuts.insert(*cut).second || !cuts_only_once);
        to.send(is_cut ? response.substr(0, *cut) : response);
        if (is_cut && ending_ == ending::reset)
        {
            to.reset();
        }
        else if (is_cut || framing_ == framing::none)
        {
            to.close_gracefully();
        }
    }

    raw_replica raw_;
    framing framing_;
    ending ending_;
};

} // namespace sapphirereel::relay::test

#endif
