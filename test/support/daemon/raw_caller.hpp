/// \file
/// Defines a caller that writes the bytes of its requests itself, so that it
/// can break the rules of HTTP.
#ifndef SAPPHIREREEL_SUPPORT_DAEMON_RAW_CALLER_HPP
#define SAPPHIREREEL_SUPPORT_DAEMON_RAW_CALLER_HPP

#include "sapphirereel/core/configuration.hpp"

#include <arpa/inet.h>
#include <chrono>
#include <fmt/format.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace sapphirereel::testing {

/// The head of a request whose body comes in chunks.
inline auto chunked_head(std::string const& method, std::string const& path)
    -> std::string
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// A chunk of a body, with its length.
inline auto chunk(std::string const& bytes) -> std::string
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

/// One connection. Nothing that it does waits longer than it is told.
class raw_caller
{
public:
    explicit raw_caller(socket_address const& server)
        : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(server.port));
        ::inet_pton(AF_INET, server.ip.c_str(), &address.sin_addr);
        connected_ = ::connect(
                         socket_, reinterpret_cast<sockaddr*>(&address),
                         sizeof address) == 0;
    }

    raw_caller(raw_caller&& other) noexcept
        : socket_(std::exchange(other.socket_, -1))
        , connected_(other.connected_)
        , received_(std::move(other.received_))
    {}

    auto operator=(raw_caller&&) -> raw_caller& = delete;

    ~raw_caller()
    {
        if (socket_ >= 0)
        {
            ::close(socket_);
        }
    }

    [[nodiscard]] auto connected() const -> bool
    {
        return connected_;
    }

    /// Sends text; false once the server takes no more or has answered.
    auto send(std::string const& text) -> bool
    {
        auto sent = std::size_t{0};
        while (sent < text.size())
        {
            auto waits = pollfd{socket_, POLLIN | POLLOUT, 0};
            if (::poll(&waits, 1, send_wait_ms) <= 0 ||
                (waits.revents & (POLLIN | POLLERR | POLLHUP)) != 0)
            {
                return false;
            }
            auto const count = ::send(
                socket_, text.data() + sent, text.size() - sent,
                MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count < 0)
            {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads until the server ends the connection; whether it did in time.
    auto await_end(std::chrono::milliseconds longest) -> bool
    {
        auto const until = std::chrono::steady_clock::now() + longest;
        while (true)
        {
            auto const left =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    until - std::chrono::steady_clock::now());
            auto waits = pollfd{socket_, POLLIN, 0};
            if (left.count() <= 0 ||
                ::poll(&waits, 1, static_cast<int>(left.count())) <= 0)
            {
                return false;
            }
            char bytes[4096];
            auto const count = ::recv(socket_, bytes, sizeof bytes, 0);
            if (count <= 0)
            {
                return true;
            }
            received_.append(bytes, static_cast<std::size_t>(count));
        }
    }

    /// What the server sent so far.
    [[nodiscard]] auto received() const -> std::string const&
    {
        return received_;
    }

    /// The status of the first answer, or 0.
    [[nodiscard]] auto status() const -> int
    {
        constexpr auto status_at = std::size_t{9};
        return received_.size() > status_at + 3
                   ? std::atoi(received_.c_str() + status_at)
                   : 0;
    }

private:
    static constexpr auto send_wait_ms = 5000;

    int socket_;
    bool connected_ = false;
    std::string received_;
};

} // namespace sapphirereel::testing

#endif
