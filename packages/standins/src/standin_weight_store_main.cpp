/// \file
/// The weight store stand-in as a program.
#include "sapphirereel/standins/program.hpp"
#include "sapphirereel/standins/weight_stand_in.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:9300", "address to listen on");
ABSL_FLAG(bool, verbose, false, "log the start");
ABSL_FLAG(std::uint32_t, loads_per_minute, 6, "rate of all engines together");

namespace sapphirereel::standins {
namespace {

auto start_weight_store() -> result<std::unique_ptr<weight_stand_in>>
{
    return parse_address(absl::GetFlag(FLAGS_listen))
        .and_then([](socket_address const& address) {
            auto settings = weight_settings{};
            settings.server.address = address;
            settings.loads_per_minute = absl::GetFlag(FLAGS_loads_per_minute);
            return weight_stand_in::start(settings);
        });
}

} // namespace
} // namespace sapphirereel::standins

auto main(int argc, char** argv) -> int
{
    absl::ParseCommandLine(argc, argv);
    return sapphirereel::standins::run_program(
        "standin_weight_store", absl::GetFlag(FLAGS_verbose),
        sapphirereel::standins::start_weight_store);
}
