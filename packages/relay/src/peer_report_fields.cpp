#include "sapphirereel/relay/peer_report_fields.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

auto write_digests(report_packer& to, std::vector<digest> const& digests)
    -> void
{
    pack_array(to, digests.size());
    for (auto const& each : digests)
    {
        to.pack(each.str());
    }
}

auto pack_optional(report_packer& to, std::optional<double> const& value)
    -> void
{
    if (value)
    {
        to.pack(*value);
    }
    else
    {
        to.pack_nil();
    }
}

auto read_digests(msgpack::object const& from) -> std::vector<digest>
{
    auto digests = std::vector<digest>{};
    for (auto const& each : list_reader{from})
    {
        digests.emplace_back(each.as<std::string>());
    }
    return digests;
}

auto read_optional(msgpack::object const& from) -> std::optional<double>
{
    return from.is_nil() ? std::nullopt : std::optional{from.as<double>()};
}

} // namespace

auto pack_array(report_packer& to, std::size_t elements) -> void
{
    to.pack_array(static_cast<std::uint32_t>(elements));
}

auto write_load(report_packer& to, load_report const& loads) -> void
{
    pack_array(to, loads.size());
    for (auto const& [id, each] : loads)
    {
        pack_array(to, 5);
        to.pack(id.str());
        to.pack(each.requests);
        to.pack(static_cast<std::uint64_t>(each.memory_tokens));
        to.pack(static_cast<std::uint64_t>(each.pending_prefill_tokens));
        to.pack(static_cast<std::uint64_t>(each.movable_tokens));
    }
}

auto write_leaving(
    report_packer& to,
    std::vector<leaving_replica> const& leaving,
    bool is_oldest) -> void
{
    pack_array(to, leaving.size());
    for (auto const& each : leaving)
    {
        pack_array(to, is_oldest ? 2 : 6);
        to.pack(each.id.str());
        to.pack(each.position.offset);
        if (!is_oldest)
        {
            to.pack(each.position.era);
            to.pack(each.started_at_ms);
            to.pack(each.renewal);
            to.pack(each.announced);
        }
    }
}

auto write_crashes(report_packer& to, crash_reports const& reports) -> void
{
    pack_array(to, reports.deaths.size());
    for (auto const& each : reports.deaths)
    {
        pack_array(to, 2);
        to.pack(each.death.str());
        write_digests(to, each.in_flight);
    }
    pack_array(to, reports.cleared.size());
    for (auto const& each : reports.cleared)
    {
        pack_array(to, 2);
        to.pack(each.content.str());
        write_digests(to, each.deaths);
    }
}

auto write_addresses(
    report_packer& to,
    std::vector<known_address> const& addresses,
    bool is_oldest) -> void
{
    auto zones = std::map<zone_name, std::vector<std::string>>{};
    for (auto const& each : addresses)
    {
        zones[is_oldest ? zone_name{} : each.zone].push_back(each.ip);
    }
    if (is_oldest)
    {
        to.pack(zones[zone_name{}]);
        return;
    }
    pack_array(to, zones.size());
    for (auto const& [zone, ips] : zones)
    {
        pack_array(to, ips.size() + 1);
        to.pack(zone.str());
        for (auto const& ip : ips)
        {
            to.pack(ip);
        }
    }
}

auto write_parts(report_packer& to, part_reports const& reports) -> void
{
    write_crashes(to, {reports.crashes, reports.cleared});
    pack_array(to, reports.rulings.size());
    for (auto const& each : reports.rulings)
    {
        pack_array(to, 2);
        to.pack(each.part.str());
        to.pack(each.number);
    }
}

auto write_limits(report_packer& to, std::vector<limit_entry> const& limits)
    -> void
{
    pack_array(to, limits.size());
    for (auto const& each : limits)
    {
        pack_array(to, 5);
        to.pack(each.id.str());
        to.pack(each.started_at_ms);
        to.pack(each.revision);
        pack_optional(to, each.limits.rate);
        pack_optional(to, each.limits.rejections);
    }
}

auto write_cold(report_packer& to, std::vector<cold_entry> const& cold) -> void
{
    pack_array(to, cold.size());
    for (auto const& each : cold)
    {
        pack_array(to, 3);
        to.pack(each.id.str());
        to.pack(each.started_at_ms);
        auto const left =
            std::chrono::duration_cast<milliseconds>(each.remaining).count();
        to.pack(std::max<std::int64_t>(0, left));
    }
}

auto write_paces(report_packer& to, std::vector<pace_entry> const& paces)
    -> void
{
    pack_array(to, paces.size());
    for (auto const& each : paces)
    {
        pack_array(to, 3);
        to.pack(each.id.str());
        to.pack(each.started_at_ms);
        to.pack(each.usual_pace);
    }
}

auto write_waiting(report_packer& to, std::vector<waiting_entry> const& waiting)
    -> void
{
    pack_array(to, waiting.size());
    for (auto const& each : waiting)
    {
        pack_array(to, 4);
        to.pack(each.service.str());
        to.pack(each.priority);
        to.pack(each.count);
        to.pack(static_cast<std::uint64_t>(each.tokens));
    }
}

auto read_load(msgpack::object const& from) -> load_report
{
    auto loads = load_report{};
    for (auto const& each : list_reader{from})
    {
        auto const fields = list_reader{each};
        loads[endpoint_id{fields.get<std::string>(0)}] = {
            fields.get<std::uint32_t>(1), fields.get<double>(2),
            fields.get<double>(3), fields.get<double>(4)};
    }
    return loads;
}

auto read_leaving(msgpack::object const& from, bool is_oldest)
    -> leaving_replica
{
    auto const fields = list_reader{from};
    auto which = leaving_replica{
        endpoint_id{fields.get<std::string>(0)}, fields.get<std::uint64_t>(1)};
    if (!is_oldest)
    {
        which.position.era = fields.get<std::uint64_t>(2);
        which.started_at_ms = fields.get<std::uint64_t>(3);
        which.renewal = fields.get<std::uint64_t>(4);
        which.announced = fields.get<bool>(5);
    }
    return which;
}

auto read_crashes(msgpack::object const& deaths, msgpack::object const& cleared)
    -> crash_reports
{
    auto reports = crash_reports{};
    for (auto const& each : list_reader{deaths})
    {
        auto const fields = list_reader{each};
        reports.deaths.push_back(
            {digest{fields.get<std::string>(0)}, read_digests(fields.at(1))});
    }
    for (auto const& each : list_reader{cleared})
    {
        auto const fields = list_reader{each};
        reports.cleared.push_back(
            {digest{fields.get<std::string>(0)}, read_digests(fields.at(1))});
    }
    return reports;
}

auto read_limits(msgpack::object const& from) -> std::vector<limit_entry>
{
    auto limits = std::vector<limit_entry>{};
    for (auto const& each : list_reader{from})
    {
        auto const fields = list_reader{each};
        limits.push_back(
            {endpoint_id{fields.get<std::string>(0)},
             fields.get<std::uint64_t>(1),
             fields.get<std::uint64_t>(2),
             {read_optional(fields.at(3)), read_optional(fields.at(4))}});
    }
    return limits;
}

auto read_cold(msgpack::object const& from) -> std::vector<cold_entry>
{
    auto cold = std::vector<cold_entry>{};
    for (auto const& each : list_reader{from})
    {
        auto const fields = list_reader{each};
        cold.push_back(
            {endpoint_id{fields.get<std::string>(0)},
             fields.get<std::uint64_t>(1),
             milliseconds{fields.get<std::uint32_t>(2)}});
    }
    return cold;
}

auto read_paces(msgpack::object const& from) -> std::vector<pace_entry>
{
    auto paces = std::vector<pace_entry>{};
    for (auto const& each : list_reader{from})
    {
        auto const fields = list_reader{each};
        paces.push_back(
            {endpoint_id{fields.get<std::string>(0)},
             fields.get<std::uint64_t>(1), fields.get<double>(2)});
    }
    return paces;
}

auto read_waiting(msgpack::object const& from) -> std::vector<waiting_entry>
{
    auto waiting = std::vector<waiting_entry>{};
    for (auto const& each : list_reader{from})
    {
        auto const fields = list_reader{each};
        waiting.push_back(
            {service_name{fields.get<std::string>(0)}, fields.get<int>(1),
             fields.get<std::uint32_t>(2), fields.get<double>(3)});
    }
    return waiting;
}

auto read_addresses(msgpack::object const& from, bool is_oldest)
    -> std::vector<known_address>
{
    auto addresses = std::vector<known_address>{};
    for (auto const& each : list_reader{from})
    {
        if (is_oldest)
        {
            addresses.push_back({each.as<std::string>(), zone_name{}});
            continue;
        }
        auto const fields = list_reader{each};
        auto const zone = zone_name{fields.get<std::string>(0)};
        for (auto at = std::size_t{1}; at < fields.size(); ++at)
        {
            addresses.push_back({fields.get<std::string>(at), zone});
        }
    }
    return addresses;
}

} // namespace sapphirereel::relay
