#include "sapphirereel/peer/incoming_link.hpp"

#include "sapphirereel/peer/steady_time.hpp"

#include <asio/write.hpp>
#include <utility>

namespace sapphirereel::peer::internal {
namespace {

/// Intervals in which a live sender would have sent a PING, after which its
/// connection is given up.
constexpr auto missed_pings = 3;

} // namespace

auto incoming_link::start(
    asio::ip::tcp::socket socket,
    transport_settings const& settings,
    std::shared_ptr<transport_meter> meter,
    message_sink deliver,
    close_observer closed) -> std::shared_ptr<incoming_link>
{
    auto link = std::shared_ptr<incoming_link>{new incoming_link{
        std::move(socket), settings, std::move(meter), std::move(deliver),
        std::move(closed)}};
    link->read();
    link->flush();
    link->watch();
    return link;
}

incoming_link::incoming_link(
    asio::ip::tcp::socket socket,
    transport_settings const& settings,
    std::shared_ptr<transport_meter> meter,
    message_sink deliver,
    close_observer closed)
    : receive_timeout_(settings.ping_interval * missed_pings)
    , meter_(std::move(meter))
    , deliver_(std::move(deliver))
    , notify_closed_(std::move(closed))
    , socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , server_(http2_server::create(settings.max_message_bytes))
    , received_(steady_now())
{
    auto ignored = asio::error_code{};
    socket_.set_option(asio::ip::tcp::no_delay{true}, ignored);
}

auto incoming_link::close() -> void
{
    closed_ = true;
    auto ignored = asio::error_code{};
    socket_.close(ignored);
    timer_.cancel();
}

auto incoming_link::read() -> void
{
    socket_.async_read_some(
        asio::buffer(input_),
        [self = shared_from_this()](asio::error_code status, std::size_t size) {
            if (status || self->closed_)
            {
                self->fail();
                return;
            }
            self->take({self->input_.data(), size});
        });
}

auto incoming_link::take(std::string_view bytes) -> void
{
    meter_->bytes_in += bytes.size();
    received_ = steady_now();
    auto const alive = server_->receive(bytes);
    meter_->protocol_errors += server_->refused() - counted_refused_;
    counted_refused_ = server_->refused();
    for (auto& message : server_->take_messages())
    {
        ++meter_->messages_in;
        deliver_(std::move(message));
    }
    if (!alive)
    {
        ++meter_->protocol_errors;
        fail();
        return;
    }
    if (!closed_)
    {
        flush();
        read();
    }
}

auto incoming_link::flush() -> void
{
    if (!output_.empty())
    {
        return;
    }
    output_ = server_->take_output();
    if (output_.empty())
    {
        return;
    }
    asio::async_write(
        socket_, asio::buffer(output_),
        [self = shared_from_this()](asio::error_code status, std::size_t size) {
            self->meter_->bytes_out += size;
            if (status || self->closed_)
            {
                self->fail();
                return;
            }
            self->output_.clear();
            self->flush();
        });
}

auto incoming_link::watch() -> void
{
    timer_.expires_at(timer_time(received_ + receive_timeout_));
    timer_.async_wait([self = shared_from_this()](asio::error_code status) {
        if (status || self->closed_)
        {
            return;
        }
        if (steady_now() >= self->received_ + self->receive_timeout_)
        {
            ++self->meter_->connections_silent;
            self->fail();
            return;
        }
        self->watch();
    });
}

auto incoming_link::fail() -> void
{
    if (closed_)
    {
        return;
    }
    close();
    notify_closed_(shared_from_this());
}

} // namespace sapphirereel::peer::internal
