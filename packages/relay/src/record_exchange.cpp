#include "sapphirereel/relay/record_exchange.hpp"

#include "sapphirereel/codec/bounded_json.hpp"

#include <nlohmann/json.hpp>

namespace sapphirereel::relay {

using nlohmann::json;

auto copy_path(keyed_stream stream) -> std::string
{
    return "/copies/" + std::string{name_of(stream)};
}

auto stream_of_path(std::string_view path) -> std::optional<keyed_stream>
{
    for (auto const each :
         {keyed_stream::configuration, keyed_stream::replicas})
    {
        if (path == copy_path(each))
        {
            return each;
        }
    }
    return std::nullopt;
}

auto write_copy(record_cache const& cache) -> std::string
{
    auto records = json::array();
    for (auto const& each : cache.newest())
    {
        records.push_back(json::array(
            {each.key, each.offset,
             json::binary({each.value->begin(), each.value->end()})}));
    }
    auto bytes = std::string{};
    json::to_msgpack(json::array({cache.next(), std::move(records)}), bytes);
    return bytes;
}

auto read_copy(std::string_view bytes) -> std::optional<keyed_page>
{
    auto const parsed = codec::parse_bounded_msgpack(bytes);
    if (!parsed)
    {
        return std::nullopt;
    }
    try
    {
        auto page = keyed_page{{}, parsed->at(0).get<std::uint64_t>()};
        for (auto const& each : parsed->at(1))
        {
            auto const& value = each.at(2).get_binary();
            page.records.push_back(
                {each.at(0).get<std::string>(), each.at(1).get<std::uint64_t>(),
                 std::string{value.begin(), value.end()}});
        }
        return page;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace sapphirereel::relay
