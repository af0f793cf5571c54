#include "sapphirereel/relay/peer_report.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <msgpack.hpp>
#include <utility>

namespace sapphirereel::relay {
namespace {

using packer = msgpack::packer<msgpack::sbuffer>;
using std::chrono::milliseconds;

/// Bounds of a report: elements of one list, bytes of one text, and levels of
/// lists within lists.
constexpr auto max_elements = std::size_t{4'096};
constexpr auto max_text_bytes = std::size_t{4'096};
constexpr auto max_depth = std::size_t{8};

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
    oldest_field_count,
    /// Fields that the oldest version does not have.
    configuration_era_at = oldest_field_count,
    replicas_era_at,
    lapse_grace_at,
    wants_reply_at,
    zone_load_at,
    partless_field_count,
    /// Fields of prompt parts.
    part_crashes_at = partless_field_count,
    cleared_parts_at,
    part_rulings_at,
    limitless_field_count,
    /// Fields of limits and lost services.
    limits_at = limitless_field_count,
    lost_services_at,
    previous_field_count,
    /// Fields that the previous version does not have.
    cold_at = previous_field_count,
    paces_at,
    waiting_at,
    field_count
};

auto pack_array(packer& to, std::size_t elements) -> void
{
    to.pack_array(static_cast<std::uint32_t>(elements));
}

auto write_load(packer& to, load_report const& loads) -> void
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
    packer& to, std::vector<leaving_replica> const& leaving, bool is_oldest)
    -> void
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

auto write_digests(packer& to, std::vector<digest> const& digests) -> void
{
    pack_array(to, digests.size());
    for (auto const& each : digests)
    {
        to.pack(each.str());
    }
}

auto write_crashes(packer& to, crash_reports const& reports) -> void
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

/// The oldest version lists addresses, the present one lists of a zone and
/// its addresses.
auto write_addresses(
    packer& to, std::vector<known_address> const& addresses, bool is_oldest)
    -> void
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

/// Number of fields of a version; none if the version is not known.
auto field_count_of(std::uint32_t version) -> std::optional<std::size_t>
{
    switch (version)
    {
    case oldest_report_version:
        return oldest_field_count;
    case partless_report_version:
        return partless_field_count;
    case limitless_report_version:
        return limitless_field_count;
    case previous_report_version:
        return previous_field_count;
    case report_version:
        return field_count;
    default:
        return std::nullopt;
    }
}

auto write_parts(packer& to, part_reports const& reports) -> void
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

auto pack_optional(packer& to, std::optional<double> const& value) -> void
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

auto write_limits(packer& to, std::vector<limit_entry> const& limits) -> void
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

auto write_cold(packer& to, std::vector<cold_entry> const& cold) -> void
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

auto write_paces(packer& to, std::vector<pace_entry> const& paces) -> void
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

auto write_waiting(packer& to, std::vector<waiting_entry> const& waiting)
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

/// Writes the fields that the oldest version does not have.
auto write_present_fields(packer& to, peer_report const& report) -> void
{
    to.pack(report.configuration_next.era);
    to.pack(report.replicas_next.era);
    to.pack(
        std::chrono::duration_cast<milliseconds>(report.lapse_grace).count());
    to.pack(report.wants_reply);
    if (report.zone_load)
    {
        write_load(to, *report.zone_load);
    }
    else
    {
        to.pack_nil();
    }
}

/// A list of a report. Reading an element that is missing or of another type
/// throws `msgpack::type_error`.
class list_reader
{
public:
    explicit list_reader(msgpack::object const& from)
        : list_(&from.via.array)
    {
        if (from.type != msgpack::type::ARRAY)
        {
            throw msgpack::type_error{};
        }
    }

    [[nodiscard]] auto size() const -> std::size_t
    {
        return list_->size;
    }

    [[nodiscard]] auto at(std::size_t position) const -> msgpack::object const&
    {
        if (position >= list_->size)
        {
            throw msgpack::type_error{};
        }
        return list_->ptr[position];
    }

    template <class Value>
    [[nodiscard]] auto get(std::size_t position) const -> Value
    {
        return at(position).as<Value>();
    }

    [[nodiscard]] auto begin() const -> msgpack::object const*
    {
        return list_->ptr;
    }

    [[nodiscard]] auto end() const -> msgpack::object const*
    {
        return list_->ptr + list_->size;
    }

private:
    msgpack::object_array const* list_;
};

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

auto read_digests(msgpack::object const& from) -> std::vector<digest>
{
    auto digests = std::vector<digest>{};
    for (auto const& each : list_reader{from})
    {
        digests.emplace_back(each.as<std::string>());
    }
    return digests;
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

auto read_parts(list_reader const& fields) -> part_reports
{
    auto crashes =
        read_crashes(fields.at(part_crashes_at), fields.at(cleared_parts_at));
    auto reports =
        part_reports{std::move(crashes.deaths), std::move(crashes.cleared), {}};
    for (auto const& each : list_reader{fields.at(part_rulings_at)})
    {
        auto const ruling = list_reader{each};
        reports.rulings.push_back(
            {digest{ruling.get<std::string>(0)}, ruling.get<std::uint32_t>(1)});
    }
    return reports;
}

auto read_optional(msgpack::object const& from) -> std::optional<double>
{
    return from.is_nil() ? std::nullopt : std::optional{from.as<double>()};
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

/// Reads the fields that the oldest version does not have.
auto read_present_fields(list_reader const& fields, peer_report& into) -> void
{
    into.configuration_next.era =
        fields.get<std::uint64_t>(configuration_era_at);
    into.replicas_next.era = fields.get<std::uint64_t>(replicas_era_at);
    into.lapse_grace = milliseconds{fields.get<std::uint32_t>(lapse_grace_at)};
    into.wants_reply = fields.get<bool>(wants_reply_at);
    if (!fields.at(zone_load_at).is_nil())
    {
        into.zone_load = read_load(fields.at(zone_load_at));
    }
}

auto read_report(msgpack::object const& from) -> std::optional<peer_report>
{
    auto const fields = list_reader{from};
    auto report = peer_report{};
    report.version = fields.get<std::uint32_t>(version_at);
    if (field_count_of(report.version) != fields.size())
    {
        return std::nullopt;
    }
    auto const is_oldest = report.version == oldest_report_version;
    report.ip = fields.get<std::string>(ip_at);
    report.incarnation = fields.get<std::uint64_t>(incarnation_at);
    report.sequence = fields.get<std::uint64_t>(sequence_at);
    report.caller_address = fields.get<std::string>(caller_address_at);
    report.zone = zone_name{fields.get<std::string>(zone_at)};
    report.accepts_callers = fields.get<bool>(accepts_callers_at);
    report.is_log_reachable = fields.get<bool>(is_log_reachable_at);
    report.configuration_next =
        fields.get<std::uint64_t>(configuration_next_at);
    report.replicas_next = fields.get<std::uint64_t>(replicas_next_at);
    for (auto const& each : list_reader{fields.at(leaving_at)})
    {
        report.leaving.push_back(read_leaving(each, is_oldest));
    }
    report.load = read_load(fields.at(load_at));
    report.crashes = read_crashes(fields.at(crashes_at), fields.at(cleared_at));
    report.known_addresses =
        read_addresses(fields.at(known_addresses_at), is_oldest);
    if (!is_oldest)
    {
        read_present_fields(fields, report);
    }
    if (report.version >= limitless_report_version)
    {
        report.parts = read_parts(fields);
    }
    if (report.version >= previous_report_version)
    {
        report.limits = read_limits(fields.at(limits_at));
        for (auto const& each : list_reader{fields.at(lost_services_at)})
        {
            report.lost_services.emplace_back(each.as<std::string>());
        }
    }
    if (report.version == report_version)
    {
        report.cold = read_cold(fields.at(cold_at));
        report.paces = read_paces(fields.at(paces_at));
        report.waiting = read_waiting(fields.at(waiting_at));
    }
    return report;
}

} // namespace

auto write_peer_report(peer_report const& report) -> std::string
{
    auto const is_oldest = report.version == oldest_report_version;
    auto buffer = msgpack::sbuffer{};
    auto to = packer{buffer};
    pack_array(to, field_count_of(report.version).value_or(field_count));
    to.pack(report.version);
    to.pack(report.ip);
    to.pack(report.incarnation);
    to.pack(report.sequence);
    to.pack(report.caller_address);
    to.pack(report.zone.str());
    to.pack(report.accepts_callers);
    to.pack(report.is_log_reachable);
    to.pack(report.configuration_next.offset);
    to.pack(report.replicas_next.offset);
    write_leaving(to, report.leaving, is_oldest);
    write_load(to, report.load);
    write_crashes(to, report.crashes);
    write_addresses(to, report.known_addresses, is_oldest);
    if (!is_oldest)
    {
        write_present_fields(to, report);
    }
    if (report.version >= limitless_report_version)
    {
        write_parts(to, report.parts);
    }
    if (report.version >= previous_report_version)
    {
        write_limits(to, report.limits);
        pack_array(to, report.lost_services.size());
        for (auto const& each : report.lost_services)
        {
            to.pack(each.str());
        }
    }
    if (report.version == report_version)
    {
        write_cold(to, report.cold);
        write_paces(to, report.paces);
        write_waiting(to, report.waiting);
    }
    return {buffer.data(), buffer.size()};
}

auto read_peer_report(std::string_view bytes) -> std::optional<peer_report>
{
    auto const limits =
        msgpack::unpack_limit{max_elements, 0, max_text_bytes, 0, 0, max_depth};
    try
    {
        auto consumed = std::size_t{0};
        auto const unpacked = msgpack::unpack(
            bytes.data(), bytes.size(), consumed, nullptr, nullptr, limits);
        return consumed == bytes.size() ? read_report(unpacked.get())
                                        : std::nullopt;
    }
    catch (msgpack::unpack_error const&)
    {
        return std::nullopt;
    }
    catch (msgpack::type_error const&)
    {
        return std::nullopt;
    }
}

} // namespace sapphirereel::relay
