#include "sapphirereel/relay/piece_message.hpp"

#include "sapphirereel/codec/bounded_json.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace sapphirereel::relay {

using nlohmann::json;

namespace {

constexpr auto path_start = std::string_view{"/pieces?by="};
constexpr auto pieces_query = std::string_view{"&ids="};

} // namespace

auto piece_path(piece_request const& request) -> std::string
{
    auto path = fmt::format("{}{}{}", path_start, request.ip, pieces_query);
    for (auto const& each : request.pieces)
    {
        path += each.text();
    }
    return path;
}

auto read_piece_path(std::string_view path) -> std::optional<piece_request>
{
    auto const separator = path.find(pieces_query);
    if (!path.starts_with(path_start) || separator == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto request = piece_request{
        std::string{
            path.substr(path_start.size(), separator - path_start.size())},
        {}};
    auto rest = path.substr(separator + pieces_query.size());
    while (!rest.empty())
    {
        auto const digits =
            std::min(rest.size(), content_digest{}.text().size());
        auto const digest = read_digest(rest.substr(0, digits));
        if (!digest || request.pieces.size() == max_requested_pieces)
        {
            return std::nullopt;
        }
        request.pieces.push_back(*digest);
        rest.remove_prefix(digits);
    }
    return request;
}

auto write_pieces(piece_response const& response) -> std::string
{
    auto pieces = json::array();
    for (auto const& each : response.pieces)
    {
        pieces.push_back(json::binary({each.begin(), each.end()}));
    }
    auto bytes = std::string{};
    json::to_msgpack(json::array({std::move(pieces), response.holders}), bytes);
    return bytes;
}

auto read_pieces(std::string_view bytes) -> std::optional<piece_response>
{
    auto const parsed = codec::parse_bounded_msgpack(bytes);
    if (!parsed)
    {
        return std::nullopt;
    }
    try
    {
        auto response = piece_response{};
        for (auto const& each : parsed->at(0))
        {
            auto const& piece = each.get_binary();
            response.pieces.emplace_back(piece.begin(), piece.end());
        }
        response.holders = parsed->at(1).get<std::vector<std::string>>();
        return response;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace sapphirereel::relay
