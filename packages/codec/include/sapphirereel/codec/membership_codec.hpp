/// \file
/// Defines how membership's messages stand in JSON and MessagePack.
#ifndef SAPPHIREREEL_CODEC_MEMBERSHIP_CODEC_HPP
#define SAPPHIREREEL_CODEC_MEMBERSHIP_CODEC_HPP

#include "sapphirereel/codec/basic_codec.hpp"
#include "sapphirereel/codec/variant_codec.hpp"
#include "sapphirereel/core/address_answer.hpp"
#include "sapphirereel/core/membership_event.hpp"

namespace sapphirereel {

template <>
inline constexpr auto enum_names<member_state> = std::array{
    enum_name<member_state>{member_state::alive, "alive"},
    enum_name<member_state>{member_state::suspect, "suspect"},
    enum_name<member_state>{member_state::leaving, "leaving"},
    enum_name<member_state>{member_state::dead, "dead"}};

template <>
inline constexpr auto enum_names<vm_state> = std::array{
    enum_name<vm_state>{vm_state::live, "live"},
    enum_name<vm_state>{vm_state::leaving, "leaving"}};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    member,
    id,
    caller_address,
    peer_address,
    zone,
    region,
    state,
    incarnation,
    in_force)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(vm_hint, name, ip, zone, region, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(suspicion, subject, incarnation, accuser)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(in_force_fact, id, in_force)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(gossip, members, suspicions, in_force)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(probe, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(probe_answer, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(probe_request, number, subject)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(probe_relay, number, subject)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(join_answer, members)

inline auto to_json(nlohmann::json& json, join_request const&) -> void
{
    json = nlohmann::json::object();
}

inline auto from_json(nlohmann::json const&, join_request&) -> void {}

template <>
inline constexpr std::string_view kind_name<probe> = "probe";
template <>
inline constexpr std::string_view kind_name<probe_answer> = "probe_answer";
template <>
inline constexpr std::string_view kind_name<probe_request> = "probe_request";
template <>
inline constexpr std::string_view kind_name<probe_relay> = "probe_relay";
template <>
inline constexpr std::string_view kind_name<join_request> = "join_request";
template <>
inline constexpr std::string_view kind_name<join_answer> = "join_answer";

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    membership_message, sender, content, news, view)

/// The answer to a caller: addresses and how long they may be used, in
/// seconds.
inline auto to_json(nlohmann::json& json, address_answer const& answer) -> void
{
    auto addresses = nlohmann::json::array();
    for (auto const& address : answer.addresses)
    {
        addresses.push_back(address.ip + ":" + std::to_string(address.port));
    }
    using std::chrono::seconds;
    auto const valid = std::chrono::duration_cast<seconds>(answer.validity);
    json = {{"addresses", addresses}, {"valid_seconds", valid.count()}};
}

} // namespace sapphirereel

#endif
