/// \file
/// Defines names for requests whose callers gave none: UUIDs of version 7,
/// which carry their birth time.
#ifndef SAPPHIREREEL_DAEMON_REQUEST_NAMING_HPP
#define SAPPHIREREEL_DAEMON_REQUEST_NAMING_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <cstdint>
#include <mutex>
#include <random>

namespace sapphirereel::daemon {

/// Makes names. May be used from any thread.
class request_naming
{
public:
    explicit request_naming(std::uint64_t seed);

    auto next(wall_time born) -> request_name;

private:
    std::mutex mutex_;
    std::mt19937_64 random_;
};

} // namespace sapphirereel::daemon

#endif
