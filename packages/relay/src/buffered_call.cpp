#include "sapphirereel/relay/buffered_call.hpp"

#include <utility>

namespace sapphirereel::relay {

buffered_call::buffered_call(
    asio::io_context& loop, buffered_response_handler done)
    : timer_(loop)
    , done_(std::move(done))
{}

auto buffered_call::start(
    asio::io_context& loop,
    upstream_pool& pool,
    asio::ip::tcp::endpoint const& to,
    std::string bytes,
    duration limit,
    buffered_response_handler done,
    call_options const& options) -> std::shared_ptr<buffered_call>
{
    auto self = std::shared_ptr<buffered_call>{
        new buffered_call{loop, std::move(done)}};
    // The timer alone owns the call, because the call owns these handlers.
    auto const use = [weak = std::weak_ptr<buffered_call>{self}](auto act) {
        if (auto const held = weak.lock())
        {
            act(*held);
        }
    };
    self->call_ = pool.start(
        to, std::move(bytes), options,
        {[use](http::response_head const& head) {
             use([&](buffered_call& of) { of.answer_.head = head; });
         },
         [use](std::string const& body) {
             use([&](buffered_call& of) { of.answer_.body += body; });
         },
         [use] {
             use([](buffered_call& of) { of.finish(std::move(of.answer_)); });
         },
         [use](call_failure const& why) {
             use([&](buffered_call& of) { of.fail(why); });
         }});
    self->timer_.expires_after(limit);
    self->timer_.async_wait([self](std::error_code error) {
        if (!error && self->call_)
        {
            self->fail({call_stage::waiting, "no answer in time"});
        }
    });
    return self;
}

auto buffered_call::finish(buffered_response answer) -> void
{
    auto const done = std::exchange(done_, {});
    cancel();
    if (done)
    {
        done(std::move(answer));
    }
}

auto buffered_call::fail(call_failure why) -> void
{
    why.body_bytes = answer_.body.size();
    finish(tl::unexpected(std::move(why)));
}

auto buffered_call::cancel() -> void
{
    done_ = {};
    timer_.cancel();
    if (auto const call = std::exchange(call_, nullptr))
    {
        call->cancel();
    }
}

} // namespace sapphirereel::relay
