/// \file
/// Defines the encoding of the lists in the reports that daemons send each
/// other. Reading throws `msgpack::type_error` where an element is missing or
/// of another type.
#ifndef SAPPHIREREEL_RELAY_PEER_REPORT_FIELDS_HPP
#define SAPPHIREREEL_RELAY_PEER_REPORT_FIELDS_HPP

#include "sapphirereel/relay/peer_report.hpp"

#include <cstddef>
#include <msgpack.hpp>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace sapphirereel::relay {

using report_packer = msgpack::packer<msgpack::sbuffer>;

/// A list of a report.
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

/// Reads a message with a function of its unpacked object that returns an
/// optional; none if the bytes are no MessagePack, beyond the limits, of other
/// types than the function expects, or followed by others.
template <class Read>
auto read_packed(
    std::string_view bytes, msgpack::unpack_limit const& limits, Read read)
    -> decltype(read(std::declval<msgpack::object const&>()))
{
    try
    {
        auto consumed = std::size_t{0};
        auto const unpacked = msgpack::unpack(
            bytes.data(), bytes.size(), consumed, nullptr, nullptr, limits);
        return consumed == bytes.size() ? read(unpacked.get()) : std::nullopt;
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

auto pack_array(report_packer& to, std::size_t elements) -> void;

auto write_load(report_packer& to, load_report const& loads) -> void;

auto write_leaving(
    report_packer& to,
    std::vector<leaving_replica> const& leaving,
    bool is_oldest) -> void;

auto write_crashes(report_packer& to, crash_reports const& reports) -> void;

/// The oldest version lists addresses, the present one lists of a zone and
/// its addresses.
auto write_addresses(
    report_packer& to,
    std::vector<known_address> const& addresses,
    bool is_oldest) -> void;

auto write_parts(report_packer& to, part_reports const& reports) -> void;

auto write_limits(report_packer& to, std::vector<limit_entry> const& limits)
    -> void;

auto write_cold(report_packer& to, std::vector<cold_entry> const& cold) -> void;

auto write_paces(report_packer& to, std::vector<pace_entry> const& paces)
    -> void;

auto write_waiting(report_packer& to, std::vector<waiting_entry> const& waiting)
    -> void;

auto read_load(msgpack::object const& from) -> load_report;

auto read_leaving(msgpack::object const& from, bool is_oldest)
    -> leaving_replica;

auto read_crashes(msgpack::object const& deaths, msgpack::object const& cleared)
    -> crash_reports;

auto read_limits(msgpack::object const& from) -> std::vector<limit_entry>;

auto read_cold(msgpack::object const& from) -> std::vector<cold_entry>;

auto read_paces(msgpack::object const& from) -> std::vector<pace_entry>;

auto read_waiting(msgpack::object const& from) -> std::vector<waiting_entry>;

auto read_addresses(msgpack::object const& from, bool is_oldest)
    -> std::vector<known_address>;

} // namespace sapphirereel::relay

#endif
