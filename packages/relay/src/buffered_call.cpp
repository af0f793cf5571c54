#include "sapphirereel/relay/buffered_call.hpp"

#include <utility>

namespace sapphirereel::relay {

auto call_limit::continues(std::size_t bytes, std::size_t before) const -> bool
{
    auto const has_just_begun = before == 0 && bytes > 0;
    return ends_with_progress_ &&
           (has_just_begun || bytes - before >= min_progress_bytes);
}

buffered_call::buffered_call(
    asio::io_context& loop,
    call_limit const& limit,
    buffered_response_handler done,
    partial_response_test is_wanted)
    : limit_(limit)
    , timer_(loop)
    , done_(std::move(done))
    , is_wanted_(std::move(is_wanted))
{}

auto buffered_call::start(
    asio::io_context& loop,
    upstream_pool& pool,
    asio::ip::tcp::endpoint const& to,
    std::string bytes,
    call_limit const& limit,
    buffered_response_handler done,
    call_options const& options,
    partial_response_test is_wanted) -> std::shared_ptr<buffered_call>
{
    auto self = std::shared_ptr<buffered_call>{
        new buffered_call{loop, limit, std::move(done), std::move(is_wanted)}};
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
             use([&](buffered_call& of) { of.add_body(body); });
         },
         [use] {
             use([](buffered_call& of) { of.finish(std::move(of.answer_)); });
         },
         [use](call_failure const& why) {
             use([&](buffered_call& of) { of.fail(why); });
         }});
    self->arm_timer(limit.first());
    return self;
}

auto buffered_call::arm_timer(duration until) -> void
{
    timer_.expires_after(until);
    timer_.async_wait([self = shared_from_this()](std::error_code error) {
        if (!error && self->call_)
        {
            self->examine_progress();
        }
    });
}

auto buffered_call::examine_progress() -> void
{
    auto const bytes = answer_.body.size();
    if (limit_.continues(bytes, std::exchange(examined_bytes_, bytes)))
    {
        arm_timer(progress_span);
        return;
    }
    fail({call_stage::waiting, "no answer in time"});
}

auto buffered_call::add_body(std::string const& body) -> void
{
    answer_.body += body;
    if (is_wanted_ && !is_wanted_(answer_))
    {
        auto why = call_failure{call_stage::answering, "not wanted"};
        why.shows_path = true;
        why.was_unwanted = true;
        fail(std::move(why));
    }
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
