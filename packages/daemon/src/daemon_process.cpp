#include "sapphirereel/daemon/daemon_process.hpp"

#include "sapphirereel/daemon/core_settings_from.hpp"
#include "sapphirereel/daemon/report_log.hpp"
#include "sapphirereel/telemetry/clocks.hpp"

#include <csignal>
#include <fmt/format.h>
#include <random>
#include <type_traits>
#include <utility>

namespace sapphirereel::daemon {

namespace {

/// Time between two ticks of the core.
constexpr auto tick_interval = std::chrono::milliseconds{50};

/// Most threads that speak with endpoints; each open stream has one.
constexpr auto endpoint_thread_limit = std::size_t{4096};

auto random_seed() -> std::uint64_t
{
    auto device = std::random_device{};
    return (std::uint64_t{device()} << 32U) | device();
}

auto id_of(settings const& settings, std::uint64_t seed) -> daemon_id
{
    return daemon_id{
        fmt::format("{}-{:08x}", settings.identity.name, seed & 0xffffffffU)};
}

auto endpoint_settings_of(settings const& settings) -> endpoint_thread_settings
{
    auto const& from = settings.endpoints;
    return {
        {from.connect_timeout, from.silence_timeout},
        {from.connect_timeout, from.call_timeout},
        {from.connect_timeout, from.connect_timeout}};
}

} // namespace

auto daemon_process::create(settings const& settings, process_options options)
    -> result<std::unique_ptr<daemon_process>>
{
    auto const seed = random_seed();
    auto const id = id_of(settings, seed);
    auto const of_core = core_settings_from(settings, id, seed);
    auto const now = telemetry::monotonic_now();
    auto core = daemon_core::create(of_core, now);
    if (!core)
    {
        return tl::unexpected(core.error());
    }
    auto made = std::unique_ptr<daemon_process>{
        new daemon_process{settings, id, std::move(*core)}};
    if (options.record)
    {
        made->recorder_.begin(of_core, now);
    }
    auto problems = made->open_sockets(seed);
    if (!problems.empty())
    {
        return tl::unexpected(std::move(problems));
    }
    return made;
}

daemon_process::daemon_process(
    settings const& settings, daemon_id id, daemon_core core)
    : settings_(settings)
    , id_(std::move(id))
    , work_(asio::make_work_guard(io_))
    , timer_(io_)
    , signals_(io_, SIGTERM, SIGINT)
    , log_(settings.log)
    , loop_(io_, std::move(core), recorder_, metrics_)
{
    loop_.perform_with([this](action const& what) { perform(what); });
}

daemon_process::~daemon_process()
{
    // The core's thread runs until last, since the others wait for it.
    if (endpoints_)
    {
        endpoints_->stop_all();
    }
    server_.reset();
    platform_.reset();
    pool_.reset();
    io_.stop();
    if (core_thread_.joinable())
    {
        core_thread_.join();
    }
}

auto daemon_process::run() -> void
{
    await_signal();
    tick();
    core_thread_ = std::thread{[this] {
        io_.run();
    }};
    platform_->start();
    server_->start();
    stopped_.get_future().wait();
}

auto daemon_process::open_sockets(std::uint64_t seed) -> findings
{
    auto problems = findings{};
    auto peers =
        peer_link::open(io_, settings_.identity.peer_address, id_, loop_);
    if (peers)
    {
        peers_ = std::move(*peers);
    }
    else
    {
        problems = peers.error();
    }
    pool_.emplace(endpoint_thread_limit);
    endpoints_.emplace(
        endpoint_settings_of(settings_), *pool_,
        [this](event what) { loop_.post(std::move(what)); });
    platform_.emplace(settings_.platform, loop_);
    auto const parts = operator_parts{loop_, operators_, recorder_, metrics_};
    auto server = caller_server::open(settings_, loop_, callers_, parts, seed);
    if (server)
    {
        server_ = std::move(*server);
    }
    else
    {
        auto const& more = server.error();
        problems.insert(problems.end(), more.begin(), more.end());
    }
    return problems;
}

auto daemon_process::perform(action const& what) -> void
{
    std::visit([this](auto const& one) { carry_out(one); }, what);
}

template <class Action>
auto daemon_process::carry_out(Action const& what) -> void
{
    constexpr auto for_caller = std::is_constructible_v<caller_item, Action>;
    constexpr auto for_endpoint = requires(endpoint_threads & threads)
    {
        threads.perform(what);
    };
    if constexpr (for_caller)
    {
        callers_.push(what.attachment, what);
    }
    else if constexpr (for_endpoint)
    {
        endpoints_->perform(what);
    }
    else if constexpr (std::is_same_v<Action, send_peer>)
    {
        peers_->perform(what);
    }
    else if constexpr (std::is_same_v<Action, append_record>)
    {
        platform_->perform(what);
    }
    else if constexpr (std::is_same_v<Action, edit_decided>)
    {
        operators_.decide(what);
    }
    else if constexpr (std::is_same_v<Action, stop_completed>)
    {
        stopped_.set_value();
    }
    else
    {
        static_assert(std::is_same_v<Action, report>);
        log_report(log_, what);
    }
}

auto daemon_process::tick() -> void
{
    loop_.take(clock_ticked{telemetry::civil_now()});
    copy_control_totals();
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](std::error_code const& problem) {
        if (!problem)
        {
            tick();
        }
    });
}

auto daemon_process::copy_control_totals() -> void
{
    auto const counted = peers_->counters();
    metrics_.set_control(
        {counted.bytes_in, counted.bytes_out, counted.messages_in,
         counted.messages_out, counted.dropped, counted.unanswered,
         counted.connections_silent});
}

auto daemon_process::await_signal() -> void
{
    signals_.async_wait([this](std::error_code const& problem, int) {
        if (!problem)
        {
            loop_.take(drain_asked{});
            await_signal();
        }
    });
}

} // namespace sapphirereel::daemon
