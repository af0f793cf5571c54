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

auto write_record(keyed_record const& record) -> json
{
    auto value =
        record.value
            ? json::binary({record.value->begin(), record.value->end()})
            : json{};
    return json::array({record.key, record.position.offset, std::move(value)});
}

auto read_record(json const& from, std::uint64_t era) -> keyed_record
{
    auto record = keyed_record{
        from.at(0).get<std::string>(),
        log_position{from.at(1).get<std::uint64_t>(), era}, std::nullopt};
    if (!from.at(2).is_null())
    {
        auto const& value = from.at(2).get_binary();
        record.value.emplace(value.begin(), value.end());
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
            copy.page.records.push_back(read_record(each, era));
        }
        return copy;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

auto may_send_copy(std::size_t bytes, std::size_t pending) -> bool
{
    return bytes < min_large_copy || pending < max_large_copies;
}

} // namespace sapphirereel::relay
