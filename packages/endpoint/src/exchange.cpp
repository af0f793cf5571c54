#include "sapphirereel/endpoint/exchange.hpp"

#include "header_fields.hpp"

namespace sapphirereel::endpoints::internal {
namespace {

auto to_request(call_content const& content) -> calls::call_request
{
    auto request =
        calls::call_request{content.method, content.path, {}, content.body};
    for (auto const& field : content.headers)
    {
        if (is_end_to_end(field.name))
        {
            request.fields.push_back({field.name, field.value});
        }
    }
    return request;
}

auto to_answer(http::response_head const& head) -> call_answer
{
    auto answer = call_answer{head.status, {}, {}};
    for (auto const& field : head.fields)
    {
        if (is_end_to_end(field.name))
        {
            answer.headers.push_back({field.name, field.value});
        }
    }
    return answer;
}

auto end_of(calls::failed_stage stage) -> exchange_end
{
    switch (stage)
    {
    case calls::failed_stage::not_sent:
        return exchange_end::not_sent;
    case calls::failed_stage::stopped:
        return exchange_end::stopped;
    case calls::failed_stage::unanswered:
        break;
    }
    return exchange_end::broken;
}

} // namespace

exchange::exchange(socket_address address, timeouts limits)
    : call_(std::move(address), {limits.connect, limits.idle})
{}

auto exchange::perform(call_content const& content) -> exchange_outcome
{
    auto body = std::string{};
    auto too_large = false;
    auto outcome = perform(content, [&](int, std::string_view piece) {
        too_large = body.size() + piece.size() > max_answer_bytes;
        if (!too_large)
        {
            body += piece;
        }
        return !too_large;
    });
    outcome.answer.body = std::move(body);
    if (too_large)
    {
        outcome.end = exchange_end::broken;
        outcome.detail = "answer too large";
    }
    return outcome;
}

auto exchange::perform(
    call_content const& content, body_receiver const& receiver)
    -> exchange_outcome
{
    if (!is_sendable(content))
    {
        return {exchange_end::not_sent, {}, "malformed", false};
    }
    auto answer = call_answer{};
    auto const done = call_.perform(
        to_request(content), {[&](http::response_head const& head) {
                                  answer = to_answer(head);
                                  return true;
                              },
                              [&](std::string_view piece) {
                                  return receiver(answer.status, piece);
                              }});
    if (done)
    {
        return {exchange_end::answered, std::move(answer), {}};
    }
    auto const& error = done.error();
    return {
        end_of(error.stage), std::move(answer), error.detail, error.is_refused};
}

auto exchange::stop() -> void
{
    call_.stop();
}

auto exchange::stopped() -> bool
{
    return call_.is_stopped();
}

} // namespace sapphirereel::endpoints::internal
