#include "sapphirereel/daemon/daemon_process.hpp"
#include "sapphirereel/daemon/settings.hpp"
#include "sapphirereel/daemon/settings_table.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <malloc.h>
#include <sodium.h>
#include <string>

ABSL_FLAG(std::string, settings, "", "Path of the INI file with the settings");
ABSL_FLAG(bool, check, false, "Check the settings, report and end");
ABSL_FLAG(bool, describe_settings, false, "Print the page of all settings");
ABSL_FLAG(
    bool,
    record,
    false,
    "Record the core's events from the start, for GET /operator/trace");

namespace {

using namespace sapphirereel;

constexpr auto exit_done = 0;
constexpr auto exit_failed = 1;
constexpr auto exit_user_error = 2;

/// Smallest allocation, in bytes, that goes back to the system when it is
/// freed. Left to itself, the allocator raises it with the first large body,
/// and each connection's thread then keeps what later ones freed.
constexpr auto returned_allocation = 128 << 10;

auto print(findings const& problems) -> void
{
    for (auto const& one : problems)
    {
        fmt::print(
            stderr, "{}:{}: {}: {}{}\n", one.where.source, one.where.line,
            one.where.field, one.message,
            one.mend.empty() ? "" : " (" + one.mend + ")");
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    absl::SetProgramUsageMessage(
        "The sapphirereel daemon.\n"
        "Example: sapphirereeld --settings=/etc/sapphirereel.ini");
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_describe_settings))
    {
        fmt::print("{}", daemon::settings_page());
        return exit_done;
    }
    auto const path = absl::GetFlag(FLAGS_settings);
    if (path.empty())
    {
        fmt::print(stderr, "name the settings file with --settings=PATH\n");
        return exit_user_error;
    }
    auto const loaded = daemon::settings::load(path);
    if (!loaded)
    {
        print(loaded.error());
        return exit_user_error;
    }
    if (absl::GetFlag(FLAGS_check))
    {
        fmt::print("{}: no findings\n", path);
        return exit_done;
    }
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, returned_allocation);
    if (sodium_init() < 0)
    {
        fmt::print(stderr, "the cryptographic library cannot start\n");
        return exit_failed;
    }
    auto process =
        daemon::daemon_process::create(*loaded, {absl::GetFlag(FLAGS_record)});
    if (!process)
    {
        print(process.error());
        return exit_user_error;
    }
    (*process)->run();
    return exit_done;
}
