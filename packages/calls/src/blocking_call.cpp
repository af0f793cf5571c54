#include "sapphirereel/calls/blocking_call.hpp"

#include <array>
#include <fmt/format.h>
#include <utility>

namespace sapphirereel::calls {
namespace {

/// Most bytes of an answer per read.
constexpr auto max_read_bytes = std::size_t{32'768};

auto host_of(socket_address const& address) -> std::string
{
    auto const is_ipv6 = address.ip.find(':') != std::string::npos;
    return is_ipv6 ? fmt::format("[{}]:{}", address.ip, address.port)
                   : fmt::format("{}:{}", address.ip, address.port);
}

auto write_bytes(call_request const& request, socket_address const& to)
    -> std::string
{
    auto fields =
        http::field_list{{"Host", host_of(to)}, {"Connection", "close"}};
    fields.insert(fields.end(), request.fields.begin(), request.fields.end());
    return http::write_request(
        request.method, request.target, fields, request.body);
}

/// Passes on what the parser has read; returns whether the taker goes on.
auto pass_on(
    http::response_parser& parser,
    answer_taker const& taker,
    bool& is_head_taken) -> bool
{
    if (!parser.head())
    {
        return true;
    }
    if (!std::exchange(is_head_taken, true) && !taker.head(*parser.head()))
    {
        return false;
    }
    auto const body = parser.take_body();
    return body.empty() || taker.body(body);
}

} // namespace

blocking_call::blocking_call(socket_address address, call_limits limits)
    : address_(std::move(address))
    , limits_(limits)
{}

auto blocking_call::perform(
    call_request const& request, answer_taker const& taker)
    -> tl::expected<http::response_head, call_error>
{
    if (is_stopped())
    {
        return tl::unexpected(
            call_error{failed_stage::not_sent, false, "stopped"});
    }
    if (auto const made = socket_.connect(address_, limits_.connect); !made)
    {
        socket_.close();
        return tl::unexpected(call_error{
            failed_stage::not_sent, !made.error().has_timed_out,
            made.error().detail});
    }
    if (is_stopped())
    {
        return tl::unexpected(
            call_error{failed_stage::not_sent, false, "stopped"});
    }
    auto parser = http::response_parser{request.method == "HEAD"};
    is_head_taken_ = false;
    auto const done = exchange(write_bytes(request, address_), parser, taker);
    socket_.close();
    if (!done)
    {
        return tl::unexpected(done.error());
    }
    return *parser.head();
}

auto blocking_call::exchange(
    std::string_view unsent,
    http::response_parser& parser,
    answer_taker const& taker) -> tl::expected<void, call_error>
{
    auto has_write_failed = false;
    while (!parser.complete())
    {
        auto const wants_output = !unsent.empty() && !has_write_failed;
        auto const ready = socket_.wait(wants_output, limits_.idle);
        if (!ready.input && !ready.output)
        {
            return fail("nothing was sent or arrived for too long");
        }
        if (ready.output)
        {
            auto const written = socket_.write(unsent);
            has_write_failed = !written;
            unsent.remove_prefix(written.value_or(0));
        }
        // After a failed write an answer that had arrived before may be whole.
        if (ready.input || has_write_failed)
        {
            auto const was_sent = unsent.empty() && !has_write_failed;
            if (auto taken = receive(parser, taker, was_sent); !taken)
            {
                return taken;
            }
        }
    }
    return {};
}

auto blocking_call::receive(
    http::response_parser& parser, answer_taker const& taker, bool was_sent)
    -> tl::expected<void, call_error>
{
    auto buffer = std::array<char, max_read_bytes>{};
    auto const size = socket_.read(buffer.data(), buffer.size());
    if (!size)
    {
        return fail("the connection broke");
    }
    if (is_stopped())
    {
        return fail("stopped");
    }
    if (*size > 0)
    {
        auto const fed = parser.feed(std::string_view{buffer.data(), *size});
        if (!fed)
        {
            return fail(fed.error());
        }
    }
    else if (was_sent && socket_.has_delivered_everything())
    {
        parser.feed_end();
    }
    if (*size == 0 && !parser.complete())
    {
        return fail("the connection was closed before the answer was whole");
    }
    if (!pass_on(parser, taker, is_head_taken_))
    {
        return tl::unexpected(call_error{
            failed_stage::stopped, false, "the answer was not wanted"});
    }
    return {};
}

auto blocking_call::fail(std::string detail) const -> tl::unexpected<call_error>
{
    auto const stage =
        is_stopped() ? failed_stage::stopped : failed_stage::unanswered;
    return tl::unexpected(call_error{stage, false, std::move(detail)});
}

auto blocking_call::fetch(call_request const& request)
    -> tl::expected<http::response, call_error>
{
    auto gathered = http::response{};
    auto is_too_long = false;
    auto const done = perform(
        request, {[](http::response_head const&) { return true; },
                  [&](std::string_view piece) {
                      is_too_long = gathered.body.size() + piece.size() >
                                    max_gathered_bytes;
                      gathered.body += is_too_long ? "" : piece;
                      return !is_too_long;
                  }});
    if (is_too_long)
    {
        return tl::unexpected(call_error{
            failed_stage::unanswered, false, "the answer is too long"});
    }
    if (!done)
    {
        return tl::unexpected(done.error());
    }
    gathered.head = *done;
    return gathered;
}

auto blocking_call::stop() -> void
{
    socket_.break_off();
}

auto blocking_call::is_stopped() const -> bool
{
    return socket_.is_broken_off();
}

} // namespace sapphirereel::calls
