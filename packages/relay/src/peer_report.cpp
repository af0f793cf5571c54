#include "sapphirereel/relay/peer_report.hpp"

#include "sapphirereel/codec/bounded_json.hpp"

#include <nlohmann/json.hpp>

namespace sapphirereel::relay {
namespace {

using nlohmann::json;

/// Version of the datagram's format; datagrams of other versions are dropped.
constexpr auto report_version = 2;

/// Positions of the fields in the datagram.
enum field_position : std::size_t
{
    version_at,
    ip_at,
    incarnation_at,
    sequence_at,
    caller_address_at,
    zone_at,
    accepts_callers_at,
    is_log_reachable_at,
    configuration_next_at,
    replicas_next_at,
    leaving_at,
    load_at,
    crashes_at,
    cleared_at,
    known_addresses_at,
    field_count
};

auto write_digests(std::vector<digest> const& digests) -> json
{
    auto list = json::array();
    for (auto const& each : digests)
    {
        list.push_back(each.str());
    }
    return list;
}

auto read_digests(json const& from) -> std::vector<digest>
{
    auto digests = std::vector<digest>{};
    for (auto const& each : from)
    {
        digests.emplace_back(each.get<std::string>());
    }
    return digests;
}

auto write_crashes(std::vector<crash_message> const& deaths) -> json
{
    auto list = json::array();
    for (auto const& each : deaths)
    {
        list.push_back(
            json::array({each.death.str(), write_digests(each.in_flight)}));
    }
    return list;
}

auto write_cleared(std::vector<cleared_message> const& cleared) -> json
{
    auto list = json::array();
    for (auto const& each : cleared)
    {
        list.push_back(
            json::array({each.content.str(), write_digests(each.deaths)}));
    }
    return list;
}

auto read_crashes(json const& deaths, json const& cleared) -> crash_reports
{
    auto reports = crash_reports{};
    for (auto const& each : deaths)
    {
        reports.deaths.push_back(
            {digest{each.at(0).get<std::string>()}, read_digests(each.at(1))});
    }
    for (auto const& each : cleared)
    {
        reports.cleared.push_back(
            {digest{each.at(0).get<std::string>()}, read_digests(each.at(1))});
    }
    return reports;
}

} // namespace

auto write_peer_report(peer_report const& report) -> std::string
{
    auto leaving = json::array();
    for (auto const& each : report.leaving)
    {
        leaving.push_back(json::array({each.id.str(), each.offset}));
    }
    auto load = json::array();
    for (auto const& [id, each] : report.load)
    {
        load.push_back(json::array(
            {id.str(), each.requests,
             static_cast<std::uint64_t>(each.memory_tokens),
             static_cast<std::uint64_t>(each.pending_prefill_tokens),
             static_cast<std::uint64_t>(each.movable_tokens)}));
    }
    auto const fields = json::array(
        {report_version, report.ip, report.incarnation, report.sequence,
         report.caller_address, report.zone.str(), report.accepts_callers,
         report.is_log_reachable, report.configuration_next,
         report.replicas_next, std::move(leaving), std::move(load),
         write_crashes(report.crashes.deaths),
         write_cleared(report.crashes.cleared), report.known_addresses});
    auto bytes = std::string{};
    json::to_msgpack(fields, bytes);
    return bytes;
}

auto read_peer_report(std::string_view bytes) -> std::optional<peer_report>
{
    auto const parsed = codec::parse_bounded_msgpack(bytes);
    auto const is_report = parsed && parsed->is_array() &&
                           parsed->size() == field_count &&
                           (*parsed)[version_at] == report_version;
    if (!is_report)
    {
        return std::nullopt;
    }
    try
    {
        auto const& fields = *parsed;
        auto report = peer_report{};
        report.ip = fields[ip_at].get<std::string>();
        report.incarnation = fields[incarnation_at].get<std::uint64_t>();
        report.sequence = fields[sequence_at].get<std::uint64_t>();
        report.caller_address = fields[caller_address_at].get<std::string>();
        report.zone = zone_name{fields[zone_at].get<std::string>()};
        report.accepts_callers = fields[accepts_callers_at].get<bool>();
        report.is_log_reachable = fields[is_log_reachable_at].get<bool>();
        report.configuration_next =
            fields[configuration_next_at].get<std::uint64_t>();
        report.replicas_next = fields[replicas_next_at].get<std::uint64_t>();
        for (auto const& each : fields[leaving_at])
        {
            report.leaving.push_back(
                {endpoint_id{each.at(0).get<std::string>()},
                 each.at(1).get<std::uint64_t>()});
        }
        for (auto const& each : fields[load_at])
        {
            report.load[endpoint_id{each.at(0).get<std::string>()}] = {
                each.at(1).get<std::uint32_t>(), each.at(2).get<double>(),
                each.at(3).get<double>(), each.at(4).get<double>()};
        }
        report.crashes = read_crashes(fields[crashes_at], fields[cleared_at]);
        report.known_addresses =
            fields[known_addresses_at].get<std::vector<std::string>>();
        return report;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace sapphirereel::relay
