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

auto write_record(keyed_record const& record) -> json
{
    auto value =
        record.value
            ? json::binary({record.value->begin(), record.value->end()})
            : json{};
    return json::array({record.key, record.offset, std::move(value)});
}

auto read_record(json const& from) -> keyed_record
{
    auto record = keyed_record{
        from.at(0).get<std::string>(), from.at(1).get<std::uint64_t>(),
        std::nullopt};
    if (!from.at(2).is_null())
    {
        auto const& value = from.at(2).get_binary();
        record.value.emplace(value.begin(), value.end());
    }
    return record;
}

} // namespace

auto copy_path(copy_request const& request) -> std::string
{
    return fmt::format(
        "{}{}{}{}", copies_path, name_of(request.stream), from_query,
        request.from);
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
        auto request = copy_request{each, 0};
        auto const* const end = path.data() + path.size();
        auto const read =
            std::from_chars(path.data() + prefix.size(), end, request.from);
        return read.ec == std::errc{} && read.ptr == end
                   ? std::optional{request}
                   : std::nullopt;
    }
    return std::nullopt;
}

auto write_copy(record_cache const& cache, std::uint64_t from) -> std::string
{
    auto const changed = cache.changed_since(from);
    auto records = json::array();
    for (auto const& each : changed ? *changed : cache.newest())
    {
        records.push_back(write_record(each));
    }
    auto bytes = std::string{};
    json::to_msgpack(
        json::array({cache.next(), !changed.has_value(), std::move(records)}),
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
        auto copy = peer_copy{
            {{}, parsed->at(0).get<std::uint64_t>()},
            parsed->at(1).get<bool>()};
        for (auto const& each : parsed->at(2))
        {
            copy.page.records.push_back(read_record(each));
        }
        return copy;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace sapphirereel::relay
