/// \file
/// Defines how a daemon sends its copies of the log's streams, and pieces of
/// their large values, to its peers.
#ifndef SAPPHIREREEL_RELAY_COPY_SERVER_HPP
#define SAPPHIREREEL_RELAY_COPY_SERVER_HPP

#include "sapphirereel/relay/caller_session.hpp"
#include "sapphirereel/relay/link_share.hpp"
#include "sapphirereel/relay/piece_message.hpp"
#include "sapphirereel/relay/record_transfer.hpp"
#include "sapphirereel/relay/relay_state.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sapphirereel::relay {

/// Sends copies and pieces within a share of the daemon's link.
class copy_server
{
public:
    copy_server(
        relay_state& state,
        piece_library& library,
        double link_bytes_per_second);

    /// Sends a copy. A receiver that reads outlines gets them in place of large
    /// values. Another one gets all of it, or a refusal while the link's share
    /// is taken: it then asks another daemon.
    auto send_copy(
        caller_session& to,
        peer_copy copy,
        bool receiver_reads_outlines,
        time_point now) -> void;

    /// Sends some of the pieces that are asked for, or a refusal with a time.
    auto send_pieces(
        caller_session& to, piece_request const& asked, time_point now) -> void;

private:
    /// Some of the daemons that received pieces of late, but for the one that
    /// asks.
    auto holders_for(std::string const& ip, time_point now)
        -> std::vector<std::string>;
    auto pieces_for(piece_request const& asked) -> std::vector<std::string>;

    relay_state* state_;
    piece_library* library_;
    link_share share_;
    /// When each daemon last received a piece from this one.
    std::map<std::string, time_point> receivers_;
};

} // namespace sapphirereel::relay

#endif
