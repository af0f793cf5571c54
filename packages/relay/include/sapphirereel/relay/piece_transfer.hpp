/// \file
/// Defines the collection of a copy's large values from peers, piece by piece.
/// Every daemon that has some pieces passes them on, so that the time of a
/// transfer grows with the bytes and hardly with the number of daemons.
#ifndef SAPPHIREREEL_RELAY_PIECE_TRANSFER_HPP
#define SAPPHIREREEL_RELAY_PIECE_TRANSFER_HPP

#include "sapphirereel/relay/buffered_call.hpp"
#include "sapphirereel/relay/piece_message.hpp"
#include "sapphirereel/relay/piece_sources.hpp"
#include "sapphirereel/relay/record_transfer.hpp"
#include "sapphirereel/relay/relay_settings.hpp"
#include "sapphirereel/relay/relay_state.hpp"

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace sapphirereel::relay {

/// Requests for pieces that are under way at the same time: with one alone the
/// link would be idle between two requests.
inline constexpr auto max_piece_requests = 2U;

/// A transfer under way. It ends when every piece is in the library, or when it
/// is cancelled; pieces that have arrived stay there.
class piece_transfer : public std::enable_shared_from_this<piece_transfer>
{
public:
    struct handlers
    {
        /// Called when pieces have arrived.
        std::function<void()> advanced;
        /// Called when no piece is missing.
        std::function<void()> completed;
    };

    /// Begins to collect what `copy` lacks. The state and the library must
    /// outlive the event loop's run.
    static auto start(
        relay_state& state,
        listen_address own,
        piece_library& library,
        peer_copy copy,
        handlers callbacks) -> std::shared_ptr<piece_transfer>;

    /// Adds a peer that has all pieces or some of them.
    auto add_source(std::string const& ip) -> void;

    /// Ends the transfer; no handler runs after this.
    auto cancel() -> void;

    [[nodiscard]] auto copy() const -> peer_copy const&
    {
        return copy_;
    }

    /// Bytes that have not arrived.
    [[nodiscard]] auto missing_bytes() const -> std::size_t;

    /// When the last piece arrived, or the transfer began.
    [[nodiscard]] auto advanced_at() const -> time_point
    {
        return advanced_at_;
    }

    /// Bytes of pieces that this transfer has received.
    [[nodiscard]] auto received_bytes() const -> std::size_t
    {
        return received_bytes_;
    }

private:
    piece_transfer(
        relay_state& state,
        listen_address own,
        piece_library& library,
        peer_copy copy,
        handlers callbacks);

    /// Asks peers as long as there are pieces to ask for and peers to ask.
    auto advance() -> void;
    auto ask(std::string const& ip, std::vector<content_digest> const& pieces)
        -> void;
    auto receive(std::string const& ip, buffered_response const& answer)
        -> void;
    auto take(std::string const& ip, piece_response const& response) -> void;
    auto wait_for_source() -> void;
    /// Pieces that are missing and not asked for, drawn at random so that
    /// receivers of one value get different pieces first.
    [[nodiscard]] auto next_pieces() const -> std::vector<content_digest>;

    relay_state* state_;
    listen_address own_;
    piece_library* library_;
    peer_copy copy_;
    handlers handlers_;
    piece_sources sources_;
    asio::steady_timer timer_;
    /// Pieces that peers are being asked for.
    std::set<content_digest> asked_;
    unsigned requests_ = 0;
    std::size_t received_bytes_ = 0;
    time_point advanced_at_;
    bool has_ended_ = false;
};

} // namespace sapphirereel::relay

#endif
