/// \file
/// Defines a replica that answers an upload before it has read its body, and
/// then ends the connection.
#ifndef SAPPHIREREEL_TEST_SUPPORT_RELAY_EARLY_REPLICA_HPP
#define SAPPHIREREEL_TEST_SUPPORT_RELAY_EARLY_REPLICA_HPP

#include "support/relay/cutting_replica.hpp"
#include "support/relay/raw_replica.hpp"

#include <chrono>
#include <string>

namespace sapphirereel::relay::test {

/// Body of an upload that fills the buffers of both sides: part of it is
/// unsent when the answer comes. Bodies with other letters have other content.
inline auto long_upload(char letter = 'a') -> std::string
{
    return std::string(std::size_t{4'000'000}, letter);
}

/// The answer to a request, from its head as it arrived.
using answer_writer = std::function<std::string(std::string const& request)>;

/// How and when an early replica ends its connection.
struct early_end
{
    ending how = ending::reset;
    /// Time from the answer to the end.
    std::chrono::milliseconds after{0};
    auto operator<=>(early_end const&) const = default;
};

/// Answers each request when its head has arrived, reads nothing of its body
/// and ends the connection.
class early_replica
{
public:
    early_replica(asio::io_context& loop, answer_writer answer, early_end end)
        : raw_(
              loop,
              [this](connection& to, std::string const& request) {
                  serve(to, request);
              })
        , loop_(loop)
        , answer_(std::move(answer))
        , end_(end)
    {}

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return raw_.port;
    }

    /// Uploads that were answered.
    int uploads = 0;

private:
    auto serve(connection& to, std::string const& request) -> void
    {
        if (request.starts_with("POST /-/kv-move "))
        {
            to.send(http::write_response(404, {}, {}));
            return;
        }
        ++uploads;
        to.pause();
        to.send(answer_(request));
        auto const timer =
            std::make_shared<asio::steady_timer>(loop_, end_.after);
        timer->async_wait([timer, to = to.shared_from_this(),
                           how = end_.how](std::error_code) {
            how == ending::reset ? to->reset() : to->close_gracefully();
        });
    }

    raw_replica raw_;
    asio::io_context& loop_;
    answer_writer answer_;
    early_end end_;
};

/// Sends a long upload to a relay and returns its answer. Each number has a
/// content of its own: equal requests would be refused as ones that crash
/// replicas.
template <class World>
auto send_upload(
    World& world,
    upstream_pool& pool,
    asio::ip::tcp::endpoint const& to,
    std::string const& route,
    int number) -> buffered_response
{
    auto got = std::optional<buffered_response>{};
    buffered_call::start(
        world.loop, pool, to,
        http::write_request(
            "POST", fmt::format("/{}/upload", route),
            {{"Host", "h"},
             {"X-Sapphirereel-Request-Id", fmt::format("r{}", number)},
             {"X-Sapphirereel-Token-Count", "10,20"}},
            long_upload(static_cast<char>('a' + number))),
        std::chrono::seconds{6},
        [&got](buffered_response answer) { got = std::move(answer); });
    world.run_until([&got] { return got.has_value(); });
    return got ? *got
               : tl::unexpected(
                     call_failure{call_stage::waiting, "the test ended"});
}

/// The id of a request, from its head as it arrived.
inline auto request_id_of(std::string const& request) -> std::string
{
    constexpr auto name = std::string_view{"X-Sapphirereel-Request-Id: "};
    auto const at = request.find(name);
    if (at == std::string::npos)
    {
        return {};
    }
    auto const begin = at + name.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

} // namespace sapphirereel::relay::test

#endif
