/// \file
/// Defines the datagram that tells a daemon which has just started of the
/// crashes that others remember. Daemons that do not know it drop it.
#ifndef SAPPHIREREEL_RELAY_CRASH_MEMORY_MESSAGE_HPP
#define SAPPHIREREEL_RELAY_CRASH_MEMORY_MESSAGE_HPP

#include "sapphirereel/core/poison_request.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirereel::relay {

/// Encodes a memory; ages are rounded up to whole seconds.
auto write_crash_memory(crash_memory const& memory) -> std::string;

/// None if the bytes are no such message, or longer than any daemon writes.
auto read_crash_memory(std::string_view bytes) -> std::optional<crash_memory>;

} // namespace sapphirereel::relay

#endif
