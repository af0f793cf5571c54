/// \file
/// Defines configurations, edits, verdicts and snapshots as JSON: the records
/// of the log's configuration stream, the operators' messages and files.
#ifndef SAPPHIREREEL_CODEC_CONFIGURATION_CODEC_HPP
#define SAPPHIREREEL_CODEC_CONFIGURATION_CODEC_HPP

#include "sapphirereel/codec/basic_codec.hpp"
#include "sapphirereel/core/configuration_state.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel {

template <>
inline constexpr auto enum_names<verdict_kind> = std::array{
    enum_name<verdict_kind>{verdict_kind::pending, "pending"},
    enum_name<verdict_kind>{verdict_kind::accepted, "accepted"},
    enum_name<verdict_kind>{verdict_kind::rejected, "rejected"}};

/// The record as the body of an append.
auto encode_configuration_record(configuration_record const& record)
    -> std::string;

/// The record that a body stands for, or all that is wrong with the body.
auto decode_configuration_record(std::string_view body)
    -> result<configuration_record>;

/// A record of the log with its place; an undecodable one is malformed.
auto decode_configuration_entry(log_record const& record)
    -> configuration_entry;

/// An edit as `POST /operator/edits` takes it. `source` names the input in
/// findings.
auto decode_configuration_edit(std::string_view text, std::string source)
    -> result<configuration_edit>;

/// The changes of an operator's file: `{"changes":[...]}` or a list of them.
auto decode_changes(std::string_view text, std::string source)
    -> result<std::vector<configuration_change>>;

/// The objects of an operator's file: one object or a list of them.
auto decode_groups(std::string_view text, std::string source)
    -> result<std::vector<group>>;
auto decode_services(std::string_view text, std::string source)
    -> result<std::vector<service>>;
auto decode_selectors(std::string_view text, std::string source)
    -> result<std::vector<selector>>;

/// A whole configuration.
auto decode_configuration(std::string_view text, std::string source)
    -> result<configuration>;

// Conversions that nlohmann::json finds. The from_json ones throw
// nlohmann::json::exception with the first finding.
auto to_json(nlohmann::json& to, group const& from) -> void;
auto to_json(nlohmann::json& to, endpoint const& from) -> void;
auto to_json(nlohmann::json& to, service const& from) -> void;
auto to_json(nlohmann::json& to, label_requirement const& from) -> void;
auto to_json(nlohmann::json& to, selector const& from) -> void;
auto to_json(nlohmann::json& to, customer_share const& from) -> void;
auto to_json(nlohmann::json& to, configuration const& from) -> void;
auto from_json(nlohmann::json const& from, configuration& to) -> void;
auto to_json(nlohmann::json& to, configuration_change const& from) -> void;
auto to_json(nlohmann::json& to, configuration_edit const& from) -> void;
auto from_json(nlohmann::json const& from, configuration_edit& to) -> void;
auto to_json(nlohmann::json& to, configuration_snapshot const& from) -> void;
auto from_json(nlohmann::json const& from, configuration_snapshot& to) -> void;
auto to_json(nlohmann::json& to, edit_verdict const& from) -> void;
auto from_json(nlohmann::json const& from, edit_verdict& to) -> void;

} // namespace sapphirereel

#endif
