/// \file
/// Defines a caller that reads and writes its connection only when the test
/// says so.
#ifndef SAPPHIREREEL_TEST_SUPPORT_RELAY_RAW_CALLER_HPP
#define SAPPHIREREEL_TEST_SUPPORT_RELAY_RAW_CALLER_HPP

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <string>
#include <string_view>

namespace sapphirereel::relay::test {

/// A connection to a relay or a session. Nothing is read ahead of `read_some`.
class raw_caller
{
public:
    /// Connects; the kernel completes this while the relay's loop stands still.
    raw_caller(asio::io_context& loop, asio::ip::tcp::endpoint const& to)
        : socket_(loop)
    {
        socket_.open(to.protocol());
        socket_.set_option(asio::socket_base::receive_buffer_size{32'768});
        socket_.connect(to);
        socket_.non_blocking(true);
    }

    auto write(std::string_view bytes) -> void
    {
        asio::write(socket_, asio::buffer(bytes.data(), bytes.size()));
    }

    /// Reads what has arrived, up to `most` bytes. Returns whether anything
    /// had.
    auto read_some(std::size_t most) -> bool
    {
        auto buffer = std::array<char, 65'536>{};
        auto error = std::error_code{};
        auto const size = socket_.read_some(
            asio::buffer(buffer.data(), std::min(most, buffer.size())), error);
        received.append(buffer.data(), size);
        is_ended = is_ended || (error && error != asio::error::would_block);
        was_reset = was_reset || error == asio::error::connection_reset;
        return size > 0;
    }

    std::string received;
    /// Whether the other side has closed or reset the connection.
    bool is_ended = false;
    bool was_reset = false;

private:
    asio::ip::tcp::socket socket_;
};

} // namespace sapphirereel::relay::test

#endif
