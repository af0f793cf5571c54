/// \file
/// Defines a caller's connection: reads its requests one after the other and
/// writes their answers.
#ifndef SAPPHIREREEL_RELAY_CALLER_SESSION_HPP
#define SAPPHIREREEL_RELAY_CALLER_SESSION_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/http/request_parser.hpp"
#include "sapphirereel/relay/connection.hpp"
#include "sapphirereel/relay/routing.hpp"

#include <asio/post.hpp>
#include <functional>
#include <memory>
#include <string>

namespace sapphirereel::relay {

/// One connection from a caller. Serves one request at a time; later ones wait
/// in the parser.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    using request_handler =
        std::function<void(std::shared_ptr<caller_session>, http::request)>;
    using limits_source = std::function<caller_limits()>;

    /// Begins to read. `limits` is asked before each request.
    static auto start(
        asio::ip::tcp::socket socket,
        limits_source limits,
        request_handler on_request) -> std::shared_ptr<caller_session>;

    /// Told once if the caller leaves before its answer is whole.
    auto on_disconnect(std::function<void()> told) -> void;

    /// Answers the present request whole.
    auto respond(int status, http::field_list fields, std::string_view body)
        -> void;

    /// Begins an answer whose length is not known, goes on with it, ends it.
    auto begin_stream(
        int status, std::string_view reason, http::field_list fields) -> void;
    auto stream(std::string_view bytes) -> void;
    auto finish_stream() -> void;

    /// Breaks the connection off, so that an unfinished answer does not look
    /// whole.
    auto abort() -> void;

    /// Closes the connection once what was sent has been written, though the
    /// answer is not whole.
    auto close_incomplete() -> void;

    /// Closes the connection once it is idle; an answer under way is finished.
    auto stop() -> void;

    /// Closes the connection after the next answer.
    auto close_after_next() -> void
    {
        stopping_ = true;
    }

    /// Bytes of the answer that wait to be written.
    [[nodiscard]] auto unsent_bytes() const -> std::size_t;

    /// Told when all bytes of the answer have been written.
    auto on_drained(std::function<void()> told) -> void;

    [[nodiscard]] auto is_busy() const -> bool
    {
        return busy_;
    }

    [[nodiscard]] auto is_open() const -> bool;

private:
    caller_session(
        std::shared_ptr<connection> over,
        asio::steady_timer timer,
        limits_source limits,
        request_handler on_request);

    auto begin() -> void;
    auto receive(std::string_view bytes) -> void;
    auto serve_next() -> void;
    auto answered() -> void;
    auto reject(http::request_error const& error) -> void;
    auto ended() -> void;
    auto arm_timer() -> void;
    auto timed_out() -> void;
    auto connection_fields(http::field_list& fields) const -> void;

    std::shared_ptr<connection> connection_;
    asio::steady_timer timer_;
    limits_source limits_;
    request_handler on_request_;
    http::request_parser parser_;
    std::function<void()> disconnect_handler_;
    std::function<void()> drain_handler_;
    bool busy_ = false;
    bool keep_alive_ = true;
    bool stopping_ = false;
    bool timing_head_ = false;
};

} // namespace sapphirereel::relay

#endif
