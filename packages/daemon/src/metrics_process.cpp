#include "sapphirereel/daemon/metrics_process.hpp"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace sapphirereel::daemon::internal {
namespace {

auto to_duration(timeval const& time) -> duration
{
    return std::chrono::seconds{time.tv_sec} +
           std::chrono::microseconds{time.tv_usec};
}

auto resident_bytes() -> std::uint64_t
{
    auto file = std::ifstream{"/proc/self/statm"};
    auto total_pages = std::uint64_t{0};
    auto resident_pages = std::uint64_t{0};
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

auto process_usage_now() -> process_usage
{
    auto usage = rusage{};
    getrusage(RUSAGE_SELF, &usage);
    return {
        to_duration(usage.ru_utime) + to_duration(usage.ru_stime),
        resident_bytes()};
}

} // namespace sapphirereel::daemon::internal
