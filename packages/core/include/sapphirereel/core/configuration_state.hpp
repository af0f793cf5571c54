/// \file
/// Defines the state of the replicated configuration at one offset of the log,
/// the records of its stream, and the decision on an edit.
#ifndef SAPPHIREREEL_CORE_CONFIGURATION_STATE_HPP
#define SAPPHIREREEL_CORE_CONFIGURATION_STATE_HPP

#include "sapphirereel/core/configuration_edit.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <variant>

namespace sapphirereel {

/// Number of latest records on which an edit may be based. Verdicts and offsets
/// of changes are kept for as many records.
inline constexpr std::uint64_t history_records = 1024;

/// Most findings in a verdict.
inline constexpr std::size_t verdict_findings_max = 64;

/// Everything on which verdicts depend. Every daemon has the same state at the
/// same offset.
struct configuration_state
{
    /// Offset of the last applied record.
    log_offset offset;
    configuration config;
    /// Offset of the last change of each object, removed ones included.
    std::map<object_key, log_offset> changed;
    /// Verdicts on recent edits.
    std::map<edit_id, edit_verdict> verdicts;
    auto operator<=>(configuration_state const&) const = default;
};

/// A state, as appended to the log or sent to a peer.
struct configuration_snapshot
{
    /// The state after the record at `state.offset`.
    configuration_state state;
    /// Wall-clock time of the oldest record that the log must retain so that a
    /// reader of the log alone can reach this state; zero if unknown.
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

/// One record with its offset and the time at which it was appended.
struct configuration_entry
{
    log_offset offset;
    wall_time appended;
    configuration_record record;
    auto operator<=>(configuration_entry const&) const = default;
};

/// The state after an edit at `offset`, including the verdict on it.
auto decide_edit(
    configuration_state state,
    configuration_edit const& edit,
    log_offset offset) -> configuration_state;

/// The state after a record at `offset` without an effect on the configuration.
auto advance_offset(configuration_state state, log_offset offset)
    -> configuration_state;

/// The verdict that an edit would get as the next record.
auto preview_edit(
    configuration_state const& state, configuration_edit const& edit)
    -> edit_verdict;

} // namespace sapphirereel

#endif
