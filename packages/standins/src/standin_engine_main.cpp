/// \file
/// The engine stand-in as a program.
#include "sapphirereel/standins/engine_stand_in.hpp"
#include "sapphirereel/standins/program.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:9500", "address to listen on");
ABSL_FLAG(bool, verbose, false, "log the start");
ABSL_FLAG(std::uint64_t, threads, 512, "connections served at once");
ABSL_FLAG(std::uint64_t, memory_tokens, 65'536, "memory of running runs");
ABSL_FLAG(std::uint32_t, max_running, 256, "runs in a batch");
ABSL_FLAG(std::uint64_t, max_length, 4'096, "longest natural answer");
ABSL_FLAG(std::int64_t, token_ms, 20, "time of a step");
ABSL_FLAG(std::int64_t, orphan_grace_ms, 10'000, "life of an unread run");
ABSL_FLAG(std::int64_t, load_lag_ms, 500, "lag of the load report");
ABSL_FLAG(std::int64_t, cache_lag_ms, 500, "lag of cache events");
ABSL_FLAG(std::uint64_t, cache_gap_every, 17, "cache events left out; 0: none");
ABSL_FLAG(bool, checks_fencing, true, "refuse orders with an old fence");
ABSL_FLAG(std::vector<std::string>, models, {}, "models; none: serves all");
ABSL_FLAG(std::string, weight_store, "", "address of the weight store");
ABSL_FLAG(std::string, crash_marker, "", "prompt text that ends the process");

namespace sapphirereel::standins {
namespace {

auto engine_settings_from_flags() -> engine_settings
{
    using std::chrono::milliseconds;
    auto settings = engine_settings{};
    settings.server.threads = absl::GetFlag(FLAGS_threads);
    settings.batch.memory_tokens = absl::GetFlag(FLAGS_memory_tokens);
    settings.batch.max_running = absl::GetFlag(FLAGS_max_running);
    settings.max_length = absl::GetFlag(FLAGS_max_length);
    settings.token_time = milliseconds{absl::GetFlag(FLAGS_token_ms)};
    settings.orphan_grace = milliseconds{absl::GetFlag(FLAGS_orphan_grace_ms)};
    settings.load_lag = milliseconds{absl::GetFlag(FLAGS_load_lag_ms)};
    settings.cache.event_lag = milliseconds{absl::GetFlag(FLAGS_cache_lag_ms)};
    settings.cache.gap_every = absl::GetFlag(FLAGS_cache_gap_every);
    settings.orders.checks_fencing = absl::GetFlag(FLAGS_checks_fencing);
    settings.orders.models = absl::GetFlag(FLAGS_models);
    settings.crash_marker = absl::GetFlag(FLAGS_crash_marker);
    return settings;
}

auto start_engine() -> result<std::unique_ptr<engine_stand_in>>
{
    auto settings = engine_settings_from_flags();
    auto const weight_store = absl::GetFlag(FLAGS_weight_store);
    if (!weight_store.empty())
    {
        auto const address = parse_address(weight_store);
        if (!address)
        {
            return tl::unexpected{address.error()};
        }
        settings.orders.weight_store = *address;
    }
    return parse_address(absl::GetFlag(FLAGS_listen))
        .and_then([&settings](socket_address const& address) {
            settings.server.address = address;
            return engine_stand_in::start(settings);
        });
}

} // namespace
} // namespace sapphirereel::standins

auto main(int argc, char** argv) -> int
{
    absl::ParseCommandLine(argc, argv);
    return sapphirereel::standins::run_program(
        "standin_engine", absl::GetFlag(FLAGS_verbose),
        sapphirereel::standins::start_engine);
}
