/// \file
/// Defines how changes are previewed, confirmed, published and followed to
/// their verdict.
#ifndef SAPPHIREREEL_CLIENT_EDIT_PUBLISHING_HPP
#define SAPPHIREREEL_CLIENT_EDIT_PUBLISHING_HPP

#include "sapphirereel/client/command_context.hpp"
#include "sapphirereel/core/configuration_edit.hpp"

#include <vector>

namespace sapphirereel::client {

/// The configuration that a daemon acts on, as of an offset.
struct read_configuration
{
    log_offset offset;
    configuration config;
    auto operator<=>(read_configuration const&) const = default;
};

/// Asks a daemon for its configuration.
auto fetch_configuration(command_context const& context)
    -> outcome<read_configuration>;

/// Shows what the changes do, asks unless told not to, publishes them as one
/// edit and prints the verdict. The edit's id stays the same over retries, so
/// a lost answer is harmless.
auto publish(
    command_context const& context,
    read_configuration const& before,
    std::vector<configuration_change> const& changes) -> exit_code;

/// Asks a daemon for the verdict on an edit.
auto ask_verdict(command_context const& context, edit_id const& id)
    -> outcome<edit_verdict>;

/// Prints a verdict and says the exit code it stands for.
auto report_verdict(
    command_context const& context,
    edit_id const& id,
    edit_verdict const& verdict) -> exit_code;

} // namespace sapphirereel::client

#endif
