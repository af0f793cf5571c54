/// \file
/// The VM list stand-in as a program.
#include "sapphirereel/standins/program.hpp"
#include "sapphirereel/standins/vm_list_stand_in.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:9200", "address to listen on");
ABSL_FLAG(bool, verbose, false, "log the start");
ABSL_FLAG(std::int64_t, lag_ms, 0, "how late a change is seen");

namespace sapphirereel::standins {
namespace {

auto start_vm_list() -> result<std::unique_ptr<vm_list_stand_in>>
{
    return parse_address(absl::GetFlag(FLAGS_listen))
        .and_then([](socket_address const& address) {
            auto settings = vm_list_settings{};
            settings.server.address = address;
            settings.lag =
                std::chrono::milliseconds{absl::GetFlag(FLAGS_lag_ms)};
            return vm_list_stand_in::start(settings);
        });
}

} // namespace
} // namespace sapphirereel::standins

auto main(int argc, char** argv) -> int
{
    absl::ParseCommandLine(argc, argv);
    return sapphirereel::standins::run_program(
        "standin_vm_list", absl::GetFlag(FLAGS_verbose),
        sapphirereel::standins::start_vm_list);
}
