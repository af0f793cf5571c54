#include "sapphirereel/client/daemon_client.hpp"

#include "sapphirereel/calls/blocking_call.hpp"

#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <utility>

namespace sapphirereel::client {
namespace {

constexpr auto status_unavailable = 503;

auto parse_address(std::string_view text) -> std::optional<socket_address>
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
    {
        return std::nullopt;
    }
    auto ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
    {
        ip = ip.substr(1, ip.size() - 2);
    }
    auto port = std::uint16_t{0};
    auto const* end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || port == 0)
    {
        return std::nullopt;
    }
    return socket_address{std::string{ip}, port};
}

/// Escapes bytes of a path, such as those of an edit's id, that would end it.
auto escape_path(std::string_view path) -> std::string
{
    auto escaped = std::string{};
    for (auto const byte : path)
    {
        auto const is_visible = byte > ' ' && byte <= '~';
        escaped +=
            is_visible
                ? std::string(1, byte)
                : fmt::format("%{:02X}", static_cast<unsigned char>(byte));
    }
    return escaped;
}

auto send_to(
    socket_address const& daemon,
    call_limits const& limits,
    daemon_call const& call) -> tl::expected<http::response, calls::call_error>
{
    auto to = calls::blocking_call{daemon, {limits.connect, limits.answer}};
    auto const path = escape_path(call.path);
    if (call.body.empty())
    {
        return to.fetch({"GET", path});
    }
    return to.fetch(
        {"POST", path, {{"Content-Type", "application/json"}}, call.body});
}

auto was_not_sent(calls::call_error const& error) -> bool
{
    return error.stage == calls::failed_stage::not_sent;
}

auto unanswered(socket_address const& daemon, calls::call_error const& error)
    -> finding
{
    return {
        {daemon.ip + ":" + std::to_string(daemon.port), 0, {}},
        "no answer: " + error.detail,
        "check the address, or name further daemons with --daemon"};
}

} // namespace

auto parse_addresses(std::string_view text)
    -> outcome<std::vector<socket_address>>
{
    auto addresses = std::vector<socket_address>{};
    auto wrong = findings{};
    while (!text.empty())
    {
        auto const comma = text.find(',');
        auto const item = text.substr(0, comma);
        if (auto const address = parse_address(item))
        {
            addresses.push_back(*address);
        }
        else
        {
            wrong.push_back(
                {{"--daemon", 0, {}},
                 "'" + std::string{item} + "' is no address",
                 "write it as in 10.0.0.7:8080"});
        }
        text = comma == std::string_view::npos ? std::string_view{}
                                               : text.substr(comma + 1);
    }
    if (!wrong.empty())
    {
        return fail(std::move(wrong));
    }
    if (addresses.empty())
    {
        return fail(
            exit_code::usage, "--daemon", "no daemon is named",
            "name one as in --daemon=10.0.0.7:8080");
    }
    return addresses;
}

daemon_client::daemon_client(
    std::vector<socket_address> daemons, call_limits limits)
    : daemons_(std::move(daemons))
    , limits_(limits)
{}

auto daemon_client::send(daemon_call const& call) const
    -> outcome<daemon_answer>
{
    auto failed = failure{exit_code::unreachable, {}};
    auto refused = std::optional<daemon_answer>{};
    for (auto const& daemon : daemons_)
    {
        auto const answer = send_to(daemon, limits_, call);
        if (answer && answer->head.status != status_unavailable)
        {
            return daemon_answer{answer->head.status, answer->body};
        }
        if (answer)
        {
            refused = daemon_answer{answer->head.status, answer->body};
            continue;
        }
        failed.reasons.push_back(unanswered(daemon, answer.error()));
        auto const stop = call.again == repetition::forbidden &&
                          !was_not_sent(answer.error());
        if (stop)
        {
            failed.reasons.back().mend =
                "it may have been done: look before you repeat it";
            return tl::unexpected(std::move(failed));
        }
    }
    if (refused)
    {
        return *std::move(refused);
    }
    return tl::unexpected(std::move(failed));
}

auto daemon_client::daemons() const -> std::vector<socket_address> const&
{
    return daemons_;
}

} // namespace sapphirereel::client
