/// \file
/// Defines a replica that refuses each request once and writes a copy of that
/// refusal if the request comes again on the same connection.
#ifndef SAPPHIREREEL_TEST_SUPPORT_RELAY_REPEATING_REPLICA_HPP
#define SAPPHIREREEL_TEST_SUPPORT_RELAY_REPEATING_REPLICA_HPP

#include "support/relay/stale_response_replica.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace sapphirereel::relay::test {

/// Refuses the first request with each id, wherever it comes, and executes it
/// when it comes again: before its own response it writes the refusal once
/// more if this connection has carried it.
class repeating_replica
{
public:
    explicit repeating_replica(asio::io_context& loop, int refusal_status = 503)
        : raw_(
              loop,
              [this](connection& to, std::string const& head) {
                  serve(to, head);
              })
        , loop_(&loop)
        , refusal_status_(refusal_status)
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

    /// Requests that were executed and refused, by id.
    std::map<std::string, int> runs;
    std::map<std::string, int> refusals;

    /// Copies of refusals that were written.
    int copies = 0;

private:
    auto serve(connection& to, std::string const& head) -> void
    {
        if (head.starts_with("POST /-/kv-move"))
        {
            to.send("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        auto const id = request_id_of(head);
        if (refusals[id] == 0)
        {
            ++refusals[id];
            refused_on_.emplace(&to, id);
            to.send(refusal_of(id, refusal_status_));
            return;
        }
        ++runs[id];
        if (refused_on_.contains({&to, id}))
        {
            ++copies;
            to.send(refusal_of(id, refusal_status_));
        }
        respond_later(to.shared_from_this(), head);
    }

    auto respond_later(std::shared_ptr<connection> to, std::string const& head)
        -> void
    {
        auto const timer = std::make_shared<asio::steady_timer>(
            *loop_, std::chrono::milliseconds{20});
        timer->async_wait([timer, to = std::move(to), head](std::error_code) {
            if (to->is_open())
            {
                to->send(executed_response(
                    request_id_of(head), 200, events_after(head)));
            }
        });
    }

    /// The events 1 to 5, or those after the position that a request names.
    static auto events_after(std::string const& head) -> std::string
    {
        auto const position = field_of(head, "Last-Event-Id");
        auto events = std::string{};
        for (auto at = position.empty() ? 0 : std::stoi(position); at < 5; ++at)
        {
            events += fmt::format("id: {}\ndata: e\n\n", at + 1);
        }
        return events;
    }

    raw_replica raw_;
    asio::io_context* loop_;
    int refusal_status_;
    std::set<std::pair<connection*, std::string>> refused_on_;
};

} // namespace sapphirereel::relay::test

#endif
