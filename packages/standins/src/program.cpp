#include "sapphirereel/standins/program.hpp"

#include <charconv>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace sapphirereel::standins {
namespace {

auto log_line(nlohmann::json const& line) -> void
{
    auto const invalid = nlohmann::json::error_handler_t::replace;
    fmt::print(stderr, "{}\n", line.dump(-1, ' ', false, invalid));
}

auto termination_signals() -> sigset_t
{
    auto signals = sigset_t{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

} // namespace

auto parse_address(std::string_view text) -> result<socket_address>
{
    auto const colon = text.rfind(':');
    auto const ip = text.substr(0, colon);
    auto const port_text =
        colon == text.npos ? std::string_view{} : text.substr(colon + 1);
    auto port = std::uint16_t{0};
    auto const* const end = port_text.data() + port_text.size();
    auto const parsed = std::from_chars(port_text.data(), end, port);
    if (ip.empty() || port_text.empty() || parsed.ptr != end ||
        parsed.ec != std::errc{})
    {
        return tl::unexpected{findings{finding{
            place{"command line", 0, "address"},
            "'" + std::string{text} + "' is no address",
            "write IP:PORT, as in 127.0.0.1:9000"}}};
    }
    return socket_address{std::string{ip}, port};
}

auto log_findings(findings const& all) -> void
{
    for (auto const& finding : all)
    {
        log_line(
            {{"level", "error"},
             {"source", finding.where.source},
             {"field", finding.where.field},
             {"message", finding.message},
             {"mend", finding.mend}});
    }
}

auto log_listening(std::string_view program, socket_address const& address)
    -> void
{
    log_line(
        {{"level", "info"},
         {"message", "listening"},
         {"program", program},
         {"address", address.ip + ":" + std::to_string(address.port)}});
}

namespace internal {

auto block_termination() -> void
{
    auto const signals = termination_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

auto await_termination() -> void
{
    auto const signals = termination_signals();
    auto received = 0;
    sigwait(&signals, &received);
}

} // namespace internal
} // namespace sapphirereel::standins
