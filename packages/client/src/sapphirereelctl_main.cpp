/// \file
/// The operators' command line client.
#include "sapphirereel/client/command.hpp"
#include "sapphirereel/client/flag_parsing.hpp"

#include <absl/flags/flag.h>
#include <absl/time/time.h>
#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <iostream>
#include <random>

ABSL_FLAG(std::string, daemon, "", "Daemons, as IP:PORT[,IP:PORT]");
ABSL_FLAG(bool, json, false, "Print JSON");
ABSL_FLAG(bool, yes, false, "Publish without asking");
ABSL_FLAG(bool, dry_run, false, "Publish nothing");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(10), "Longest wait");
ABSL_FLAG(std::optional<std::uint64_t>, offset, std::nullopt, "Offset");
ABSL_FLAG(std::string, author, "", "Who edits");
ABSL_FLAG(std::string, edit_id, "", "Name of an edit that is sent again");
ABSL_FLAG(std::string, file, "", "File with the objects to put; - is stdin");
ABSL_FLAG(std::string, endpoint, "", "Endpoint to drain");
ABSL_FLAG(std::vector<std::string>, service, {}, "Services");
ABSL_FLAG(std::vector<std::string>, model, {}, "Models");
ABSL_FLAG(std::vector<std::string>, customer, {}, "Customers");
ABSL_FLAG(std::optional<std::int32_t>, precedence, std::nullopt, "Precedence");
ABSL_FLAG(std::string, require, "", "Requirements, as KEY=V|V;KEY=");
ABSL_FLAG(std::string, kind, "", "engine or plain");
ABSL_FLAG(std::vector<std::string>, non_idempotent, {}, "HTTP methods");
ABSL_FLAG(bool, checks_fencing, false, "Endpoints check fencing numbers");
ABSL_FLAG(bool, resumes_prefix, false, "Engines resume from given tokens");

namespace {

namespace client = sapphirereel::client;

auto named_edit_id() -> sapphirereel::edit_id
{
    return sapphirereel::edit_id{absl::GetFlag(FLAGS_edit_id)};
}

auto random_edit_id() -> sapphirereel::edit_id
{
    auto source = std::random_device{};
    return sapphirereel::edit_id{fmt::format(
        "{:08x}{:08x}{:08x}{:08x}", source(), source(), source(), source())};
}

auto author() -> std::string
{
    auto const named = absl::GetFlag(FLAGS_author);
    auto const* const user = std::getenv("USER");
    return !named.empty() || user == nullptr ? named : user;
}

auto options_from_flags() -> client::command_options
{
    auto options = client::command_options{};
    options.json = absl::GetFlag(FLAGS_json);
    options.yes = absl::GetFlag(FLAGS_yes);
    options.dry_run = absl::GetFlag(FLAGS_dry_run);
    options.timeout = absl::ToChronoMicroseconds(absl::GetFlag(FLAGS_timeout));
    options.offset = absl::GetFlag(FLAGS_offset);
    options.author = author();
    options.file = absl::GetFlag(FLAGS_file);
    options.endpoint = absl::GetFlag(FLAGS_endpoint);
    options.services = absl::GetFlag(FLAGS_service);
    options.models = absl::GetFlag(FLAGS_model);
    options.customers = absl::GetFlag(FLAGS_customer);
    options.precedence = absl::GetFlag(FLAGS_precedence);
    options.requirements = absl::GetFlag(FLAGS_require);
    options.kind = absl::GetFlag(FLAGS_kind);
    options.non_idempotent = absl::GetFlag(FLAGS_non_idempotent);
    options.checks_fencing = absl::GetFlag(FLAGS_checks_fencing);
    options.resumes_prefix = absl::GetFlag(FLAGS_resumes_prefix);
    options.edit = named_edit_id();
    if (options.edit.empty())
    {
        options.edit = random_edit_id();
    }
    return options;
}

auto wants_help(std::vector<std::string> const& arguments) -> bool
{
    auto const is_help = [](std::string const& argument) {
        return argument == "--help" || argument == "-h";
    };
    return arguments.empty() || arguments.front() == "help" ||
           std::any_of(arguments.begin(), arguments.end(), is_help);
}

auto help(std::vector<std::string> const& arguments) -> client::exit_code
{
    for (auto const& argument : arguments)
    {
        if (auto const* const found = client::find_command(argument))
        {
            client::print_help(std::cout, *found);
            return client::exit_code::done;
        }
    }
    client::print_help(std::cout);
    return client::exit_code::done;
}

using daemon_addresses = std::vector<sapphirereel::socket_address>;

/// The daemons that the flags name; none where the command needs none.
auto daemons_for(std::vector<std::string> const& words)
    -> client::outcome<daemon_addresses>
{
    auto const* const found =
        words.empty() ? nullptr : client::find_command(words.front());
    if (found != nullptr && !found->needs_daemon)
    {
        return daemon_addresses{};
    }
    return client::parse_addresses(absl::GetFlag(FLAGS_daemon));
}

auto run(std::vector<std::string> const& arguments) -> client::exit_code
{
    if (wants_help(arguments))
    {
        return help(arguments);
    }
    auto const words = client::parse_flags(arguments);
    auto const options = options_from_flags();
    auto const daemons =
        words ? daemons_for(*words) : tl::unexpected(words.error());
    auto const daemon =
        client::daemon_client{daemons.value_or(daemon_addresses{}), {}};
    auto const context = client::command_context{
        options, daemon, std::cin, std::cout, std::cerr};
    return daemons ? client::run_command(context, *words)
                   : client::report(context, daemons.error());
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return static_cast<int>(run({argv + 1, argv + argc}));
}
