/// \file
/// Defines what a command line says, apart from its words.
#ifndef SAPPHIREREEL_CLIENT_COMMAND_OPTIONS_HPP
#define SAPPHIREREEL_CLIENT_COMMAND_OPTIONS_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphirereel::client {

/// Options of all commands; each command reads those it knows.
struct command_options
{
    bool json = false;
    /// Publish without asking.
    bool yes = false;
    /// Show what would change and publish nothing.
    bool dry_run = false;
    duration timeout = std::chrono::seconds{10};
    std::optional<std::uint64_t> offset;
    std::string author;
    std::string file;
    std::string endpoint;
    std::vector<std::string> services;
    std::vector<std::string> models;
    std::vector<std::string> customers;
    std::optional<std::int32_t> precedence;
    std::string requirements;
    std::string kind;
    std::vector<std::string> non_idempotent;
    bool checks_fencing = false;
    bool resumes_prefix = false;
    /// Name of the edit that this invocation may publish.
    edit_id edit;
    auto operator<=>(command_options const&) const = default;
};

} // namespace sapphirereel::client

#endif
