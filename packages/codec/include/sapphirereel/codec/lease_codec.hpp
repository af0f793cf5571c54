/// \file
/// Defines how leases stand in the records of the log.
#ifndef SAPPHIREREEL_CODEC_LEASE_CODEC_HPP
#define SAPPHIREREEL_CODEC_LEASE_CODEC_HPP

#include "sapphirereel/codec/basic_codec.hpp"
#include "sapphirereel/core/lease_record.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel {

template <>
inline constexpr auto enum_names<lease_kind> = std::array{
    enum_name<lease_kind>{lease_kind::acquire, "acquire"},
    enum_name<lease_kind>{lease_kind::renew, "renew"},
    enum_name<lease_kind>{lease_kind::release, "release"}};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    lease_entry, kind, name, holder, term, fence, number)

/// The body of a log record with these entries.
inline auto write_lease_entries(std::vector<lease_entry> const& entries)
    -> std::string
{
    return nlohmann::json(entries).dump();
}

/// The entries of a record's body, none if it cannot be read.
inline auto read_lease_entries(std::string_view body)
    -> std::vector<lease_entry>
{
    try
    {
        return nlohmann::json::parse(body).get<std::vector<lease_entry>>();
    }
    catch (nlohmann::json::exception const&)
    {
        return {};
    }
}

} // namespace sapphirereel

#endif
