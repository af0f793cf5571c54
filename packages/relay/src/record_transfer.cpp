#include "sapphirereel/relay/record_transfer.hpp"

#include "sapphirereel/codec/bounded_json.hpp"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace sapphirereel::relay {

using nlohmann::json;

namespace {

constexpr auto copies_path = std::string_view{"/copies/"};
constexpr auto from_query = std::string_view{"?from="};
constexpr auto era_query = std::string_view{"&era="};

/// Number of the JSON library's exception for an outline that is not valid.
constexpr auto invalid_outline = 599;

auto write_record(keyed_record const& record) -> json
{
    auto value =
        record.value
            ? json::binary({record.value->begin(), record.value->end()})
            : json{};
    return json::array({record.key, record.position.offset, std::move(value)});
}

auto write_record(outlined_record const& record) -> json
{
    auto const& outline = record.outline;
    auto const binary = [](std::string const& bytes) {
        return json::binary({bytes.begin(), bytes.end()});
    };
    auto sizes = json::array();
    for (auto const& each : outline.pieces)
    {
        sizes.push_back(each.bytes);
    }
    return json::array(
        {record.key, record.position.offset,
         json::array(
             {binary(outline.whole.raw()), binary(raw_digests(outline)),
              std::move(sizes)})});
}

auto bytes_of(json const& from) -> std::string
{
    auto const& value = from.get_binary();
    return {value.begin(), value.end()};
}

/// Throws if the outline contradicts itself.
auto read_outlined(json const& from, std::uint64_t era) -> outlined_record
{
    auto const& parts = from.at(2);
    auto outline = read_outline(
        bytes_of(parts.at(0)), bytes_of(parts.at(1)),
        parts.at(2).get<std::vector<std::size_t>>());
    if (!outline)
    {
        throw json::other_error::create(
            invalid_outline, "the outline contradicts itself", &from);
    }
    return {
        from.at(0).get<std::string>(),
        log_position{from.at(1).get<std::uint64_t>(), era},
        std::move(*outline)};
}

auto read_record(json const& from, std::uint64_t era) -> keyed_record
{
    auto record = keyed_record{
        from.at(0).get<std::string>(),
        log_position{from.at(1).get<std::uint64_t>(), era}, std::nullopt};
    if (!from.at(2).is_null())
    {
        record.value = bytes_of(from.at(2));
    }
    return record;
}

/// Parses a whole text as a number.
auto read_number(std::string_view text) -> std::optional<std::uint64_t>
{
    auto value = std::uint64_t{0};
    auto const* const end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, value);
    return read.ec == std::errc{} && read.ptr == end ? std::optional{value}
                                                     : std::nullopt;
}

auto read_position(std::string_view text) -> std::optional<log_position>
{
    auto const separator = text.find(era_query);
    auto const offset = read_number(text.substr(0, separator));
    auto const era =
        separator == std::string_view::npos
            ? std::optional{std::uint64_t{0}}
            : read_number(text.substr(separator + era_query.size()));
    return offset && era ? std::optional{log_position{*offset, *era}}
                         : std::nullopt;
}

} // namespace

auto copy_path(copy_request const& request) -> std::string
{
    auto path = fmt::format(
        "{}{}{}{}", copies_path, name_of(request.stream), from_query,
        request.from.offset);
    // Daemons of the previous version refuse a path with an era.
    if (request.from.era != 0)
    {
        path += fmt::format("{}{}", era_query, request.from.era);
    }
    return path;
}

auto read_copy_path(std::string_view path) -> std::optional<copy_request>
{
    for (auto const each :
         {keyed_stream::configuration, keyed_stream::replicas})
    {
        auto const prefix =
            fmt::format("{}{}{}", copies_path, name_of(each), from_query);
        if (!path.starts_with(prefix))
        {
            continue;
        }
        auto const from = read_position(path.substr(prefix.size()));
        return from ? std::optional{copy_request{each, *from}} : std::nullopt;
    }
    return std::nullopt;
}

auto copy_of(record_cache const& cache, log_position from) -> peer_copy
{
    auto changed = cache.changed_since(from);
    auto const is_snapshot = !changed.has_value();
    return {
        {changed ? std::move(*changed) : cache.newest(), cache.next()},
        is_snapshot};
}

auto write_copy(peer_copy const& copy) -> std::string
{
    auto records = json::array();
    for (auto const& each : copy.page.records)
    {
        records.push_back(write_record(each));
    }
    for (auto const& each : copy.outlined)
    {
        records.push_back(write_record(each));
    }
    auto bytes = std::string{};
    json::to_msgpack(
        json::array(
            {copy.page.next.offset, copy.is_snapshot, std::move(records),
             copy.page.next.era}),
        bytes);
    return bytes;
}

auto read_copy(std::string_view bytes) -> std::optional<peer_copy>
{
    auto const parsed = codec::parse_bounded_msgpack(bytes);
    if (!parsed)
    {
        return std::nullopt;
    }
    try
    {
        auto const era =
            parsed->size() > 3 ? parsed->at(3).get<std::uint64_t>() : 0;
        auto copy = peer_copy{
            {{}, log_position{parsed->at(0).get<std::uint64_t>(), era}},
            parsed->at(1).get<bool>()};
        for (auto const& each : parsed->at(2))
        {
            if (each.at(2).is_array())
            {
                copy.outlined.push_back(read_outlined(each, era));
                continue;
            }
            copy.page.records.push_back(read_record(each, era));
        }
        return copy;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

auto with_outlines(peer_copy copy, piece_library& pieces) -> peer_copy
{
    auto& records = copy.page.records;
    for (auto& each : records)
    {
        if (each.value && each.value->size() >= min_outlined_bytes)
        {
            copy.outlined.push_back(
                {each.key, each.position, pieces.hold(*each.value)});
        }
    }
    std::erase_if(records, [](keyed_record const& each) {
        return each.value && each.value->size() >= min_outlined_bytes;
    });
    return copy;
}

auto missing_pieces(peer_copy const& copy, piece_library const& pieces)
    -> std::vector<outlined_piece>
{
    auto all = std::vector<outlined_piece>{};
    for (auto const& each : copy.outlined)
    {
        auto const missing = pieces.missing(each.outline);
        all.insert(all.end(), missing.begin(), missing.end());
    }
    return all;
}

auto with_values(peer_copy copy, piece_library const& pieces)
    -> std::optional<peer_copy>
{
    for (auto& each : copy.outlined)
    {
        auto value = pieces.value_of(each.outline);
        if (!value)
        {
            return std::nullopt;
        }
        copy.page.records.push_back(
            {std::move(each.key), each.position, std::move(value)});
    }
    copy.outlined.clear();
    return copy;
}

} // namespace sapphirereel::relay
