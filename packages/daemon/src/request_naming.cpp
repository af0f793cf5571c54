#include "sapphirereel/daemon/request_naming.hpp"

#include <fmt/format.h>

namespace sapphirereel::daemon {

request_naming::request_naming(std::uint64_t seed)
    : random_(seed)
{}

auto request_naming::next(wall_time born) -> request_name
{
    auto const lock = std::lock_guard{mutex_};
    auto const time = static_cast<std::uint64_t>(born.milliseconds);
    auto const a = random_();
    auto const b = random_();
    // Version 7 stands in the third field, the variant 10 in the fourth.
    return request_name{fmt::format(
        "{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", (time >> 16U) & 0xffffffffU,
        time & 0xffffU, a & 0xfffU, 0x8000U | ((a >> 12U) & 0x3fffU),
        b & 0xffffffffffffU)};
}

} // namespace sapphirereel::daemon
