/// \file
/// Defines whether what was written to a connection has reached its peer.
#ifndef SAPPHIREREEL_CALLS_DELIVERY_HPP
#define SAPPHIREREEL_CALLS_DELIVERY_HPP

namespace sapphirereel::calls {

/// Whether the peer of a connected socket has acknowledged all bytes that the
/// system took for it. The peer's last segment acknowledges all that it had
/// received, so that this is certain once its end of the connection was read.
/// Where the system can't tell, what it has taken counts as delivered.
auto has_delivered_everything(int socket) -> bool;

} // namespace sapphirereel::calls

#endif
