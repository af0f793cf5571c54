#include "sapphirereel/peer/outgoing_link.hpp"

#include "sapphirereel/peer/steady_time.hpp"

#include <algorithm>
#include <asio/write.hpp>
#include <utility>

namespace sapphirereel::peer::internal {
namespace {

auto authority_of(socket_address const& address) -> std::string
{
    auto const is_v6 = address.ip.find(':') != std::string::npos;
    auto const host = is_v6 ? "[" + address.ip + "]" : address.ip;
    return host + ":" + std::to_string(address.port);
}

} // namespace

auto outgoing_link::start(
    asio::io_context& io,
    socket_address const& to,
    transport_settings const& settings,
    std::shared_ptr<transport_meter> meter,
    observer notify) -> std::shared_ptr<outgoing_link>
{
    auto link = std::shared_ptr<outgoing_link>{new outgoing_link{
        io, to, settings, std::move(meter), std::move(notify)}};
    link->connect(to);
    return link;
}

outgoing_link::outgoing_link(
    asio::io_context& io,
    socket_address const& to,
    transport_settings const& settings,
    std::shared_ptr<transport_meter> meter,
    observer notify)
    : settings_(settings)
    , meter_(std::move(meter))
    , notify_(std::move(notify))
    , socket_(io)
    , timer_(io)
    , client_(http2_client::create(authority_of(to)))
    , detector_(settings.ping_interval, settings.silence_timeout, steady_now())
    , connect_deadline_(steady_now() + settings.connect_timeout)
    , last_message_(steady_now())
{}

auto outgoing_link::accepts(std::size_t bytes) const -> bool
{
    return connected_ && !closed_ && client_->accepts(bytes);
}

auto outgoing_link::submit(std::string message) -> void
{
    last_message_ = steady_now();
    ++submitted_;
    ++meter_->messages_out;
    client_->submit(std::move(message));
    progress();
}

auto outgoing_link::worked() const -> bool
{
    return counted_answered_ > 0;
}

auto outgoing_link::close() -> void
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    count_answers();
    meter_->unanswered += client_->in_flight();
    auto ignored = asio::error_code{};
    socket_.close(ignored);
    timer_.cancel();
}

auto outgoing_link::connect(socket_address const& to) -> void
{
    auto error = asio::error_code{};
    auto const ip = asio::ip::make_address(to.ip, error);
    if (error)
    {
        // The owner is told later, since it does not hold the link yet.
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
            self->fail();
        });
        return;
    }
    arm_timer(connect_deadline_);
    socket_.async_connect(
        asio::ip::tcp::endpoint{ip, to.port},
        [self = shared_from_this()](asio::error_code status) {
            if (status || self->closed_)
            {
                self->fail();
                return;
            }
            self->connected();
        });
}

auto outgoing_link::connected() -> void
{
    connected_ = true;
    ++meter_->connections_made;
    auto ignored = asio::error_code{};
    socket_.set_option(asio::ip::tcp::no_delay{true}, ignored);
    detector_.received(steady_now());
    read();
    progress();
    notify_(link_event::usable);
}

auto outgoing_link::read() -> void
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

auto outgoing_link::take(std::string_view bytes) -> void
{
    meter_->bytes_in += bytes.size();
    detector_.received(steady_now());
    if (!client_->receive(bytes))
    {
        ++meter_->protocol_errors;
        fail();
        return;
    }
    count_answers();
    if (client_->finished() && !client_->answer_due())
    {
        fail();
        return;
    }
    progress();
    read();
    notify_(link_event::usable);
}

auto outgoing_link::progress() -> void
{
    if (closed_ || !connected_)
    {
        return;
    }
    detector_.expect(client_->answer_due(), steady_now());
    arm_timer(std::min(
        detector_.next_check(), last_message_ + settings_.idle_timeout));
    flush();
}

auto outgoing_link::flush() -> void
{
    if (!output_.empty())
    {
        return;
    }
    output_ = client_->take_output();
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

auto outgoing_link::count_answers() -> void
{
    meter_->unanswered += client_->refused() - counted_refused_;
    counted_refused_ = client_->refused();
    auto const answered = submitted_ - client_->in_flight() - counted_refused_;
    meter_->answered += answered - counted_answered_;
    counted_answered_ = answered;
}

auto outgoing_link::arm_timer(time_point deadline) -> void
{
    if (timer_deadline_ <= deadline)
    {
        return;
    }
    timer_deadline_ = deadline;
    timer_.expires_at(timer_time(deadline));
    timer_.async_wait([self = shared_from_this()](asio::error_code status) {
        if (!status && !self->closed_)
        {
            self->timer_deadline_ = time_point::max();
            self->check_time();
        }
    });
}

auto outgoing_link::check_time() -> void
{
    auto const now = steady_now();
    if (!connected_)
    {
        fail();
        return;
    }
    if (detector_.is_silent(now))
    {
        ++meter_->connections_silent;
        fail();
        return;
    }
    auto const idle = now >= last_message_ + settings_.idle_timeout;
    if (idle && !client_->answer_due())
    {
        fail();
        return;
    }
    if (idle)
    {
        last_message_ = now;
    }
    if (detector_.ping_due(now))
    {
        client_->ping();
    }
    progress();
}

auto outgoing_link::fail() -> void
{
    if (closed_)
    {
        return;
    }
    close();
    notify_(link_event::closed);
}

} // namespace sapphirereel::peer::internal
