/// \file
/// Defines calls of daemons over HTTP: the first of several addresses that
/// answers counts.
#ifndef SAPPHIREREEL_CLIENT_DAEMON_CLIENT_HPP
#define SAPPHIREREEL_CLIENT_DAEMON_CLIENT_HPP

#include "sapphirereel/client/exit_code.hpp"
#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/configuration.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::client {

/// The addresses in `ip:port[,ip:port]`, or all that is wrong with them.
auto parse_addresses(std::string_view text)
    -> outcome<std::vector<socket_address>>;

/// How long one call may take.
struct call_limits
{
    duration connect = std::chrono::seconds{2};
    duration answer = std::chrono::seconds{20};
    auto operator<=>(call_limits const&) const = default;
};

/// Whether a call may be sent again when its answer was lost.
enum class repetition
{
    harmless,
    forbidden
};

/// One call of a daemon. An empty body is a GET, any other a POST of JSON.
struct daemon_call
{
    std::string path;
    std::string body;
    repetition again = repetition::harmless;
    auto operator<=>(daemon_call const&) const = default;
};

/// A daemon's answer.
struct daemon_answer
{
    int status = 0;
    std::string body;
    auto operator<=>(daemon_answer const&) const = default;
};

/// Calls the first daemon that can be reached. A call whose repetition is
/// forbidden goes on to the next one only if it was not sent.
class daemon_client
{
public:
    daemon_client(std::vector<socket_address> daemons, call_limits limits);

    /// The answer, whatever its status; `exit_code::unreachable` when none
    /// came.
    [[nodiscard]] auto send(daemon_call const& call) const
        -> outcome<daemon_answer>;

    [[nodiscard]] auto daemons() const -> std::vector<socket_address> const&;

private:
    std::vector<socket_address> daemons_;
    call_limits limits_;
};

} // namespace sapphirereel::client

#endif
