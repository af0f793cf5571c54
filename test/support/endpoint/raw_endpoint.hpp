/// \file
/// Defines an endpoint that answers with bytes that a test writes, and ends its
/// connection as the test says.
#ifndef SAPPHIREREEL_SUPPORT_ENDPOINT_RAW_ENDPOINT_HPP
#define SAPPHIREREEL_SUPPORT_ENDPOINT_RAW_ENDPOINT_HPP

#include "sapphirereel/core/configuration.hpp"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

namespace sapphirereel::testing {

/// How much of a request is read before the answer.
enum class read_before_answer
{
    head,
    everything
};

/// How a connection ends after the answer.
enum class connection_close
{
    in_order,
    reset
};

/// What a raw endpoint does with each request.
struct raw_answer
{
    std::string bytes;
    connection_close close = connection_close::in_order;
    read_before_answer reads = read_before_answer::everything;
    /// Time from the answer to the end of the connection.
    std::chrono::milliseconds close_after{0};
};

/// Serves one connection after the other on a thread of its own.
class raw_endpoint
{
public:
    explicit raw_endpoint(raw_answer answer)
        : answer_(std::move(answer))
        , acceptor_(loop_, {asio::ip::make_address("127.0.0.1"), 0})
        , port_(acceptor_.local_endpoint().port())
        , server_([this] { serve(); })
    {}

    ~raw_endpoint()
    {
        is_ending_ = true;
        // Wakes the thread from its wait for a connection.
        auto ignored = std::error_code{};
        auto waker = asio::ip::tcp::socket{loop_};
        waker.connect({asio::ip::make_address("127.0.0.1"), port_}, ignored);
        server_.join();
    }
    raw_endpoint(raw_endpoint const&) = delete;
    auto operator=(raw_endpoint const&) -> raw_endpoint& = delete;

    [[nodiscard]] auto address() const -> socket_address
    {
        return {"127.0.0.1", port_};
    }

    /// Requests whose head has arrived.
    [[nodiscard]] auto requests() const -> int
    {
        return requests_;
    }

private:
    auto serve() -> void
    {
        while (true)
        {
            auto error = std::error_code{};
            auto socket = asio::ip::tcp::socket{loop_};
            acceptor_.accept(socket, error);
            if (is_ending_)
            {
                return;
            }
            if (!error)
            {
                answer(socket);
            }
        }
    }

    auto answer(asio::ip::tcp::socket& socket) -> void
    {
        auto error = std::error_code{};
        if (!read_request(socket))
        {
            return;
        }
        ++requests_;
        asio::write(socket, asio::buffer(answer_.bytes), error);
        std::this_thread::sleep_for(answer_.close_after);
        if (answer_.close == connection_close::reset)
        {
            socket.set_option(asio::socket_base::linger{true, 0}, error);
        }
        socket.close(error);
    }

    /// Reads a request as far as it is read; returns whether it came.
    auto read_request(asio::ip::tcp::socket& socket) const -> bool
    {
        auto request = std::string{};
        while (!has_enough(request))
        {
            auto buffer = std::array<char, 65'536>{};
            auto error = std::error_code{};
            auto const size = socket.read_some(asio::buffer(buffer), error);
            if (error)
            {
                return false;
            }
            request.append(buffer.data(), size);
        }
        return true;
    }

    [[nodiscard]] auto has_enough(std::string const& request) const -> bool
    {
        auto const end = request.find("\r\n\r\n");
        if (end == std::string::npos)
        {
            return false;
        }
        constexpr auto name = std::string_view{"Content-Length: "};
        auto const at = request.find(name);
        auto const length =
            at < end ? std::stoul(request.substr(at + name.size())) : 0U;
        return answer_.reads == read_before_answer::head ||
               request.size() >= end + 4 + length;
    }

    raw_answer answer_;
    asio::io_context loop_;
    asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_;
    std::atomic<bool> is_ending_ = false;
    std::atomic<int> requests_ = 0;
    std::thread server_;
};

/// Answers that are no answers: a status that is none, a line that is no field,
/// an ambiguous length, a length or chunks that are cut.
inline auto broken_answers() -> std::vector<std::string>
{
    auto answers = std::vector<std::string>{};
    for (auto const* const status : {"000", "099", "101", "600", "999", "20"})
    {
        auto const line = std::string{"HTTP/1.1 "} + status + " Status\r\n";
        answers.push_back(line + "\r\nbody");
        answers.push_back(line + "Content-Length: 4\r\n\r\nbody");
    }
    auto const lines = std::vector<std::string>{
        "X Y: b",
        "X-Y : b",
        " X-Y: b",
        "X: a\r\n folded",
        "X\x01: b",
        "X\x7f: b",
        ": b",
        "Empty Value:",
        "no colon",
        std::string{"X\0Y: b", 6},
        std::string{"X: a\0b", 6},
        "X: a\x01",
        "Content-Length : 2",
        "Transfer-Encoding : chunked",
        "Transfer-Encoding\x01: chunked",
        "Content-Length: 2\r\nContent-Length: 4",
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Content-Length: 9",
        "Transfer-Encoding: chunked"};
    for (auto const& line : lines)
    {
        answers.push_back("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nbody");
    }
    answers.emplace_back("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "4\r\nbody\r\n0\r\nX Y: b\r\n\r\n");
    answers.emplace_back("HTTP/1.1 200 OK\r\nContent-");
    return answers;
}

} // namespace sapphirereel::testing

#endif
