/// \file
/// Defines what became of a call of a plain service.
#ifndef SAPPHIREREEL_ENDPOINT_PLAIN_PROTOCOL_HPP
#define SAPPHIREREEL_ENDPOINT_PLAIN_PROTOCOL_HPP

#include "sapphirereel/core/request.hpp"

#include <concepts>
#include <string>

namespace sapphirereel::endpoints {

/// How a call of a plain service ended.
enum class plain_call_status
{
    /// The endpoint answered.
    answered,
    /// No byte of the request left: it was surely not run.
    not_sent,
    /// The endpoint answered 503: it was not run.
    refused,
    /// The request may have run.
    unanswered
};

/// A call's end; the answer is there if the endpoint answered or refused.
struct plain_call_outcome
{
    plain_call_status status = plain_call_status::unanswered;
    call_answer answer;
    std::string detail;
    auto operator<=>(plain_call_outcome const&) const = default;
};

/// One call of a plain service at a time. stop() may come from any thread.
template <class Client>
concept plain_protocol = requires(Client& client, call_content const& content)
{
    {
        client.call(content)
        } -> std::same_as<plain_call_outcome>;
    {
        client.stop()
        } -> std::same_as<void>;
};

} // namespace sapphirereel::endpoints

#endif
