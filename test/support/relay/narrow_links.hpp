/// \file
/// Defines narrow links between the relays of a fleet: every byte between two
/// daemons passes the sender's and the receiver's link, each of which carries a
/// number of bytes a second.
#ifndef SAPPHIREREEL_TEST_SUPPORT_RELAY_NARROW_LINKS_HPP
#define SAPPHIREREEL_TEST_SUPPORT_RELAY_NARROW_LINKS_HPP

#include "support/relay/relay_fleet.hpp"

#include <array>
#include <asio/write.hpp>
#include <memory>
#include <vector>

namespace sapphirereel::relay::test {

/// One direction of a daemon's link. Bytes pass one after another.
class link_direction
{
public:
    explicit link_direction(double bytes_per_second)
        : bytes_per_second_(bytes_per_second)
    {}

    /// The moment at which bytes that arrive at `from` have passed.
    auto pass(std::size_t bytes, time_point from) -> time_point
    {
        free_at_ =
            std::max(free_at_, from) +
            std::chrono::duration_cast<duration>(std::chrono::duration<double>{
                static_cast<double>(bytes) / bytes_per_second_});
        passed_ += bytes;
        return free_at_;
    }

    [[nodiscard]] auto passed() const -> std::size_t
    {
        return passed_;
    }

private:
    double bytes_per_second_;
    time_point free_at_{};
    std::size_t passed_ = 0;
};

/// A daemon's link.
struct narrow_link
{
    explicit narrow_link(double bytes_per_second)
        : out(bytes_per_second)
        , in(bytes_per_second)
    {}

    link_direction out;
    link_direction in;
    /// Whether the link carries nothing.
    bool is_cut = false;
};

/// Carries one connection over the links of its two ends, piece by piece.
class carried_connection
    : public std::enable_shared_from_this<carried_connection>
{
public:
    carried_connection(
        asio::io_context& loop,
        asio::ip::tcp::socket client,
        narrow_link& of_client,
        narrow_link& of_server)
        : there_(loop, of_client, of_server)
        , back_(loop, of_server, of_client)
        , client_(std::move(client))
        , server_(loop)
    {}

    auto start(asio::ip::tcp::endpoint const& server) -> void
    {
        server_.async_connect(
            server, [self = shared_from_this()](std::error_code error) {
                if (error)
                {
                    self->close();
                    return;
                }
                self->carry(self->client_, self->server_, self->there_);
                self->carry(self->server_, self->client_, self->back_);
            });
    }

private:
    struct half
    {
        half(asio::io_context& loop, narrow_link& sender, narrow_link& receiver)
            : from(&sender)
            , to(&receiver)
            , timer(loop)
        {}

        narrow_link* from;
        narrow_link* to;
        asio::steady_timer timer;
        std::array<char, 8'192> buffer{};
    };

    auto carry(
        asio::ip::tcp::socket& source, asio::ip::tcp::socket& sink, half& of)
        -> void
    {
        source.async_read_some(
            asio::buffer(of.buffer),
            [self = shared_from_this(), &source, &sink,
             &of](std::error_code error, std::size_t size) {
                if (error || of.from->is_cut || of.to->is_cut)
                {
                    self->close();
                    return;
                }
                auto const now = telemetry::monotonic_now();
                of.timer.expires_after(
                    std::max(
                        of.from->out.pass(size, now),
                        of.to->in.pass(size, now)) -
                    now);
                of.timer.async_wait(
                    [self, &source, &sink, &of, size](std::error_code) {
                        self->deliver(source, sink, of, size);
                    });
            });
    }

    auto deliver(
        asio::ip::tcp::socket& source,
        asio::ip::tcp::socket& sink,
        half& of,
        std::size_t size) -> void
    {
        asio::async_write(
            sink, asio::buffer(of.buffer.data(), size),
            [self = shared_from_this(), &source, &sink,
             &of](std::error_code error, std::size_t) {
                if (error)
                {
                    self->close();
                    return;
                }
                self->carry(source, sink, of);
            });
    }

    auto close() -> void
    {
        auto ignored = std::error_code{};
        client_.close(ignored);
        server_.close(ignored);
    }

    half there_;
    half back_;
    asio::ip::tcp::socket client_;
    asio::ip::tcp::socket server_;
};

/// The links of all daemons of a fleet. Must outlive the fleet's run.
class narrow_links
{
public:
    narrow_links(relay_fleet& fleet, double bytes_per_second)
        : fleet_(&fleet)
    {
        for (auto at = std::size_t{0}; at < fleet.nodes.size(); ++at)
        {
            links_.push_back(std::make_unique<narrow_link>(bytes_per_second));
            fleet.nodes[at]->state().pool.set_connector(
                [this, at](
                    asio::ip::tcp::endpoint const& to, duration limit,
                    connection::connect_handler done) {
                    connect(at, to, limit, std::move(done));
                });
        }
    }

    auto link_of(std::size_t daemon) -> narrow_link&
    {
        return *links_[daemon];
    }

private:
    /// Connects to a listener of this connection's own, which carries it.
    auto connect(
        std::size_t from,
        asio::ip::tcp::endpoint const& to,
        duration limit,
        connection::connect_handler done) -> void
    {
        auto const server = daemon_at(to.address().to_string());
        if (!server)
        {
            connection::connect(fleet_->loop, to, limit, std::move(done));
            return;
        }
        auto const acceptor = std::make_shared<asio::ip::tcp::acceptor>(
            fleet_->loop,
            asio::ip::tcp::endpoint{
                asio::ip::make_address(process_loopback_ip()), 0});
        auto const own = acceptor->local_endpoint();
        acceptor->async_accept(
            [this, acceptor, from, server = *server,
             to](std::error_code error, asio::ip::tcp::socket socket) {
                if (!error)
                {
                    std::make_shared<carried_connection>(
                        fleet_->loop, std::move(socket), *links_[from],
                        *links_[server])
                        ->start(to);
                }
            });
        connection::connect(fleet_->loop, own, limit, std::move(done));
    }

    [[nodiscard]] auto daemon_at(std::string const& ip) const
        -> std::optional<std::size_t>
    {
        for (auto at = std::size_t{0}; at < links_.size(); ++at)
        {
            if (relay_fleet::ip_of(at) == ip)
            {
                return at;
            }
        }
        return std::nullopt;
    }

    relay_fleet* fleet_;
    std::vector<std::unique_ptr<narrow_link>> links_;
};

} // namespace sapphirereel::relay::test

#endif
