/// \file
/// Defines the offsets and records of the platform's log service.
#ifndef SAPPHIREREEL_CORE_LOG_RECORD_HPP
#define SAPPHIREREEL_CORE_LOG_RECORD_HPP

#include "sapphirereel/core/clock.hpp"

#include <cstdint>
#include <string>

namespace sapphirereel {

/// Position of a record in one stream of the log, counted from 1. Offset 0
/// precedes every record. Also serves as fencing token.
struct log_offset
{
    std::uint64_t value = 0;
    auto operator<=>(log_offset const&) const = default;
};

/// One record of a stream. `appended` is the log service's wall-clock time.
struct log_record
{
    log_offset offset;
    wall_time appended;
    std::string body;
    auto operator<=>(log_record const&) const = default;
};

} // namespace sapphirereel

#endif
