#include "sapphirereel/relay/piece_transfer.hpp"

#include "sapphirereel/telemetry/clocks.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

/// Time until a request's answer must have begun.
constexpr auto request_timeout = duration{milliseconds{800}};

/// Time for which a peer is not asked: after it had no piece that is missing,
/// after it refused without a time, and after a call that failed.
constexpr auto pause_without_pieces = duration{milliseconds{60}};
constexpr auto pause_after_refusal = duration{milliseconds{50}};
constexpr auto pause_after_failure = duration{milliseconds{500}};

/// Longest time for which a peer's refusal is believed.
constexpr auto max_stated_pause = duration{std::chrono::seconds{1}};

/// The time that a refusal states.
auto stated_pause(http::response_head const& head) -> duration
{
    auto const stated = http::find(head.fields, "retry-after");
    auto seconds = 0.0;
    if (stated)
    {
        std::from_chars(
            stated->data(), stated->data() + stated->size(), seconds);
    }
    auto const pause = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{std::clamp(seconds, 0.0, 1.0)});
    return pause > duration{0} ? std::min(pause, max_stated_pause)
                               : pause_after_refusal;
}

} // namespace

piece_transfer::piece_transfer(
    relay_state& state,
    listen_address own,
    piece_library& library,
    peer_copy copy,
    handlers callbacks)
    : state_(&state)
    , own_(std::move(own))
    , library_(&library)
    , copy_(std::move(copy))
    , handlers_(std::move(callbacks))
    , timer_(state.loop)
    , advanced_at_(telemetry::monotonic_now())
{}

auto piece_transfer::start(
    relay_state& state,
    listen_address own,
    piece_library& library,
    peer_copy copy,
    handlers callbacks) -> std::shared_ptr<piece_transfer>
{
    for (auto const& each : copy.outlined)
    {
        library.expect(each.outline);
    }
    return std::shared_ptr<piece_transfer>{new piece_transfer{
        state, std::move(own), library, std::move(copy), std::move(callbacks)}};
}

auto piece_transfer::add_source(std::string const& ip) -> void
{
    if (ip != own_.ip)
    {
        sources_.add(ip);
        advance();
    }
}

auto piece_transfer::cancel() -> void
{
    has_ended_ = true;
    handlers_ = {};
    timer_.cancel();
}

auto piece_transfer::missing_bytes() const -> std::size_t
{
    return bytes_of(missing_pieces(copy_, *library_));
}

auto piece_transfer::next_pieces() const -> std::vector<content_digest>
{
    auto wanted = std::vector<content_digest>{};
    for (auto const& each : missing_pieces(copy_, *library_))
    {
        if (!asked_.contains(each.digest))
        {
            wanted.push_back(each.digest);
        }
    }
    std::shuffle(wanted.begin(), wanted.end(), state_->random);
    wanted.resize(std::min(wanted.size(), max_requested_pieces));
    return wanted;
}

auto piece_transfer::advance() -> void
{
    while (!has_ended_ && requests_ < max_piece_requests)
    {
        auto const pieces = next_pieces();
        if (pieces.empty())
        {
            return;
        }
        auto const ip =
            sources_.choose(telemetry::monotonic_now(), state_->random);
        if (!ip)
        {
            wait_for_source();
            return;
        }
        ask(*ip, pieces);
    }
}

auto piece_transfer::wait_for_source() -> void
{
    auto const next = sources_.next_at();
    if (!next)
    {
        return;
    }
    timer_.expires_after(
        std::max(duration{0}, *next - telemetry::monotonic_now()));
    timer_.async_wait([weak = weak_from_this()](std::error_code error) {
        auto const self = weak.lock();
        if (!error && self)
        {
            self->advance();
        }
    });
}

auto piece_transfer::ask(
    std::string const& ip, std::vector<content_digest> const& pieces) -> void
{
    ++requests_;
    asked_.insert(pieces.begin(), pieces.end());
    state_->metrics.add(relay_counter::piece_requests);
    buffered_call::start(
        state_->loop, state_->pool, listen_address{ip, own_.port}.endpoint(),
        http::write_request(
            "GET", piece_path({own_.ip, pieces}), {{"Host", ip}}, {}),
        call_limit::of_progress(request_timeout),
        [self = shared_from_this(), ip,
         pieces](buffered_response const& answer) {
            --self->requests_;
            for (auto const& each : pieces)
            {
                self->asked_.erase(each);
            }
            self->receive(ip, answer);
        });
}

auto piece_transfer::receive(
    std::string const& ip, buffered_response const& answer) -> void
{
    auto const now = telemetry::monotonic_now();
    auto const response = answer ? read_pieces(answer->body) : std::nullopt;
    if (!response)
    {
        state_->metrics.add(relay_counter::piece_requests_failed);
        sources_.finish(ip, now + pause_after_failure);
        advance();
        return;
    }
    if (answer->head.status != 200)
    {
        state_->metrics.add(relay_counter::piece_requests_refused);
        // Spread, as all that were refused got nearly the same time.
        auto spread = std::uniform_real_distribution<double>{1.0, 2.0};
        sources_.finish(
            ip, now + std::chrono::duration_cast<duration>(
                          stated_pause(answer->head) * spread(state_->random)));
    }
    else
    {
        sources_.finish(
            ip, response->pieces.empty() ? now + pause_without_pieces : now);
    }
    take(ip, *response);
}

auto piece_transfer::take(std::string const& ip, piece_response const& response)
    -> void
{
    auto new_bytes = std::size_t{0};
    for (auto const& piece : response.pieces)
    {
        new_bytes += library_->add(piece) ? piece.size() : 0;
    }
    received_bytes_ += new_bytes;
    for (auto const& holder : response.holders)
    {
        auto error = std::error_code{};
        std::ignore = asio::ip::make_address(holder, error);
        if (!error && holder != own_.ip && holder != ip)
        {
            sources_.add(holder);
        }
    }
    if (has_ended_)
    {
        return;
    }
    if (new_bytes > 0)
    {
        advanced_at_ = telemetry::monotonic_now();
        handlers_.advanced();
    }
    if (missing_bytes() == 0)
    {
        auto const completed = handlers_.completed;
        cancel();
        completed();
        return;
    }
    advance();
}

} // namespace sapphirereel::relay
