/// \file
/// Defines an HTTP call to another process and the pool of connections that
/// carry such calls.
#ifndef SAPPHIREREEL_RELAY_UPSTREAM_CALL_HPP
#define SAPPHIREREEL_RELAY_UPSTREAM_CALL_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/http/response_parser.hpp"
#include "sapphirereel/relay/buffer_account.hpp"
#include "sapphirereel/relay/connection.hpp"
#include "sapphirereel/relay/failed_requests.hpp"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sapphirereel::relay {

/// How far a call got before it failed.
enum class call_stage
{
    /// No connection was established: nothing was sent.
    connecting,
    /// The request was sent, at least in part, and no response began.
    waiting,
    /// The response began and was not completed.
    answering
};

/// Why a call failed.
struct call_failure
{
    call_stage stage = call_stage::connecting;
    std::string detail;
    /// Whether the other side ended the connection, as it does when its process
    /// crashes; a silent one does not.
    bool connection_ended = false;
    /// Whether the path to the other side works for all that: it sent a
    /// response that is not accepted or only a part of its head, or closed the
    /// connection in order.
    bool shows_path = false;
    /// Whether the connection was refused: no process listens at the address.
    bool is_refused = false;
    /// Bytes of the response's body that had arrived.
    std::size_t body_bytes = 0;
    /// Whether the caller ended the call, as it did not want the rest.
    bool was_unwanted = false;
    auto operator<=>(call_failure const&) const = default;
};

/// Largest body of a response that is buffered whole, in bytes.
inline constexpr auto default_max_body_bytes = std::size_t{8} << 20U;

/// For responses that are passed on as they come.
inline constexpr auto unlimited_body = std::numeric_limits<std::size_t>::max();

/// What becomes of a response, by its head.
enum class response_use
{
    /// It is passed to the handlers.
    deliver,
    /// It is about an earlier request: it is read and dropped, and the call
    /// waits on for its own.
    discard,
    /// The request that it is about is not known: the call fails.
    fail
};

/// Most responses that are discarded before a call's own, and most bytes of
/// their bodies.
inline constexpr auto max_discarded_responses = 4U;
inline constexpr auto max_discarded_bytes = std::size_t{1} << 20U;

/// How a call uses the pool.
struct call_options
{
    /// Maximum idle time of a connection to be reused; 0 requires a new one.
    duration max_idle{std::chrono::seconds{4}};
    /// Timeout for establishing a new connection.
    duration connect_timeout{std::chrono::milliseconds{300}};
    /// Whether the request's method is HEAD. Such a call has a connection of
    /// its own: by their methods alone the bodies of two responses are told
    /// apart.
    bool is_head_request = false;
    /// Whether the call has a connection of its own, as its response does not
    /// name its request.
    bool has_own_connection = false;
    /// Id of the request, which responses to it bear; empty if they bear none.
    /// The call has a connection on which that request has not been refused.
    std::string request_id = {};
    /// Largest body of the response, in bytes; a longer one fails the call.
    std::size_t max_body_bytes = default_max_body_bytes;
    auto operator<=>(call_options const&) const = default;
};

/// An established connection of a pool.
struct pooled_connection
{
    std::shared_ptr<connection> transport;
    /// Number among the connections of the pool, from 1 on.
    std::uint64_t number = 0;
    failed_requests failed = {};
};

class upstream_pool;

/// One call. Handlers run on the event loop; none runs after `cancel`, after
/// `completed` or after `failed`.
class upstream_call : public std::enable_shared_from_this<upstream_call>
{
public:
    struct handlers
    {
        std::function<void(http::response_head const&)> answered;
        std::function<void(std::string const&)> body;
        std::function<void()> completed;
        std::function<void(call_failure const&)> failed;
        /// Decides about a response whose head has arrived; without this
        /// handler each is delivered.
        std::function<response_use(http::response_head const&)> examine = {};
        /// Decides whether a success that has been read whole is the request's
        /// result; without this handler each is. After one that is not, the
        /// request may be sent again, so that it counts as failed.
        std::function<bool()> is_result = {};
    };

    upstream_call(upstream_call const&) = delete;
    auto operator=(upstream_call const&) -> upstream_call& = delete;
    ~upstream_call();

    /// Aborts the call and closes its connection.
    auto cancel() -> void;

    /// Pauses and resumes reading the response, if its receiver is slower.
    auto pause() -> void;
    auto resume() -> void;

    /// Whether a response to another request may arrive: the connection carried
    /// other calls before this one, or such a response has come already.
    [[nodiscard]] auto may_carry_other_responses() const -> bool
    {
        return is_on_kept_connection_ || discarded_responses_ > 0;
    }

    /// Number of the call's connection among those of its pool, from 1 on; 0
    /// until the connection is established.
    [[nodiscard]] auto connection_number() const -> std::uint64_t
    {
        return connection_.number;
    }

private:
    friend class upstream_pool;

    upstream_call(
        upstream_pool& pool,
        asio::ip::tcp::endpoint const& to,
        std::string bytes,
        call_options const& options,
        handlers callbacks);

    auto begin(pooled_connection transport) -> void;
    auto receive(std::string_view bytes) -> void;
    auto end(connection_end how) -> void;
    auto take_head() -> void;
    auto take_body() -> void;
    auto begin_discarding() -> void;
    /// Fails the call if the head states a longer body than is taken, without
    /// waiting for it; returns whether it does.
    auto refuse_stated_length(http::response_head const& head, response_use use)
        -> bool;
    [[nodiscard]] auto may_share_connection() const -> bool;
    /// Whether the connection may carry further calls, now that the response
    /// has been read.
    [[nodiscard]] auto is_connection_reusable() const -> bool;
    /// Closes the connection, if there is one.
    auto close_connection() -> void;
    /// Counts bytes of the body that are buffered; returns whether they may be.
    auto charge_buffer(std::size_t bytes) -> bool;
    auto release_buffer() -> void;
    auto complete() -> void;
    /// Fails the call for what the other side has sent.
    auto fail_response(std::string const& why) -> void;
    auto fail(call_failure const& why) -> void;

    upstream_pool* pool_;
    asio::ip::tcp::endpoint to_;
    std::string bytes_;
    call_options options_;
    handlers handlers_;
    pooled_connection connection_;
    http::response_parser parser_;
    /// Bytes of the body that arrived.
    std::size_t body_bytes_ = 0;
    std::shared_ptr<buffer_account> buffers_;
    /// Bytes of the body that `buffers_` counts.
    std::size_t buffered_bytes_ = 0;
    bool head_delivered_ = false;
    /// Whether a part of a response's head has arrived, and not all of it.
    bool has_partial_head_ = false;
    bool finished_ = false;
    /// Whether the response that is being read is discarded.
    bool is_discarding_ = false;
    unsigned discarded_responses_ = 0;
    std::size_t discarded_bytes_ = 0;
    bool is_on_kept_connection_ = false;
};

/// Pool of connections to other processes, by address. A connection is reused
/// only if the whole request was sent, the whole response was read, no other
/// response came before it, nothing followed it and neither side asked to
/// close. No connection carries a request that was refused, or failed, on it
/// before.
class upstream_pool
{
public:
    /// Establishes a connection to an address within a time.
    using connector = std::function<void(
        asio::ip::tcp::endpoint const&, duration, connection::connect_handler)>;

    explicit upstream_pool(asio::io_context& loop);

    /// Replaces how connections are established.
    auto set_connector(connector connect) -> void;

    /// Establishes a connection that belongs to no call.
    auto connect(
        asio::ip::tcp::endpoint const& to,
        duration limit,
        connection::connect_handler done) -> void;

    /// Sends a request and returns its call.
    auto start(
        asio::ip::tcp::endpoint const& to,
        std::string bytes,
        call_options const& options,
        upstream_call::handlers callbacks) -> std::shared_ptr<upstream_call>;

    /// Limits the bytes of responses that all calls buffer together. Those of
    /// responses that are passed on as they come do not count.
    auto set_buffer_limit(std::size_t bytes) -> void;

    /// Bytes of responses that calls buffer now.
    [[nodiscard]] auto buffered_bytes() const -> std::size_t
    {
        return buffers_->bytes();
    }

    /// Closes the idle connections to an address.
    auto close_idle(asio::ip::tcp::endpoint const& to) -> void;

    /// Closes connections that have exceeded their idle limit.
    auto expire(time_point now) -> void;

    /// Number of connections opened so far.
    [[nodiscard]] auto opened() const -> std::uint64_t
    {
        return opened_;
    }

private:
    friend class upstream_call;

    struct idle_connection
    {
        pooled_connection held;
        time_point since;
        duration limit;
    };

    /// Whether an idle connection still carries calls.
    static auto is_usable(
        idle_connection const& each, duration max_idle, time_point now) -> bool;

    /// Takes the most recently used connection that may carry the call, and
    /// closes those that are no longer usable.
    auto take_idle(
        asio::ip::tcp::endpoint const& to, call_options const& options)
        -> std::optional<pooled_connection>;
    auto return_connection(
        asio::ip::tcp::endpoint const& to,
        pooled_connection held,
        http::response_head const& head) -> void;

    asio::io_context& loop_;
    connector connector_;
    std::map<asio::ip::tcp::endpoint, std::deque<idle_connection>> idle_;
    std::uint64_t opened_ = 0;
    std::shared_ptr<buffer_account> buffers_ =
        std::make_shared<buffer_account>(default_buffered_bytes);
};

} // namespace sapphirereel::relay

#endif
