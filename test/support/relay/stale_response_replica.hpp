/// \file
/// Defines a replica that writes an earlier response once more on a kept
/// connection, at the point where the next response is expected.
#ifndef SAPPHIREREEL_TEST_SUPPORT_RELAY_STALE_RESPONSE_REPLICA_HPP
#define SAPPHIREREEL_TEST_SUPPORT_RELAY_STALE_RESPONSE_REPLICA_HPP

#include "support/relay/raw_replica.hpp"

#include <fmt/format.h>
#include <map>
#include <string>

namespace sapphirereel::relay::test {

/// Value of a header field in the head of a request; empty if it has none.
inline auto field_of(std::string const& head, std::string_view name)
    -> std::string
{
    auto const at = head.find(fmt::format("\r\n{}: ", name));
    if (at == std::string::npos)
    {
        return {};
    }
    auto const start = at + name.size() + std::string_view{"\r\n: "}.size();
    return head.substr(start, head.find("\r\n", start) - start);
}

inline auto request_id_of(std::string const& head) -> std::string
{
    return field_of(head, "X-Sapphirereel-Request-Id");
}

/// Header field with a request's id; none if that is empty.
inline auto id_field(std::string const& request_id) -> std::string
{
    return request_id.empty()
               ? std::string{}
               : fmt::format("X-Sapphirereel-Request-Id: {}\r\n", request_id);
}

/// States that a request was not executed.
inline auto refusal_of(std::string const& request_id, int status = 503)
    -> std::string
{
    return fmt::format(
        "HTTP/1.1 {} X\r\n{}X-Sapphirereel-Not-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n",
        status, id_field(request_id));
}

/// A replica's own response to a request that it executed.
inline auto executed_response(
    std::string const& request_id, int status, std::string const& body)
    -> std::string
{
    return fmt::format(
        "HTTP/1.1 {} X\r\n{}X-Sapphirereel-Response-Signature: sig\r\n"
        "Content-Length: {}\r\n\r\n{}",
        status, id_field(request_id), body.size(), body);
}

/// Refuses the first request on each connection. Each later one it executes,
/// writes a stale response and then, after `delay`, its own.
class stale_response_replica
{
public:
    /// `stale` writes the stale response; it is given the id of the first
    /// request on the connection.
    using stale_response = std::function<std::string(std::string const&)>;

    stale_response_replica(
        asio::io_context& loop,
        stale_response stale,
        duration delay = std::chrono::milliseconds{20})
        : raw_(
              loop,
              [this](connection& to, std::string const& head) {
                  serve(to, head);
              })
        , loop_(&loop)
        , stale_(std::move(stale))
        , delay_(delay)
    {}

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return raw_.port;
    }

    /// Connections that callers have opened so far.
    [[nodiscard]] auto opened_connections() const -> std::size_t
    {
        return raw_.opened_connections();
    }

    /// Requests that were executed, by id.
    std::map<std::string, int> runs;

    /// Executes the first request on a connection as well.
    bool executes_first = false;

private:
    auto serve(connection& to, std::string const& head) -> void
    {
        auto const id = request_id_of(head);
        auto const [first, is_first] = first_ids_.emplace(&to, id);
        if (is_first && !executes_first)
        {
            to.send(refusal_of(id));
            return;
        }
        ++runs[id];
        if (is_first)
        {
            to.send(executed_response(id, 200, events_of(id)));
            return;
        }
        to.send(stale_(first->second));
        respond_later(to.shared_from_this(), id);
    }

    auto respond_later(std::shared_ptr<connection> to, std::string const& id)
        -> void
    {
        auto const timer = std::make_shared<asio::steady_timer>(*loop_, delay_);
        timer->async_wait([timer, to = std::move(to), id](std::error_code) {
            if (to->is_open())
            {
                to->send(executed_response(id, 200, events_of(id)));
            }
        });
    }

    static auto events_of(std::string const& id) -> std::string
    {
        return fmt::format("id: 1\ndata: {}\n\n", id);
    }

    raw_replica raw_;
    asio::io_context* loop_;
    stale_response stale_;
    duration delay_;
    std::map<connection*, std::string> first_ids_;
};

} // namespace sapphirereel::relay::test

#endif
