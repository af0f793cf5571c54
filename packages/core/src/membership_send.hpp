/// \file
/// Defines how membership sends a message, for the source files of membership.
#ifndef SAPPHIREREEL_CORE_MEMBERSHIP_SEND_HPP
#define SAPPHIREREEL_CORE_MEMBERSHIP_SEND_HPP

#include "sapphirereel/core/membership.hpp"

#include <utility>

namespace sapphirereel {

template <class Content>
auto membership::send(socket_address const& to, Content content) -> void
{
    outputs_.emplace_back(send_membership_message{
        to, membership_message{
                self_, std::move(content), gossip_.take(live_count()),
                view_digest()}});
}

} // namespace sapphirereel

#endif
