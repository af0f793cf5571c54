/// \file
/// Defines a replica that answers with bytes that a test writes.
#ifndef SAPPHIREREEL_TEST_SUPPORT_RELAY_RAW_REPLICA_HPP
#define SAPPHIREREEL_TEST_SUPPORT_RELAY_RAW_REPLICA_HPP

#include "support/relay/relay_fixture.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sapphirereel::relay::test {

/// Passes the head of each request to a handler with its connection.
class raw_replica
{
public:
    using handler =
        std::function<void(connection& to, std::string const& request)>;

    raw_replica(asio::io_context& loop, handler serve)
        : port(free_port(loop))
        , serve_(std::move(serve))
    {
        listener_ = std::move(*listener::open(
            loop, {asio::ip::make_address(process_loopback_ip()), port},
            [this](asio::ip::tcp::socket socket) {
                serve_connection(connection::adopt(std::move(socket)));
            }));
    }

    ~raw_replica()
    {
        for (auto const& each : connections_)
        {
            each->close();
        }
    }
    raw_replica(raw_replica const&) = delete;
    auto operator=(raw_replica const&) -> raw_replica& = delete;

    std::uint16_t port;

    /// Connections that callers have opened so far.
    [[nodiscard]] auto opened_connections() const -> std::size_t
    {
        return connections_.size();
    }

private:
    auto serve_connection(std::shared_ptr<connection> const& opened) -> void
    {
        connections_.push_back(opened);
        auto const weak = std::weak_ptr<connection>{opened};
        auto const read = std::make_shared<std::string>();
        opened->set_handlers(
            {[this, weak, read](std::string_view bytes) {
                 read->append(bytes);
                 auto const to = weak.lock();
                 if (to && read->find("\r\n\r\n") != std::string::npos)
                 {
                     serve_(*to, std::exchange(*read, {}));
                 }
             },
             {},
             {}});
        opened->read();
    }

    handler serve_;
    std::vector<std::shared_ptr<connection>> connections_;
    std::unique_ptr<listener> listener_;
};

} // namespace sapphirereel::relay::test

#endif
