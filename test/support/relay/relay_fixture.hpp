/// \file
/// Defines a fixture that runs a relay with fake replicas, a fake record log
/// and a caller on one event loop in the test's process.
#ifndef SAPPHIREREEL_TEST_SUPPORT_RELAY_RELAY_FIXTURE_HPP
#define SAPPHIREREEL_TEST_SUPPORT_RELAY_RELAY_FIXTURE_HPP

#include "sapphirereel/deployment/record_reader.hpp"
#include "sapphirereel/deployment/wire_format.hpp"
#include "sapphirereel/relay/relay_node.hpp"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unistd.h>
#include <vector>

namespace sapphirereel::relay::test {

/// An in-memory record log that a test fills.
class fake_log
{
public:
    explicit fake_log(asio::io_context& loop)
        : loop_(&loop)
    {}

    auto write(
        keyed_stream stream, std::string key, std::optional<std::string> value)
        -> void
    {
        auto& records = records_[stream];
        records.push_back(
            {std::move(key), log_position{records.size(), era_},
             std::move(value)});
    }

    /// Restores the log from a copy that lacks the last records of a stream;
    /// all others are in it.
    auto restore(keyed_stream stream, std::size_t lost) -> void
    {
        ++era_;
        auto& records = records_[stream];
        records.resize(records.size() - lost);
        for (auto& [each, kept] : records_)
        {
            for (auto& record : kept)
            {
                record.position.era = era_;
            }
        }
    }

    auto newest(keyed_stream stream, keyed_page_handler done) -> void
    {
        ++calls;
        auto page = keyed_page{{}, log_position{records_[stream].size(), era_}};
        auto newest = std::map<std::string, keyed_record>{};
        for (auto const& each : records_[stream])
        {
            newest[each.key] = each;
        }
        for (auto const& [key, each] : newest)
        {
            if (each.value)
            {
                page.records.push_back(each);
            }
        }
        answer(stream, std::move(page), std::move(done));
    }

    auto read(
        keyed_stream stream,
        log_position from,
        duration,
        keyed_page_handler done) -> void
    {
        ++calls;
        auto const& records = records_[stream];
        if (from.era != era_ || from.offset > records.size())
        {
            asio::post(*loop_, [done = std::move(done)] {
                done(tl::unexpected(log_read_error::records_trimmed));
            });
            return;
        }
        auto page = keyed_page{{}, log_position{records.size(), era_}};
        for (auto at = from.offset; at < records.size(); ++at)
        {
            page.records.push_back(records[at]);
        }
        answer(stream, std::move(page), std::move(done));
    }

    /// Whether calls succeed.
    bool is_reachable = true;

    /// Time from a call to its answer.
    duration answer_delay{0};

    /// Streams about which calls are not answered.
    std::set<keyed_stream> silent;

    /// Number of calls so far.
    std::size_t calls = 0;

private:
    auto answer(keyed_stream stream, keyed_page page, keyed_page_handler done)
        -> void
    {
        if (silent.contains(stream))
        {
            return;
        }
        auto result = tl::expected<keyed_page, log_read_error>{std::move(page)};
        if (!is_reachable)
        {
            result = tl::unexpected(log_read_error::unanswered);
        }
        auto const timer =
            std::make_shared<asio::steady_timer>(*loop_, answer_delay);
        timer->async_wait([timer, result = std::move(result),
                           done = std::move(done)](std::error_code error) {
            if (!error)
            {
                done(result);
            }
        });
    }

    asio::io_context* loop_;
    std::map<keyed_stream, std::vector<keyed_record>> records_;
    std::uint64_t era_ = 0;
};

/// A loopback address derived from the process id, so that tests that run in
/// parallel don't use each other's ports.
inline auto process_loopback_ip() -> std::string
{
    auto const number = static_cast<unsigned>(::getpid());
    return fmt::format("127.{}.{}.1", 64 + (number >> 8U) % 64, number % 256);
}

/// A port that nothing listens on and that was not returned before: a relay
/// takes two ports before it opens either.
inline auto free_port(asio::io_context& loop) -> std::uint16_t
{
    static auto handed_out = std::set<std::uint16_t>{};
    while (true)
    {
        auto const probe = asio::ip::tcp::acceptor{
            loop, {asio::ip::make_address(process_loopback_ip()), 0}};
        auto const port = probe.local_endpoint().port();
        if (handed_out.insert(port).second)
        {
            return port;
        }
    }
}

/// A replica whose responses a test's handler sends.
class fake_replica
{
public:
    using handler = std::function<void(
        std::shared_ptr<caller_session>, http::request const&)>;

    fake_replica(asio::io_context& loop, handler serve)
        : port(free_port(loop))
        , serve_(std::move(serve))
    {
        listener_ = std::move(*listener::open(
            loop, {asio::ip::make_address(process_loopback_ip()), port},
            [this](asio::ip::tcp::socket socket) {
                caller_session::start(
                    std::move(socket), [] { return caller_limits{}; },
                    [this](
                        std::shared_ptr<caller_session> from,
                        http::request const& request) {
                        requests.push_back(request);
                        serve_(std::move(from), request);
                    });
            }));
    }

    std::uint16_t port;
    std::vector<http::request> requests;

    /// Takes no more connections, as an address without a process.
    auto close() -> void
    {
        listener_->close();
    }

private:
    handler serve_;
    std::unique_ptr<listener> listener_;
};

/// Answers an order to move a run as a replica does that has no such run, as
/// most have none once its connection has ended. Returns false if the request
/// is no such order.
inline auto answer_order_without_run(
    caller_session& from, http::request const& request) -> bool
{
    if (request.target != "/-/kv-move")
    {
        return false;
    }
    from.respond(404, {}, {});
    return true;
}

/// Header fields of a replica's response to a request that it executed.
inline auto signed_fields(http::request const& request) -> http::field_list
{
    return {
        {"X-Sapphirereel-Request-Id",
         std::string{*http::find(request.fields, "X-Sapphirereel-Request-Id")}},
        {"X-Sapphirereel-Response-Signature", "sig"}};
}

/// Responds with status 200.
inline auto serve_normally(
    std::shared_ptr<caller_session> const& from, http::request const& request)
    -> void
{
    from->respond(200, signed_fields(request), "done");
}

/// Time between two renewals of a replica's entry.
inline constexpr auto renewal_interval_of_tests =
    duration{std::chrono::milliseconds{150}};

/// A relay, its record log and a caller.
class relay_fixture
{
public:
    /// `stop_limit` is the longest time from the stop request to the exit.
    explicit relay_fixture(duration stop_limit = std::chrono::seconds{8})
        : log(loop)
        , node_(
              loop,
              settings_on(free_port(loop), free_port(loop), stop_limit),
              log,
              std::move(*length_estimator::create({})),
              7)
    {
        node_.state().log = process_log{[this](std::string_view line) {
            lines.emplace_back(line);
            return true;
        }};
    }

    /// Writes the record of a service's replica to the log.
    auto add(
        std::string const& id,
        std::string const& service,
        fake_replica const& replica,
        std::string const& state = "ready") -> void
    {
        add_at(id, service, replica.port, state);
    }

    /// The same for a replica at a port.
    auto add_at(
        std::string const& id,
        std::string const& service,
        std::uint16_t port,
        std::string const& state = "ready") -> void
    {
        log.write(
            keyed_stream::replicas, id,
            fmt::format(
                R"({{"service":"{}","address":"{}:{}","zone":"z",)"
                R"("slots":4,"state":"{}"}})",
                service, process_loopback_ip(), port, state));
    }

    /// Writes a configuration to the log: routes /safe/, /once/, /stream/ and
    /// /resumable/, the first two to the service `plain`, the others to
    /// `engine`.
    auto configure(int version, std::string const& extra = {}) -> void
    {
        log.write(
            keyed_stream::configuration, "config",
            fmt::format(
                R"({{"version":{},"routes":[)"
                R"({{"name":"safe","host":"h","path-prefix":"/safe/",)"
                R"("kind":"safe","service":"plain","max-attempts":2,)"
                R"("timeout-ms":1500,"target-latency-ms":150}},)"
                R"({{"name":"once","host":"h","path-prefix":"/once/",)"
                R"("kind":"unsafe","service":"plain","timeout-ms":1500,)"
                R"("target-latency-ms":150}},)"
                R"({{"name":"stream","host":"h","path-prefix":"/stream/",)"
                R"("kind":"streaming","service":"engine",)"
                R"("timeout-ms":5000}},)"
                R"({{"name":"resumable","host":"h",)"
                R"("path-prefix":"/resumable/","kind":"streaming",)"
                R"("service":"engine","timeout-ms":5000,"max-attempts":3,)"
                R"("stream-resume":true}}],)"
                R"("services":[{{"name":"plain"}},{{"name":"engine",)"
                R"("engine":{{"kv-cache-tokens":9000,"kv-token-bytes":10,)"
                R"("link-mbps":1000,"moves":true,"backups":true,)"
                R"("stride":1}}}}]{}}})",
                version, extra));
    }

    /// Starts the relay and waits until it has read the log.
    auto start() -> bool
    {
        return node_.start().has_value() && run_until([this] {
                   return node_.is_ready() &&
                          !node_.state().replicas.replicas().empty();
               });
    }

    /// Runs the event loop until a condition holds, for 8 seconds at most.
    template <class Condition>
    auto run_until(Condition holds) -> bool
    {
        auto const end =
            std::chrono::steady_clock::now() + std::chrono::seconds{8};
        while (!holds() && std::chrono::steady_clock::now() < end)
        {
            loop.run_for(std::chrono::milliseconds{2});
            loop.restart();
        }
        return holds();
    }

    /// Sends a request as a caller and returns its response.
    auto send_request(
        std::string const& method,
        std::string const& target,
        http::field_list fields = {}) -> buffered_response
    {
        return send_request_as("r1", method, target, std::move(fields));
    }

    /// The same with another request id.
    auto send_request_as(
        std::string const& request_id,
        std::string const& method,
        std::string const& target,
        http::field_list fields = {}) -> buffered_response
    {
        fields.push_back({"Host", "h"});
        fields.push_back({"X-Sapphirereel-Request-Id", request_id});
        auto got = std::optional<buffered_response>{};
        buffered_call::start(
            loop, pool_, caller_address(),
            http::write_request(method, target, fields, {}),
            std::chrono::seconds{6},
            [&got](buffered_response answer) { got = std::move(answer); });
        run_until([&got] { return got.has_value(); });
        return got ? *got
                   : tl::unexpected(
                         call_failure{call_stage::waiting, "the test ended"});
    }

    /// Sends a request to the port that serves other daemons.
    auto fetch_from_node(std::string const& target) -> buffered_response
    {
        auto got = std::optional<buffered_response>{};
        buffered_call::start(
            loop, pool_,
            {asio::ip::make_address(process_loopback_ip()), peer_port_},
            http::write_request("GET", target, {{"Host", "h"}}, {}),
            std::chrono::seconds{6},
            [&got](buffered_response answer) { got = std::move(answer); });
        run_until([&got] { return got.has_value(); });
        return got ? *got
                   : tl::unexpected(
                         call_failure{call_stage::waiting, "the test ended"});
    }

    [[nodiscard]] auto caller_address() const -> asio::ip::tcp::endpoint
    {
        return {asio::ip::make_address(process_loopback_ip()), caller_port_};
    }

    /// The port for other daemons.
    [[nodiscard]] auto peer_port() const -> std::uint16_t
    {
        return peer_port_;
    }

    auto node() -> auto&
    {
        return node_;
    }

    /// Whether a log line contains a message.
    [[nodiscard]] auto logged(std::string_view message) const -> bool
    {
        return std::any_of(
            lines.begin(), lines.end(), [&](std::string const& line) {
                return line.find(message) != std::string::npos;
            });
    }

    asio::io_context loop;
    fake_log log;
    std::vector<std::string> lines;

private:
    auto settings_on(
        std::uint16_t callers, std::uint16_t peers, duration stop_limit)
        -> relay_settings
    {
        caller_port_ = callers;
        peer_port_ = peers;
        auto settings = relay_settings{};
        settings.zone = zone_name{"z"};
        settings.callers = {process_loopback_ip(), callers};
        settings.peers = {process_loopback_ip(), peers};
        settings.retry_budget = {0.2, 50, std::chrono::seconds{10}};
        settings.stop_limit = stop_limit;
        settings.renewal_interval = renewal_interval_of_tests;
        return settings;
    }

    std::uint16_t caller_port_ = 0;
    std::uint16_t peer_port_ = 0;
    upstream_pool pool_{loop};
    relay_node<deployment::wire_format, fake_log, deployment::record_reader>
        node_;
};

} // namespace sapphirereel::relay::test

#endif
