/// \file
/// Defines the transport's counters as its threads count on them.
#ifndef SAPPHIREREEL_PEER_TRANSPORT_METER_HPP
#define SAPPHIREREEL_PEER_TRANSPORT_METER_HPP

#include "sapphirereel/peer/transport.hpp"

#include <atomic>
#include <cstdint>

namespace sapphirereel::peer::internal {

/// Counters that are written on the transport's thread and read on any.
struct transport_meter
{
    std::atomic<std::uint64_t> messages_out{0};
    std::atomic<std::uint64_t> messages_in{0};
    std::atomic<std::uint64_t> bytes_out{0};
    std::atomic<std::uint64_t> bytes_in{0};
    std::atomic<std::uint64_t> dropped{0};
    std::atomic<std::uint64_t> oversized{0};
    std::atomic<std::uint64_t> unanswered{0};
    std::atomic<std::uint64_t> connections_made{0};
    std::atomic<std::uint64_t> connections_accepted{0};
    std::atomic<std::uint64_t> connections_silent{0};
    std::atomic<std::uint64_t> protocol_errors{0};
    std::atomic<std::uint64_t> answered{0};

    /// The counts at this moment, each read on its own.
    [[nodiscard]] auto read() const -> transport_counters
    {
        return {messages_out,       messages_in,      bytes_out,
                bytes_in,           dropped,          oversized,
                unanswered,         connections_made, connections_accepted,
                connections_silent, protocol_errors,  answered};
    }
};

} // namespace sapphirereel::peer::internal

#endif
