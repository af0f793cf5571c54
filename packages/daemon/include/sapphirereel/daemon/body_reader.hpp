/// \file
/// Defines how the bodies of callers' requests are read: each up to a limit,
/// all of them together up to a bound.
#ifndef SAPPHIREREEL_DAEMON_BODY_READER_HPP
#define SAPPHIREREEL_DAEMON_BODY_READER_HPP

#include "sapphirereel/daemon/body_account.hpp"

#include <compare>
#include <cstddef>
#include <httplib.h>

namespace sapphirereel::daemon {

/// Bounds of the callers' bodies, in bytes.
struct body_limits
{
    std::size_t one_body = 0;
    std::size_t all_bodies = 0;
    auto operator<=>(body_limits const&) const = default;
};

/// Reads whole bodies for handlers. A body beyond a bound, or cut short, is
/// refused and its connection ended, as the rest of it stays unread.
class body_reader
{
public:
    explicit body_reader(body_limits limits);

    /// A handler that is given requests with their whole bodies. The body stays
    /// on the account until the answer is written. The reader must outlive it.
    auto whole(httplib::Server::Handler handler)
        -> httplib::Server::HandlerWithContentReader;

private:
    body_limits limits_;
    body_account account_;
};

/// Refuses a request whose body the library would read without a bound, or
/// leave on the connection as further requests; false if it is none of these.
auto refuse_unreadable(
    httplib::Request const& request, httplib::Response& response) -> bool;

/// Adds routes that refuse each request with a body that no route before takes.
auto add_unread_routes(httplib::Server& server) -> void;

} // namespace sapphirereel::daemon

#endif
