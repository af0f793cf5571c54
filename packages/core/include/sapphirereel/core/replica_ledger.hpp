/// \file
/// Defines the ledger that a replica's home daemon keeps: the streams on the
/// replica, the memory that they will need, and whether one more fits.
#ifndef SAPPHIREREEL_CORE_REPLICA_LEDGER_HPP
#define SAPPHIREREEL_CORE_REPLICA_LEDGER_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/length_estimate.hpp"
#include "sapphirereel/core/memory_forecast.hpp"
#include "sapphirereel/core/waiting_list.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <tl/expected.hpp>
#include <vector>

namespace sapphirereel {

/// Limits and margins of a ledger.
struct ledger_settings
{
    /// Standard deviations of the forecast kept free.
    double margin_deviations = 2.0;
    /// Share of the replica's memory that placement may plan with.
    double usable_share = 0.97;
    /// Share of the memory that customers above their fair share leave free.
    double reserve_share = 0.03;
    /// Token memory assumed until the engine has reported its own.
    double assumed_capacity = 100'000;
    /// Output tokens a second of one stream until progress was reported.
    double assumed_rate = 20;
    /// Prompt tokens that the engine processes in a second.
    double prefill_rate = 8'000;
    /// Longest prefill backlog with which a further offer is accepted.
    duration prefill_wait = std::chrono::milliseconds(300);
    /// Streams that may run at once without exceeding the bound on the time
    /// between tokens.
    std::uint32_t most_streams = 256;
    /// Time after which a stream without a progress report is dropped.
    duration stream_expiry = std::chrono::seconds(30);
    /// The same for a stream without any progress report so far.
    duration reservation_expiry = std::chrono::seconds(10);
    /// Offers that may wait at once, of all customers and of one.
    std::uint32_t most_waiting = 256;
    std::uint32_t most_waiting_of_customer = 64;
    /// Longest time for which a computed forecast is reused.
    duration forecast_lifetime = std::chrono::milliseconds(100);
    /// Retry hint of a refusal.
    duration retry_after = std::chrono::milliseconds(250);
    auto operator<=>(ledger_settings const&) const = default;
};

/// A place was reserved under the offer's run id.
struct offer_accepted
{
    /// Share of the memory left free at the time ahead that needs the most.
    double headroom = 0;
    auto operator<=>(offer_accepted const&) const = default;
};

/// Why a ledger refused an offer.
enum class offer_refusal_cause
{
    memory,
    prefill,
    streams,
    share,
    suspect,
    draining
};

/// The replica has no place for the stream now.
struct offer_refused
{
    offer_refusal_cause cause = offer_refusal_cause::memory;
    /// Whether the offer waits here and may still be granted.
    bool queued = false;
    duration retry_after{0};
    auto operator<=>(offer_refused const&) const = default;
};

using offer_reply = tl::expected<offer_accepted, offer_refused>;

/// An engine's report of its load, measured `age` before it was received.
struct load_report
{
    double memory_tokens_used = 0;
    double memory_tokens_total = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t preemptions = 0;
    duration age{0};
    auto operator<=>(load_report const&) const = default;
};

/// A stream in the ledger.
struct ledger_stream
{
    stream_offer offer;
    /// Output tokens last reported and when.
    double reported_tokens = 0;
    time_point reported_at{};
    /// Whether the entry daemon has reported that it runs.
    bool confirmed = false;
    auto operator<=>(ledger_stream const&) const = default;
};

/// Summary of a ledger, for metrics and dumps.
struct ledger_summary
{
    std::size_t streams = 0;
    double memory_tokens = 0;
    double peak_tokens = 0;
    double unseen_tokens = 0;
    double capacity_tokens = 0;
    double tokens_per_second = 0;
    auto operator<=>(ledger_summary const&) const = default;
};

/// A waiting offer that was given a place.
struct granted_offer
{
    stream_offer offer;
    offer_accepted place;
    auto operator<=>(granted_offer const&) const = default;
};

/// The home daemon's view of one replica's memory.
/// Example: `ledger.offer(offer, estimator, now)` reserves or refuses.
class replica_ledger
{
public:
    static auto create(ledger_settings const& settings)
        -> result<replica_ledger>;

    /// Reserves a place, or returns why not; an offer that may wait is queued.
    /// Idempotent: a repeated run id reserves and queues once.
    auto offer(
        stream_offer const& offer,
        length_estimator const& lengths,
        time_point now) -> offer_reply;

    /// Gives places to waiting offers while there is room. Call it after
    /// releases and reports, and on a timer while offers wait.
    auto grants(length_estimator const& lengths, time_point now)
        -> std::vector<granted_offer>;

    /// Adds a stream that is already running, announced by its entry daemon to
    /// a new home.
    auto announce(
        stream_offer const& offer, std::uint32_t tokens, time_point now)
        -> void;

    /// Updates a stream's length; false if the run is not in the ledger.
    auto progress(run_id const& run, std::uint32_t tokens, time_point now)
        -> bool;

    /// Removes a stream or withdraws its offer; returns the stream, if any.
    auto release(run_id const& run) -> std::optional<ledger_stream>;

    /// Applies an engine's report: memory in use beyond what this ledger
    /// accounted for at the time of the report counts as occupied.
    auto report(load_report const& report, time_point now) -> void;

    /// Drops overdue offers and streams whose entry daemon stopped reporting.
    auto expire(time_point now) -> void;

    /// Sets the customers' weights.
    auto set_shares(share_weights const& weights) -> void;

    /// While set, every new offer is refused.
    auto set_draining(bool draining) -> void;

    /// Memory expected at `forecast_seconds`.
    [[nodiscard]] auto forecast(length_estimator const& lengths, time_point now)
        const -> memory_forecast;

    /// Output tokens of a stream, extrapolated to `now`.
    [[nodiscard]] auto tokens_now(
        ledger_stream const& stream, time_point now) const -> double;

    [[nodiscard]] auto streams() const -> std::map<run_id, ledger_stream> const&
    {
        return streams_;
    }

    [[nodiscard]] auto summary(length_estimator const& lengths, time_point now)
        const -> ledger_summary;

    /// Number of waiting offers.
    [[nodiscard]] auto waiting() const -> std::size_t
    {
        return waiting_.size();
    }

    [[nodiscard]] auto capacity() const -> double
    {
        return capacity_;
    }

private:
    struct memory_sample
    {
        time_point at;
        double tokens = 0;
    };

    explicit replica_ledger(ledger_settings const& settings);

    [[nodiscard]] auto refuse(
        stream_offer const& offer, offer_refusal_cause cause, time_point now)
        -> offer_reply;
    [[nodiscard]] auto runs_suspect() const -> bool;
    /// Why the offer can't be placed now; empty if it can.
    [[nodiscard]] auto rejection_cause(
        stream_offer const& offer,
        length_estimator const& lengths,
        time_point now) -> std::optional<offer_refusal_cause>;
    auto accept(
        stream_offer const& offer,
        length_estimator const& lengths,
        time_point now) -> offer_accepted;
    [[nodiscard]] auto current_forecast(
        length_estimator const& lengths, time_point now)
        -> memory_forecast const&;
    [[nodiscard]] auto forecast_of(
        stream_offer const& offer, length_estimator const& lengths) const
        -> memory_forecast;
    [[nodiscard]] auto headroom(memory_forecast const& need) const -> double;
    [[nodiscard]] auto held(time_point now) const -> held_tokens;
    [[nodiscard]] auto is_above_share(
        customer_id const& customer, time_point now) const -> bool;
    [[nodiscard]] auto memory_now(time_point now) const -> double;
    [[nodiscard]] auto prefill_backlog(time_point now) -> duration;
    auto record_memory(time_point now) -> void;
    auto insert(
        stream_offer const& offer,
        double tokens,
        bool confirmed,
        time_point now) -> void;
    auto update_rate(double tokens, duration elapsed) -> void;

    ledger_settings settings_;
    double capacity_ = 0;
    double rate_ = 0;
    double unseen_tokens_ = 0;
    bool draining_ = false;
    double prefill_backlog_tokens_ = 0;
    time_point prefill_updated_at_{};
    std::map<run_id, ledger_stream> streams_;
    waiting_list waiting_;
    share_weights weights_;
    std::optional<memory_forecast> forecast_;
    time_point forecast_at_{};
    std::deque<memory_sample> history_;
};

} // namespace sapphirereel

#endif
