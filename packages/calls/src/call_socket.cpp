#include "sapphirereel/calls/call_socket.hpp"

#include "sapphirereel/calls/delivery.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <limits>
#include <memory>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace sapphirereel::calls {
namespace {

using address_list = std::unique_ptr<addrinfo, decltype(&::freeaddrinfo)>;

auto resolve(socket_address const& address)
    -> tl::expected<address_list, connect_error>
{
    auto hints = addrinfo{};
    hints.ai_family = AF_UNSPEC;
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_NUMERICSERV;
    addrinfo* found = nullptr;
    auto const failed = ::getaddrinfo(
        address.ip.c_str(), std::to_string(address.port).c_str(), &hints,
        &found);
    if (failed != 0)
    {
        return tl::unexpected(
            connect_error{false, std::string{::gai_strerror(failed)}});
    }
    return address_list{found, &::freeaddrinfo};
}

auto text_of(int error) -> std::string
{
    return std::system_category().message(error);
}

auto would_block(int error) -> bool
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

/// Waits for events on a socket; returns those that came, 0 after the limit.
auto wait_for(int socket, short events, duration limit) -> short
{
    auto const limit_ms =
        std::chrono::ceil<std::chrono::milliseconds>(limit).count();
    auto const timeout = static_cast<int>(std::clamp<decltype(limit_ms)>(
        limit_ms, 0, std::numeric_limits<int>::max()));
    auto entry = pollfd{socket, events, 0};
    auto count = 0;
    do
    {
        count = ::poll(&entry, 1, timeout);
    } while (count < 0 && errno == EINTR);
    return count > 0 ? entry.revents : short{0};
}

/// Finishes a connection that is being established.
auto await_connection(int socket, duration limit)
    -> tl::expected<void, connect_error>
{
    if (wait_for(socket, POLLOUT, limit) == 0)
    {
        return tl::unexpected(
            connect_error{true, "the connection took too long"});
    }
    auto error = 0;
    auto size = socklen_t{sizeof error};
    ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0)
    {
        return tl::unexpected(
            connect_error{error == ETIMEDOUT, text_of(error)});
    }
    return {};
}

} // namespace

call_socket::~call_socket()
{
    close();
}

auto call_socket::open(int family) -> bool
{
    close();
    auto const lock = std::lock_guard{mutex_};
    if (is_broken_off_)
    {
        return false;
    }
    socket_ = ::socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto const on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket_ >= 0;
}

auto call_socket::connect(socket_address const& to, duration limit)
    -> tl::expected<void, connect_error>
{
    auto const found = resolve(to);
    if (!found)
    {
        return tl::unexpected(found.error());
    }
    auto result = tl::expected<void, connect_error>{
        tl::unexpected(connect_error{false, "no connection was made"})};
    for (auto const* each = found->get(); each != nullptr && !result;
         each = each->ai_next)
    {
        if (!open(each->ai_family))
        {
            continue;
        }
        auto const begun = ::connect(socket_, each->ai_addr, each->ai_addrlen);
        if (begun == 0 || errno == EINPROGRESS)
        {
            result = await_connection(socket_, limit);
        }
        else
        {
            result = tl::unexpected(connect_error{false, text_of(errno)});
        }
    }
    return result;
}

auto call_socket::close() -> void
{
    auto const lock = std::lock_guard{mutex_};
    if (socket_ >= 0)
    {
        ::close(socket_);
        socket_ = -1;
    }
}

auto call_socket::break_off() -> void
{
    auto const lock = std::lock_guard{mutex_};
    is_broken_off_ = true;
    if (socket_ >= 0)
    {
        ::shutdown(socket_, SHUT_RDWR);
    }
}

auto call_socket::is_broken_off() const -> bool
{
    auto const lock = std::lock_guard{mutex_};
    return is_broken_off_;
}

auto call_socket::wait(bool wants_output, duration limit) const -> readiness
{
    auto const events =
        static_cast<short>(wants_output ? POLLIN | POLLOUT : POLLIN);
    auto const came = wait_for(socket_, events, limit);
    constexpr auto end_events = POLLERR | POLLHUP;
    return {
        (came & (POLLIN | end_events)) != 0,
        wants_output && (came & (POLLOUT | end_events)) != 0};
}

auto call_socket::write(std::string_view bytes) const
    -> std::optional<std::size_t>
{
    auto const size = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size >= 0)
    {
        return static_cast<std::size_t>(size);
    }
    return would_block(errno) ? std::optional{std::size_t{0}} : std::nullopt;
}

auto call_socket::read(char* to, std::size_t size) const
    -> std::optional<std::size_t>
{
    auto const count = ::recv(socket_, to, size, 0);
    return count < 0 ? std::nullopt
                     : std::optional{static_cast<std::size_t>(count)};
}

auto call_socket::has_delivered_everything() const -> bool
{
    return calls::has_delivered_everything(socket_);
}

} // namespace sapphirereel::calls
