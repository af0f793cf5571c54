/// \file
/// The log service stand-in as a program.
#include "sapphirereel/standins/log_stand_in.hpp"
#include "sapphirereel/standins/program.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:9100", "address to listen on");
ABSL_FLAG(bool, verbose, false, "log the start");
ABSL_FLAG(std::uint64_t, threads, 512, "connections served at once");
ABSL_FLAG(double, appends_per_second, 500, "append rate of all streams");
ABSL_FLAG(std::uint64_t, retain_records, 100'000, "records kept of a stream");
ABSL_FLAG(std::int64_t, retain_ms, 86'400'000, "age at which records go");

namespace sapphirereel::standins {
namespace {

auto start_log() -> result<std::unique_ptr<log_stand_in>>
{
    return parse_address(absl::GetFlag(FLAGS_listen))
        .and_then([](socket_address const& address) {
            auto settings = log_settings{};
            settings.server.address = address;
            settings.server.threads = absl::GetFlag(FLAGS_threads);
            settings.appends_per_second =
                absl::GetFlag(FLAGS_appends_per_second);
            settings.retention.max_records =
                absl::GetFlag(FLAGS_retain_records);
            settings.retention.max_age =
                std::chrono::milliseconds{absl::GetFlag(FLAGS_retain_ms)};
            return log_stand_in::start(settings);
        });
}

} // namespace
} // namespace sapphirereel::standins

auto main(int argc, char** argv) -> int
{
    absl::ParseCommandLine(argc, argv);
    return sapphirereel::standins::run_program(
        "standin_log", absl::GetFlag(FLAGS_verbose),
        sapphirereel::standins::start_log);
}
