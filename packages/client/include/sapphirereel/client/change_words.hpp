/// \file
/// Defines how the words and options of a command line become changes.
#ifndef SAPPHIREREEL_CLIENT_CHANGE_WORDS_HPP
#define SAPPHIREREEL_CLIENT_CHANGE_WORDS_HPP

#include "sapphirereel/client/command_context.hpp"
#include "sapphirereel/core/configuration_edit.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::client {

using changes = std::vector<configuration_change>;

/// Requirements as in `pool=fast|slow;canary=`, which wants the label canary
/// absent.
auto parse_requirements(std::string_view text)
    -> outcome<std::vector<label_requirement>>;

/// Labels as in `key=value`, one a word.
auto parse_labels(command_words words) -> outcome<label_map>;

/// `put NAME` with options or `put --file=FILE`, `remove NAME`,
/// `label NAME KEY=VALUE|KEY-...`.
auto group_changes(
    command_context const& context,
    configuration const& before,
    command_words words) -> outcome<changes>;

/// `add GROUP ID ADDRESS ZONE [KEY=VALUE...]`, `remove ID`,
/// `label ID KEY=VALUE|KEY-...`.
auto endpoint_changes(command_words words) -> outcome<changes>;

/// `put NAME` with options or `put --file=FILE`, `remove NAME`.
auto service_changes(command_context const& context, command_words words)
    -> outcome<changes>;

/// `put NAME` with options or `put --file=FILE`, `remove NAME`.
auto selector_changes(command_context const& context, command_words words)
    -> outcome<changes>;

/// `put CUSTOMER WEIGHT`, `remove CUSTOMER`.
auto share_changes(command_words words) -> outcome<changes>;

/// The changes of a file: a list of changes, or a whole configuration, which
/// is to replace the present one.
auto file_changes(
    command_context const& context,
    configuration const& before,
    std::string const& path) -> outcome<changes>;

} // namespace sapphirereel::client

#endif
