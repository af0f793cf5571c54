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

/// The open connections of callers.
class session_registry
{
public:
    /// Adds a connection.
    auto add(std::shared_ptr<caller_session> const& session) -> void;

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
    std::list<std::weak_ptr<caller_session>> sessions_;
};

} // namespace sapphirereel::relay

#endif
