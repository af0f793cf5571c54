/// \file
/// Defines the connections that callers hold open on all ports of a daemon, and
/// which of them ends when there are too many.
#ifndef SAPPHIREREEL_RELAY_SESSION_REGISTRY_HPP
#define SAPPHIREREEL_RELAY_SESSION_REGISTRY_HPP

#include "sapphirereel/relay/caller_session.hpp"

#include <cstddef>
#include <list>
#include <memory>
#include <vector>

namespace sapphirereel::relay {

/// Descriptors that a daemon keeps for files, of those that it may open.
inline constexpr auto file_descriptors = std::size_t{200};

/// Share of the other descriptors that callers' connections may take; the rest
/// is for replicas, peers and the platform.
inline constexpr auto callers_share_of_descriptors = 0.6;

/// Most connections of callers where the limit of descriptors is not known.
inline constexpr auto default_max_sessions = std::size_t{2'000};

/// Most connections of callers for a number of descriptors that the process may
/// open; 0 if that is not known.
auto max_sessions_for(std::size_t descriptors) -> std::size_t;

/// The open connections of callers.
class session_registry
{
public:
    /// Limits the connections. One that carries a request is never ended for
    /// that, so that they may be more for a time.
    auto set_limit(std::size_t sessions) -> void
    {
        limit_ = sessions;
    }

    /// Adds a connection. Where there are too many, ends one that is closing,
    /// else the one that has waited longest for a request, first among those
    /// that have never carried a whole one; returns whether it ended one.
    auto add(std::shared_ptr<caller_session> const& session) -> bool;

    /// Refuses the request that holds most of those that are still arriving, if
    /// it holds more than `wanted` bytes; returns whether there was one. So
    /// long or unfinished requests make room for shorter ones.
    auto end_largest(std::size_t wanted) -> bool;

    /// Forgets the connections that have been closed.
    auto remove_closed() -> void;

    /// The connections that are open.
    [[nodiscard]] auto open_sessions() const
        -> std::vector<std::shared_ptr<caller_session>>;

private:
    auto end_stalest() -> bool;

    std::list<std::weak_ptr<caller_session>> sessions_;
    std::size_t limit_ = default_max_sessions;
};

} // namespace sapphirereel::relay

#endif
