/// \file
/// The plain service stand-in as a program.
#include "sapphirereel/standins/plain_stand_in.hpp"
#include "sapphirereel/standins/program.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:9400", "address to listen on");
ABSL_FLAG(bool, verbose, false, "log the start");
ABSL_FLAG(std::uint64_t, threads, 512, "connections served at once");
ABSL_FLAG(std::string, name, "plain", "name in the answers");
ABSL_FLAG(std::string, crash_marker, "", "body text that ends the process");

namespace sapphirereel::standins {
namespace {

auto start_plain() -> result<std::unique_ptr<plain_stand_in>>
{
    return parse_address(absl::GetFlag(FLAGS_listen))
        .and_then([](socket_address const& address) {
            auto settings = plain_settings{};
            settings.server.address = address;
            settings.server.threads = absl::GetFlag(FLAGS_threads);
            settings.name = absl::GetFlag(FLAGS_name);
            settings.crash_marker = absl::GetFlag(FLAGS_crash_marker);
            return plain_stand_in::start(settings);
        });
}

} // namespace
} // namespace sapphirereel::standins

auto main(int argc, char** argv) -> int
{
    absl::ParseCommandLine(argc, argv);
    return sapphirereel::standins::run_program(
        "standin_plain", absl::GetFlag(FLAGS_verbose),
        sapphirereel::standins::start_plain);
}
