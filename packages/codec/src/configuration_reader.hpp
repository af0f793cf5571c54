/// \file
/// Defines readers of the configuration's values from JSON that people wrote.
#ifndef SAPPHIREREEL_CODEC_CONFIGURATION_READER_HPP
#define SAPPHIREREEL_CODEC_CONFIGURATION_READER_HPP

#include "json_reader.hpp"
#include "sapphirereel/codec/configuration_codec.hpp"
#include "sapphirereel/core/configuration_state.hpp"

namespace sapphirereel::internal {

using nlohmann::json;

/// A value of an enumeration by its name.
template <named_enum E>
auto read_enum(json const& from, json_place const& where, findings& found) -> E
{
    auto const name = read_string(from, where, found);
    auto const value = value_of<E>(name);
    if (!value)
    {
        auto names = std::string{};
        for (auto const& entry : enum_names<E>)
        {
            names += (names.empty() ? "" : ", ") + std::string{entry.name};
        }
        note(
            found, where, "'" + name + "' is not known", "use one of " + names);
        return {};
    }
    return *value;
}

/// An offset of the log.
inline auto read_offset(
    json const& from, json_place const& where, findings& found) -> log_offset
{
    return {read_number<std::uint64_t>(from, where, found)};
}

auto read_group(json const& from, json_place const& where, findings& found)
    -> group;
auto read_endpoint(json const& from, json_place const& where, findings& found)
    -> endpoint;
auto read_service(json const& from, json_place const& where, findings& found)
    -> service;
auto read_selector(json const& from, json_place const& where, findings& found)
    -> selector;
auto read_share(json const& from, json_place const& where, findings& found)
    -> customer_share;
auto read_configuration(
    json const& from, json_place const& where, findings& found)
    -> configuration;
auto read_change(json const& from, json_place const& where, findings& found)
    -> configuration_change;
auto read_edit(json const& from, json_place const& where, findings& found)
    -> configuration_edit;
auto read_snapshot(json const& from, json_place const& where, findings& found)
    -> configuration_snapshot;
auto read_verdict(json const& from, json_place const& where, findings& found)
    -> edit_verdict;

} // namespace sapphirereel::internal

#endif
