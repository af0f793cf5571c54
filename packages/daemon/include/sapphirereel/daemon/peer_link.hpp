/// \file
/// Defines the link to the other daemons: typed messages over the transport.
#ifndef SAPPHIREREEL_DAEMON_PEER_LINK_HPP
#define SAPPHIREREEL_DAEMON_PEER_LINK_HPP

#include "sapphirereel/composition/action.hpp"
#include "sapphirereel/daemon/core_loop.hpp"
#include "sapphirereel/peer/transport.hpp"

#include <cstdint>
#include <memory>

namespace sapphirereel::daemon {

/// Sends and receives messages on the core's thread.
class peer_link
{
public:
    /// Listens on the peer address; findings if that fails.
    static auto open(
        asio::io_context& io,
        socket_address const& address,
        daemon_id const& self,
        core_loop& loop) -> result<std::unique_ptr<peer_link>>;

    auto perform(send_peer const& what) -> void;

    /// Messages that were not understood.
    [[nodiscard]] auto malformed() const -> std::uint64_t
    {
        return malformed_;
    }

    [[nodiscard]] auto counters() const -> peer::transport_counters
    {
        return transport_->counters();
    }

private:
    peer_link(daemon_id self, core_loop& loop);

    auto receive(std::string const& bytes) -> void;

    daemon_id self_;
    core_loop& loop_;
    std::uint64_t malformed_ = 0;
    std::unique_ptr<peer::transport> transport_;
};

} // namespace sapphirereel::daemon

#endif
