#include "sapphirereel/daemon/metrics.hpp"

#include "sapphirereel/codec/basic_codec.hpp"
#include "sapphirereel/daemon/metrics_process.hpp"

#include <fmt/format.h>
#include <string_view>

namespace sapphirereel::daemon {
namespace {

using namespace std::chrono_literals;

/// Name and help of a metric, without the common prefix.
struct description
{
    std::string_view name;
    std::string_view help;
};

constexpr auto prefix = std::string_view{"sapphirereel_"};

constexpr auto counter_texts = std::array{
    description{"requests_total", "Requests taken from callers"},
    description{"tokens_total", "Tokens handed to callers"},
    description{"preemptions_total", "Generations preempted by their engine"},
    description{"retries_total", "Attempts after the first"},
    description{"resumed_streams_total", "Streams resumed by their last id"},
    description{
        "continued_generations_total",
        "Generations that went on at another engine"},
    description{"lost_engines_total", "Engines that were lost with runs"},
    description{
        "outcomes_unknown_total", "Calls whose outcome could not be told"},
    description{"claims_total", "Claims written to the log"},
    description{"log_appends_total", "Appends to the log service"},
    description{
        "log_append_failures_total", "Appends that failed or went unanswered"},
    description{"edits_applied_total", "Edits applied to the configuration"},
    description{
        "edits_rejected_total", "Edits rejected by this daemon's rules"}};

constexpr auto gauge_texts = std::array{
    description{"streams", "Streams open to callers"},
    description{"waiting_requests", "Requests that wait for a place"},
    description{"connections", "Connections of callers"},
    description{"live_daemons", "Daemons seen as live, this one included"},
    description{"configuration_offset", "Offset of the configuration in force"},
    description{"leases_held", "Leases that this daemon holds"}};

constexpr auto control_texts = std::array{
    description{"control_bytes_in_total", "Bytes received from daemons"},
    description{"control_bytes_out_total", "Bytes sent to daemons"},
    description{"control_messages_in_total", "Messages received from daemons"},
    description{"control_messages_out_total", "Messages sent to daemons"},
    description{
        "control_messages_dropped_total", "Messages dropped before sending"},
    description{
        "control_messages_unanswered_total",
        "Messages sent but not acknowledged"},
    description{
        "control_connections_silent_total",
        "Connections to daemons replaced because they were silent"}};

constexpr auto timing_texts = std::array{
    description{"first_token_seconds", "From request to first token"},
    description{"inter_token_seconds", "Between two tokens of a stream"},
    description{"stall_seconds", "Pauses of a stream beyond its usual pace"}};

constexpr auto first_token_bounds = std::array<duration, 10>{
    50ms, 100ms, 200ms, 400ms, 630ms, 1s, 2s, 5s, 10s, 30s};
constexpr auto inter_token_bounds = std::array<duration, 11>{
    5ms, 10ms, 20ms, 40ms, 63ms, 100ms, 200ms, 500ms, 1s, 2s, 5s};
constexpr auto stall_bounds =
    std::array<duration, 9>{100ms, 200ms, 500ms, 1s, 2s, 5s, 10s, 30s, 60s};

auto heading(description const& text, std::string_view kind) -> std::string
{
    return fmt::format(
        "# HELP {0}{1} {2}\n# TYPE {0}{1} {3}\n", prefix, text.name, text.help,
        kind);
}

template <class Value>
auto sample(description const& text, std::string_view kind, Value const& value)
    -> std::string
{
    return heading(text, kind) +
           fmt::format("{}{} {}\n", prefix, text.name, value);
}

template <class Texts, class Values>
auto samples(Texts const& texts, std::string_view kind, Values const& values)
    -> std::string
{
    static_assert(
        std::tuple_size_v<Texts> == std::tuple_size_v<Values>,
        "each metric has a name and a help text");
    auto page = std::string{};
    for (auto i = std::size_t{0}; i < values.size(); ++i)
    {
        page += sample(texts[i], kind, values[i].load());
    }
    return page;
}

auto process_lines() -> std::string
{
    auto const usage = internal::process_usage_now();
    auto const seconds = std::chrono::duration<double>{usage.processor_time};
    return fmt::format(
        "# HELP process_cpu_seconds_total Processor time of the process\n"
        "# TYPE process_cpu_seconds_total counter\n"
        "process_cpu_seconds_total {}\n"
        "# HELP process_resident_memory_bytes Resident memory\n"
        "# TYPE process_resident_memory_bytes gauge\n"
        "process_resident_memory_bytes {}\n",
        seconds.count(), usage.resident_bytes);
}

template <class Refusals>
auto refusal_lines(Refusals const& refusals) -> std::string
{
    constexpr auto text =
        description{"refusals_total", "Requests refused, by cause and outcome"};
    auto page = heading(text, "counter");
    for (auto const& cause : enum_names<refusal_cause>)
    {
        for (auto const& outcome : enum_names<disposition>)
        {
            auto const& count =
                refusals[static_cast<std::size_t>(cause.value)]
                        [static_cast<std::size_t>(outcome.value)];
            if (count.load() > 0)
            {
                page += fmt::format(
                    "{}{}{{cause=\"{}\",outcome=\"{}\"}} {}\n", prefix,
                    text.name, cause.name, outcome.name, count.load());
            }
        }
    }
    return page;
}

} // namespace

metrics::metrics()
    : timings_{
          metrics_histogram{first_token_bounds},
          metrics_histogram{inter_token_bounds},
          metrics_histogram{stall_bounds}}
{}

auto metrics::add(counter which, std::uint64_t amount) -> void
{
    counters_[static_cast<std::size_t>(which)] += amount;
}

auto metrics::add_refusal(refusal_cause cause, disposition outcome) -> void
{
    ++refusals_[static_cast<std::size_t>(cause)]
               [static_cast<std::size_t>(outcome)];
}

auto metrics::set(gauge which, std::int64_t value) -> void
{
    gauges_[static_cast<std::size_t>(which)] = value;
}

auto metrics::observe(timing which, duration length) -> void
{
    timings_[static_cast<std::size_t>(which)].observe(length);
}

auto metrics::set_control(control_totals const& totals) -> void
{
    auto const values =
        std::array{totals.bytes_in,          totals.bytes_out,
                   totals.messages_in,       totals.messages_out,
                   totals.messages_dropped,  totals.messages_unanswered,
                   totals.connections_silent};
    for (auto i = std::size_t{0}; i < values.size(); ++i)
    {
        control_[i] = values[i];
    }
}

auto metrics::page() const -> std::string
{
    auto page = samples(counter_texts, "counter", counters_);
    page += samples(gauge_texts, "gauge", gauges_);
    page += samples(control_texts, "counter", control_);
    page += refusal_lines(refusals_);
    for (auto i = std::size_t{0}; i < timings_.size(); ++i)
    {
        page += heading(timing_texts[i], "histogram");
        page += timings_[i].lines(
            fmt::format("{}{}", prefix, timing_texts[i].name));
    }
    page += process_lines();
    return page;
}

} // namespace sapphirereel::daemon
