/// \file
/// Defines the state that the configuration stream of the log stands for at
/// one offset, and the records of that stream.
#ifndef SAPPHIREREEL_CORE_CONFIGURATION_STATE_HPP
#define SAPPHIREREEL_CORE_CONFIGURATION_STATE_HPP

#include "sapphirereel/core/configuration_edit.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <variant>

namespace sapphirereel {

/// How many records back an edit may be based on. Verdicts and offsets of
/// changes are kept as long.
inline constexpr std::uint64_t history_records = 1024;

/// How many findings a verdict keeps.
inline constexpr std::size_t verdict_findings_max = 64;

/// All that decides verdicts: the same in every daemon at the same offset.
struct configuration_state
{
    /// The last record that is contained.
    log_offset offset;
    configuration config;
    /// Where objects last changed, removed ones included.
    std::map<object_key, log_offset> changed;
    /// Verdicts on recent edits.
    std::map<edit_id, edit_verdict> verdicts;
    auto operator<=>(configuration_state const&) const = default;
};

/// A state republished in the log or handed to a peer.
struct configuration_snapshot
{
    /// `state.offset` says as of which record.
    configuration_state state;
    /// Civil time of the oldest record that the log must still hold for a
    /// reader of the log alone to reach this state; zero when unknown.
    wall_time anchor;
    auto operator<=>(configuration_snapshot const&) const = default;
};

/// A record that could not be decoded.
struct malformed_record
{
    findings reasons;
    auto operator<=>(malformed_record const&) const = default;
};

/// The content of one record of the configuration stream.
using configuration_record =
    std::variant<configuration_edit, configuration_snapshot, malformed_record>;

/// One record with its place in the stream.
struct configuration_entry
{
    log_offset offset;
    wall_time appended;
    configuration_record record;
    auto operator<=>(configuration_entry const&) const = default;
};

/// The state after one more edit at `offset`. The verdict is in it.
auto decide_edit(
    configuration_state state,
    configuration_edit const& edit,
    log_offset offset) -> configuration_state;

/// The state after a record at `offset` that changes nothing.
auto advance_offset(configuration_state state, log_offset offset)
    -> configuration_state;

/// The verdict on an edit if it were read next; nothing is recorded.
auto preview_edit(
    configuration_state const& state, configuration_edit const& edit)
    -> edit_verdict;

} // namespace sapphirereel

#endif
