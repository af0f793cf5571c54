/// \file
/// Defines how the platform's clients open a connection and read JSON.
#ifndef SAPPHIREREEL_PLATFORM_HTTP_HPP
#define SAPPHIREREEL_PLATFORM_HTTP_HPP

#include "sapphirereel/calls/blocking_call.hpp"
#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/platform/timeouts.hpp"
#include "sapphirereel/platform/vm_list_service.hpp"

#include <nlohmann/json.hpp>

namespace sapphirereel::platform::internal {

/// A call of a service. `wait` is how long the answer may take beyond the
/// ordinary limit.
inline auto open_call(
    socket_address const& address,
    timeouts const& limits,
    duration wait = duration{0}) -> calls::blocking_call
{
    return calls::blocking_call{
        address, {limits.connect, limits.answer + wait}};
}

/// Whether no byte of a request can have reached the service.
inline auto was_not_sent(calls::call_error const& error) -> bool
{
    return error.stage == calls::failed_stage::not_sent;
}

/// Asks for a JSON value and reads it with a decoder, which may throw JSON
/// exceptions.
template <class Decode>
auto fetch_json(
    socket_address const& address,
    timeouts const& limits,
    char const* path,
    Decode decode)
    -> tl::expected<decltype(decode(nlohmann::json{})), platform_error>
{
    auto call = open_call(address, limits);
    auto const answer = call.fetch({"GET", path});
    if (!answer)
    {
        return tl::unexpected{platform_error{answer.error().detail}};
    }
    if (answer->head.status != 200)
    {
        return tl::unexpected{
            platform_error{"status " + std::to_string(answer->head.status)}};
    }
    try
    {
        return decode(nlohmann::json::parse(answer->body));
    }
    catch (nlohmann::json::exception const& error)
    {
        return tl::unexpected{platform_error{error.what()}};
    }
}

} // namespace sapphirereel::platform::internal

#endif
