#include "sapphirereel/endpoint/plain_client.hpp"

namespace sapphirereel::endpoints {

using internal::exchange_end;

plain_client::plain_client(socket_address address, timeouts limits)
    : exchange_(std::move(address), limits)
{}

auto plain_client::call(call_content const& content) -> plain_call_outcome
{
    auto outcome = exchange_.perform(content);
    if (outcome.end == exchange_end::not_sent)
    {
        return {plain_call_status::not_sent, {}, std::move(outcome.detail)};
    }
    if (outcome.end != exchange_end::answered)
    {
        return {plain_call_status::unanswered, {}, std::move(outcome.detail)};
    }
    auto const status = outcome.answer.status == 503
                            ? plain_call_status::refused
                            : plain_call_status::answered;
    return {status, std::move(outcome.answer), {}};
}

auto plain_client::stop() -> void
{
    exchange_.stop();
}

} // namespace sapphirereel::endpoints
