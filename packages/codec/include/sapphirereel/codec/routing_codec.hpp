/// \file
/// Defines a routing as JSON, as `POST /operator/explain` answers it.
#ifndef SAPPHIREREEL_CODEC_ROUTING_CODEC_HPP
#define SAPPHIREREEL_CODEC_ROUTING_CODEC_HPP

#include "sapphirereel/codec/basic_codec.hpp"
#include "sapphirereel/core/selector_matching.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace sapphirereel {

template <>
inline constexpr auto enum_names<selector_skip_reason> = std::array{
    enum_name<selector_skip_reason>{
        selector_skip_reason::other_service, "other_service"},
    enum_name<selector_skip_reason>{
        selector_skip_reason::other_model, "other_model"},
    enum_name<selector_skip_reason>{
        selector_skip_reason::other_customer, "other_customer"},
    enum_name<selector_skip_reason>{
        selector_skip_reason::lower_precedence, "lower_precedence"},
    enum_name<selector_skip_reason>{
        selector_skip_reason::later_name, "later_name"}};

template <>
inline constexpr auto enum_names<endpoint_skip_reason> = std::array{
    enum_name<endpoint_skip_reason>{
        endpoint_skip_reason::other_service, "other_service"},
    enum_name<endpoint_skip_reason>{
        endpoint_skip_reason::label_absent, "label_absent"},
    enum_name<endpoint_skip_reason>{
        endpoint_skip_reason::label_differs, "label_differs"},
    enum_name<endpoint_skip_reason>{
        endpoint_skip_reason::label_present, "label_present"}};

auto to_json(nlohmann::json& to, routing const& from) -> void;

/// Throws nlohmann::json::exception when a field is missing or malformed.
auto from_json(nlohmann::json const& from, routing& to) -> void;

} // namespace sapphirereel

#endif
