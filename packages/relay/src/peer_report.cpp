#include "sapphirereel/relay/peer_report.hpp"

#include "sapphirereel/codec/bounded_json.hpp"

#include <nlohmann/json.hpp>

namespace sapphirereel::relay {
namespace {

using nlohmann::json;

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
    previous_field_count,
    /// Fields that the previous version does not have.
    configuration_era_at = previous_field_count,
    replicas_era_at,
    lapse_grace_at,
    wants_reply_at,
    zone_load_at,
    field_count
};

auto write_load(load_report const& loads) -> json
{
    auto list = json::array();
    for (auto const& [id, each] : loads)
    {
        list.push_back(json::array(
            {id.str(), each.requests,
             static_cast<std::uint64_t>(each.memory_tokens),
             static_cast<std::uint64_t>(each.pending_prefill_tokens),
             static_cast<std::uint64_t>(each.movable_tokens)}));
    }
    return list;
}

auto read_load(json const& from) -> load_report
{
    auto loads = load_report{};
    for (auto const& each : from)
    {
        loads[endpoint_id{each.at(0).get<std::string>()}] = {
            each.at(1).get<std::uint32_t>(), each.at(2).get<double>(),
            each.at(3).get<double>(), each.at(4).get<double>()};
    }
    return loads;
}

auto write_leaving(leaving_replica const& which, bool is_previous) -> json
{
    auto fields = json::array({which.id.str(), which.position.offset});
    if (!is_previous)
    {
        fields.push_back(which.position.era);
        fields.push_back(which.started_at_ms);
        fields.push_back(which.renewal);
        fields.push_back(which.announced);
    }
    return fields;
}

auto read_leaving(json const& from, bool is_previous) -> leaving_replica
{
    auto which = leaving_replica{
        endpoint_id{from.at(0).get<std::string>()},
        from.at(1).get<std::uint64_t>()};
    if (!is_previous)
    {
        which.position.era = from.at(2).get<std::uint64_t>();
        which.started_at_ms = from.at(3).get<std::uint64_t>();
        which.renewal = from.at(4).get<std::uint64_t>();
        which.announced = from.at(5).get<bool>();
    }
    return which;
}

/// The previous version lists addresses, the present one lists of a zone and
/// its addresses.
auto write_addresses(
    std::vector<known_address> const& addresses, bool is_previous) -> json
{
    auto list = json::array();
    auto zones = std::map<zone_name, json>{};
    for (auto const& each : addresses)
    {
        if (is_previous)
        {
            list.push_back(each.ip);
            continue;
        }
        auto const [zone, is_new] =
            zones.try_emplace(each.zone, json::array({each.zone.str()}));
        zone->second.push_back(each.ip);
    }
    for (auto& [zone, ips] : zones)
    {
        list.push_back(std::move(ips));
    }
    return list;
}

auto read_addresses(json const& from, bool is_previous)
    -> std::vector<known_address>
{
    auto addresses = std::vector<known_address>{};
    for (auto const& each : from)
    {
        if (is_previous)
        {
            addresses.push_back({each.get<std::string>(), zone_name{}});
            continue;
        }
        auto const zone = zone_name{each.at(0).get<std::string>()};
        for (auto at = std::size_t{1}; at < each.size(); ++at)
        {
            addresses.push_back({each.at(at).get<std::string>(), zone});
        }
    }
    return addresses;
}

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

/// Reads the fields that the previous version does not have.
auto read_present_fields(json const& fields, peer_report& into) -> void
{
    into.configuration_next.era =
        fields[configuration_era_at].get<std::uint64_t>();
    into.replicas_next.era = fields[replicas_era_at].get<std::uint64_t>();
    into.lapse_grace =
        std::chrono::milliseconds{fields[lapse_grace_at].get<std::uint32_t>()};
    into.wants_reply = fields[wants_reply_at].get<bool>();
    if (!fields[zone_load_at].is_null())
    {
        into.zone_load = read_load(fields[zone_load_at]);
    }
}

} // namespace

auto write_peer_report(peer_report const& report) -> std::string
{
    auto const is_previous = report.version == previous_report_version;
    auto leaving = json::array();
    for (auto const& each : report.leaving)
    {
        leaving.push_back(write_leaving(each, is_previous));
    }
    auto fields = json::array(
        {report.version, report.ip, report.incarnation, report.sequence,
         report.caller_address, report.zone.str(), report.accepts_callers,
         report.is_log_reachable, report.configuration_next.offset,
         report.replicas_next.offset, std::move(leaving),
         write_load(report.load), write_crashes(report.crashes.deaths),
         write_cleared(report.crashes.cleared),
         write_addresses(report.known_addresses, is_previous)});
    if (!is_previous)
    {
        fields.push_back(report.configuration_next.era);
        fields.push_back(report.replicas_next.era);
        fields.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(
                             report.lapse_grace)
                             .count());
        fields.push_back(report.wants_reply);
        fields.push_back(
            report.zone_load ? write_load(*report.zone_load) : json{});
    }
    auto bytes = std::string{};
    json::to_msgpack(fields, bytes);
    return bytes;
}

auto read_peer_report(std::string_view bytes) -> std::optional<peer_report>
{
    auto const parsed = codec::parse_bounded_msgpack(bytes);
    if (!parsed || !parsed->is_array() || parsed->empty())
    {
        return std::nullopt;
    }
    auto const is_previous = parsed->size() == previous_field_count &&
                             (*parsed)[version_at] == previous_report_version;
    auto const is_present = parsed->size() == field_count &&
                            (*parsed)[version_at] == report_version;
    if (!is_previous && !is_present)
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
        report.version = fields[version_at].get<std::uint32_t>();
        report.configuration_next =
            fields[configuration_next_at].get<std::uint64_t>();
        report.replicas_next = fields[replicas_next_at].get<std::uint64_t>();
        for (auto const& each : fields[leaving_at])
        {
            report.leaving.push_back(read_leaving(each, is_previous));
        }
        report.load = read_load(fields[load_at]);
        report.crashes = read_crashes(fields[crashes_at], fields[cleared_at]);
        report.known_addresses =
            read_addresses(fields[known_addresses_at], is_previous);
        if (is_present)
        {
            read_present_fields(fields, report);
        }
        return report;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace sapphirereel::relay
