/// \file
/// Defines what a daemon does about services to whose replicas its path is
/// lost: it tells the peers, chooses one to forward to, and tries the path.
#ifndef SAPPHIREREEL_RELAY_SERVICE_PATHS_HPP
#define SAPPHIREREEL_RELAY_SERVICE_PATHS_HPP

#include "sapphirereel/relay/forward_target.hpp"
#include "sapphirereel/relay/peer_gossip.hpp"
#include "sapphirereel/relay/relay_state.hpp"

#include <cstdint>
#include <optional>

namespace sapphirereel::relay {

/// The paths of one daemon. Its state and its peers outlive it.
class service_paths
{
public:
    service_paths(
        relay_state& state, peer_gossip& peers, std::uint16_t peer_port);

    /// Chooses a peer that reaches a service's replicas.
    auto choose_peer(forward_need const& need, time_point now)
        -> std::optional<listen_address>;

    /// Records that the path to a service is lost: tells the peers, and closes
    /// the connections, which may hang.
    auto close(service_name const& service) -> void;

    /// Tries one connection to each lost service whose trial is due. If one
    /// succeeds, one request is tried.
    auto try_lost(time_point now) -> void;

private:
    auto try_path(service_name const& service) -> void;

    relay_state* state_;
    peer_gossip* peers_;
    std::uint16_t peer_port_;
};

} // namespace sapphirereel::relay

#endif
