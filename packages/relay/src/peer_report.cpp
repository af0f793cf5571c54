#include "sapphirereel/relay/peer_report.hpp"

#include "sapphirereel/relay/peer_report_fields.hpp"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <chrono>
#include <msgpack.hpp>
#include <system_error>
#include <tuple>
#include <utility>

namespace sapphirereel::relay {
namespace {

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
    coldless_field_count,
    /// Fields of cold replicas, paces and waiting requests.
    cold_at = coldless_field_count,
    paces_at,
    waiting_at,
    previous_field_count,
    /// Fields that the previous version does not have.
    since_read_at = previous_field_count,
    since_zone_read_at,
    since_attempt_at,
    field_count
};

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
    case coldless_report_version:
        return coldless_field_count;
    case previous_report_version:
        return previous_field_count;
    case report_version:
        return field_count;
    default:
        return std::nullopt;
    }
}

/// Unit in which the age of copies is told, and the number that stands for all
/// greater ages.
constexpr auto age_unit = duration{milliseconds{10}};
constexpr auto max_age_units = std::int64_t{255};
constexpr auto max_told_age = duration{age_unit * max_age_units};

auto write_age(report_packer& to, duration age) -> void
{
    // Rounded up: an age that is told must not be less than the true one.
    to.pack(
        std::min<std::int64_t>(
            max_age_units - 1, (std::min(age, max_told_age) / age_unit)) +
        1);
}

auto read_age(std::uint32_t units) -> duration
{
    return units >= max_age_units ? duration::max() : units * age_unit;
}

/// The caller address without the daemon's own IP address, which the report
/// names already.
auto short_address(peer_report const& report) -> std::string
{
    auto const is_own = report.caller_address.starts_with(report.ip + ":");
    return is_own ? report.caller_address.substr(report.ip.size())
                  : report.caller_address;
}

auto whole_address(std::string const& address, std::string const& ip)
    -> std::string
{
    return address.starts_with(":") ? ip + address : address;
}

/// Writes the fields that the oldest version does not have.
auto write_present_fields(report_packer& to, peer_report const& report) -> void
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

/// Whether a text is an IP address, to which connections can be opened.
auto is_ip(std::string const& text) -> bool
{
    auto error = std::error_code{};
    std::ignore = asio::ip::make_address(text, error);
    return !error;
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
    if (!is_ip(report.ip))
    {
        return std::nullopt;
    }
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
    std::erase_if(report.known_addresses, [](known_address const& each) {
        return !is_ip(each.ip);
    });
    if (!is_oldest)
    {
        read_present_fields(fields, report);
    }
    if (report.version >= limitless_report_version)
    {
        report.parts = read_parts(fields);
    }
    if (report.version >= coldless_report_version)
    {
        report.limits = read_limits(fields.at(limits_at));
        for (auto const& each : list_reader{fields.at(lost_services_at)})
        {
            report.lost_services.emplace_back(each.as<std::string>());
        }
    }
    if (report.version >= previous_report_version)
    {
        report.cold = read_cold(fields.at(cold_at));
        report.paces = read_paces(fields.at(paces_at));
        report.waiting = read_waiting(fields.at(waiting_at));
    }
    if (report.version == report_version)
    {
        report.caller_address = whole_address(report.caller_address, report.ip);
        report.age = {
            read_age(fields.get<std::uint32_t>(since_read_at)),
            read_age(fields.get<std::uint32_t>(since_zone_read_at)),
            read_age(fields.get<std::uint32_t>(since_attempt_at))};
    }
    return report;
}

} // namespace

auto write_peer_report(peer_report const& report) -> std::string
{
    auto const is_oldest = report.version == oldest_report_version;
    auto buffer = msgpack::sbuffer{};
    auto to = report_packer{buffer};
    pack_array(to, field_count_of(report.version).value_or(field_count));
    to.pack(report.version);
    to.pack(report.ip);
    to.pack(report.incarnation);
    to.pack(report.sequence);
    to.pack(
        report.version == report_version ? short_address(report)
                                         : report.caller_address);
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
    if (report.version >= coldless_report_version)
    {
        write_limits(to, report.limits);
        pack_array(to, report.lost_services.size());
        for (auto const& each : report.lost_services)
        {
            to.pack(each.str());
        }
    }
    if (report.version >= previous_report_version)
    {
        write_cold(to, report.cold);
        write_paces(to, report.paces);
        write_waiting(to, report.waiting);
    }
    if (report.version == report_version)
    {
        write_age(to, report.age.since_read);
        write_age(to, report.age.since_zone_read);
        write_age(to, report.age.since_attempt);
    }
    return {buffer.data(), buffer.size()};
}

auto read_peer_report(std::string_view bytes) -> std::optional<peer_report>
{
    auto const limits =
        msgpack::unpack_limit{max_elements, 0, max_text_bytes, 0, 0, max_depth};
    return read_packed(bytes, limits, read_report);
}

} // namespace sapphirereel::relay
