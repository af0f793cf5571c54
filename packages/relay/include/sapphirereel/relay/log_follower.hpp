/// \file
/// Defines a reader that keeps a copy of a keyed stream of the platform's log
/// up to date: it reads a snapshot of the newest records, then the records that
/// follow, and a snapshot again if the log has trimmed the next records or they
/// are long and newer ones have followed.
#ifndef SAPPHIREREEL_RELAY_LOG_FOLLOWER_HPP
#define SAPPHIREREEL_RELAY_LOG_FOLLOWER_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/relay/record_cache.hpp"
#include "sapphirereel/telemetry/clocks.hpp"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <concepts>
#include <functional>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace sapphirereel::relay {

/// The keyed streams that a daemon follows.
enum class keyed_stream
{
    configuration,
    replicas
};

/// The name of a stream in log lines.
auto name_of(keyed_stream stream) -> std::string_view;

/// Most bytes of a replica's record. No replica writes as many; records of
/// other writers that are longer must not make peers' copies too long to fetch.
inline constexpr auto max_replica_record_bytes = std::size_t{65'536};

/// Most bytes that a copy keeps of a value in a stream.
constexpr auto max_value_bytes(keyed_stream stream) -> std::size_t
{
    return stream == keyed_stream::replicas
               ? max_replica_record_bytes
               : std::numeric_limits<std::size_t>::max();
}

/// Records of a keyed stream.
struct keyed_page
{
    std::vector<keyed_record> records;
    /// Position behind the last record that the page covers; its era is that of
    /// all records of the page.
    log_position next;
    auto operator<=>(keyed_page const&) const = default;
};

/// Why a read failed.
enum class log_read_error
{
    /// The log does not hold the requested records: it has trimmed them, or it
    /// was restored and is in another era.
    records_trimmed,
    /// The requested records are long, and newer ones have followed: the newest
    /// record of each key is read sooner than all of them in turn.
    replaced,
    /// The log refused the request.
    refused,
    /// No answer arrived, or it could not be decoded.
    unanswered
};

using keyed_page_handler =
    std::function<void(tl::expected<keyed_page, log_read_error>)>;

/// A log with keyed streams. The handler runs on the event loop, after the call
/// has returned.
template <class Log>
concept keyed_log = requires(
    Log& log,
    keyed_stream stream,
    log_position from,
    duration wait,
    keyed_page_handler done)
{
    log.newest(stream, done);
    log.read(stream, from, wait, done);
};

/// Polling settings of a stream.
struct follow_settings
{
    /// Time for which a read may wait for a record (long poll).
    duration wait{0};
    /// Time between two reads.
    duration pause{0};
    /// Whether changes are expected from peers, so that a failed read is
    /// repeated only after the regular pause.
    bool is_fallback = false;
    auto operator<=>(follow_settings const&) const = default;
};

/// Keeps a copy of one stream up to date. Must outlive the loop's run.
template <keyed_log Log>
class log_follower
{
public:
    struct callbacks
    {
        /// Called when the copy changes.
        std::function<void()> changed;
        /// Called when the log becomes unreachable and when it answers again.
        std::function<void(bool is_lost)> loss_changed;
        /// Called when the log turns out to have been restored, before the copy
        /// changes.
        std::function<void(log_position before, log_position after)> restored;
        /// Called when the result of an answered call has been applied.
        std::function<void()> answered = [] {
        };
        /// Whether the records written while this daemon did not reach the log
        /// show that the log was in service all that time.
        std::function<bool(std::vector<keyed_record> const&, duration)>
            shows_service = [](auto const&, duration) {
                return false;
            };
        /// Called when records from a position on are left out, as newer ones
        /// have followed them.
        std::function<void(log_position from)> skipped = [](log_position) {
        };
    };

    log_follower(
        asio::io_context& loop,
        Log& log,
        keyed_stream stream,
        follow_settings const& settings,
        std::uint64_t seed,
        renewal_test is_renewal,
        callbacks handlers)
        : log_(log)
        , stream_(stream)
        , settings_(settings)
        , timer_(loop)
        , random_(seed)
        , callbacks_(std::move(handlers))
        , cache_(std::move(is_renewal), max_value_bytes(stream))
    {}

    /// Reads the log for the first time after `delay`. A peer's copy that
    /// arrives earlier takes the place of that read.
    auto start(duration delay) -> void
    {
        if (delay == duration{0})
        {
            read_snapshot();
            return;
        }
        schedule_read(delay);
    }

    /// Puts off the first read if it is not under way and no copy has come.
    auto postpone_first_read(duration delay) -> void
    {
        if (!has_copy_ && is_pausing_ && failures_ == 0)
        {
            schedule_read(delay);
        }
    }

    /// Changes the polling settings. The next read follows after the new pause;
    /// without a copy it is never put off.
    auto set_settings(follow_settings const& settings) -> void
    {
        auto const may_read_later =
            has_copy_ || settings.pause < settings_.pause;
        auto const is_change = settings != settings_;
        settings_ = settings;
        if (is_change && may_read_later && is_pausing_)
        {
            schedule_read(first_pause());
        }
    }

    /// Reads the log now, unless a call is under way.
    auto read_now() -> void
    {
        if (is_pausing_)
        {
            schedule_read(duration{0});
        }
    }

    /// Applies a peer's snapshot of the newest records of all keys.
    auto apply_peer_snapshot(keyed_page const& newest) -> void
    {
        if (newest.next > cache_.next())
        {
            apply_snapshot(newest);
        }
    }

    /// Applies a peer's list of the records that changed since a position that
    /// this copy had reached. A list of another era is ignored.
    auto apply_peer_changes(keyed_page const& changes) -> void
    {
        if (changes.next.era == cache_.next().era &&
            changes.next > cache_.next() &&
            cache_.apply_changes(changes.records, changes.next))
        {
            callbacks_.changed();
        }
    }

    /// Applies records of a peer's list of changes before those of its records
    /// that are still on their way.
    auto apply_early_changes(keyed_page const& changes) -> void
    {
        if (changes.next.era == cache_.next().era &&
            changes.next > cache_.next() && cache_.apply_early(changes.records))
        {
            callbacks_.changed();
        }
    }

    [[nodiscard]] auto cache() const -> record_cache const&
    {
        return cache_;
    }

    /// When the last call was answered.
    [[nodiscard]] auto last_answer_at() const -> std::optional<time_point>
    {
        return last_answer_at_;
    }

    /// Moment by which the log was back after it was out of service, or
    /// restored: when the first call was sent that it answered. The answer of a
    /// long poll may come much later.
    [[nodiscard]] auto returned_by() const -> std::optional<time_point>
    {
        return returned_by_;
    }

    /// Whether this daemon reads the log without a gap in which an outage could
    /// have gone unnoticed.
    [[nodiscard]] auto reads_through(time_point now) const -> bool
    {
        return is_log_reachable() && read_gap_ <= max_read_gap &&
               last_answer_at_ && now - *last_answer_at_ <= max_read_gap;
    }

    /// Whether several calls in a row have failed.
    [[nodiscard]] auto is_lost() const -> bool
    {
        return failures_ >= failures_until_lost;
    }

    /// Whether the last call to the log succeeded. A copy taken from a peer
    /// counts until a call of this daemon has failed.
    [[nodiscard]] auto is_log_reachable() const -> bool
    {
        return failures_ == 0 && has_copy_;
    }

private:
    /// Exponential backoff of failed calls: the first and the longest delay.
    static constexpr auto min_retry_delay =
        duration{std::chrono::milliseconds{150}};
    static constexpr auto max_retry_delay =
        duration{std::chrono::milliseconds{800}};
    /// Longest time without a call in which entries cannot have expired unseen:
    /// that takes several intervals of their renewal.
    static constexpr auto max_read_gap = duration{std::chrono::seconds{2}};
    /// Failures in a row after which the log is considered lost.
    static constexpr auto failures_until_lost = 2U;

    auto read_snapshot() -> void
    {
        asked_at_ = telemetry::monotonic_now();
        log_.newest(
            stream_, [this](tl::expected<keyed_page, log_read_error> page) {
                apply([&] { apply_newest(page); });
            });
    }

    /// Applies the result of a read. If that throws, the read counts as failed
    /// and is repeated.
    template <class Work>
    auto apply(Work const& work) -> void
    {
        try
        {
            work();
        }
        catch (...)
        {
            record_failure();
            throw;
        }
    }

    auto apply_newest(tl::expected<keyed_page, log_read_error> const& page)
        -> void
    {
        if (!page)
        {
            record_failure();
            return;
        }
        record_success();
        apply_snapshot(*page);
        schedule_read(settings_.pause);
        callbacks_.answered();
    }

    auto apply_snapshot(keyed_page const& page) -> void
    {
        auto const before = cache_.next();
        auto const is_restored = has_copy_ && page.next.era > before.era;
        has_copy_ = true;
        if (is_restored)
        {
            returned_by_ = telemetry::monotonic_now();
            callbacks_.restored(before, page.next);
        }
        if (cache_.apply_snapshot(page.records, page.next))
        {
            callbacks_.changed();
        }
    }

    auto read_next() -> void
    {
        asked_at_ = telemetry::monotonic_now();
        log_.read(
            stream_, cache_.next(), settings_.wait,
            [this](tl::expected<keyed_page, log_read_error> page) {
                apply([&] { apply_next(page); });
            });
    }

    auto apply_next(tl::expected<keyed_page, log_read_error> const& page)
        -> void
    {
        if (!page && page.error() == log_read_error::replaced)
        {
            callbacks_.skipped(cache_.next());
        }
        auto const needs_snapshot =
            !page && (page.error() == log_read_error::records_trimmed ||
                      page.error() == log_read_error::replaced);
        if (needs_snapshot)
        {
            record_success();
            read_snapshot();
            return;
        }
        if (!page)
        {
            record_failure();
            return;
        }
        record_success(shows_service(*page));
        if (page->next.era == cache_.next().era &&
            cache_.apply_changes(page->records, page->next))
        {
            callbacks_.changed();
        }
        schedule_read(settings_.pause);
        callbacks_.answered();
    }

    /// Whether the log was in service while this daemon did not reach it, by
    /// the first page after that.
    [[nodiscard]] auto shows_service(keyed_page const& page) const -> bool
    {
        return is_lost() && last_answer_at_ &&
               callbacks_.shows_service(
                   page.records, telemetry::monotonic_now() - *last_answer_at_);
    }

    /// Records that a call was answered, after which the log counts as back if
    /// it was lost and not in service meanwhile.
    auto record_success(bool was_in_service = false) -> void
    {
        read_gap_ =
            last_answer_at_ ? asked_at_ - *last_answer_at_ : duration::max();
        last_answer_at_ = telemetry::monotonic_now();
        auto const was_lost = is_lost();
        failures_ = 0;
        if (was_lost)
        {
            if (!was_in_service)
            {
                returned_by_ = asked_at_;
            }
            callbacks_.loss_changed(false);
        }
    }

    auto record_failure() -> void
    {
        ++failures_;
        if (failures_ == failures_until_lost)
        {
            callbacks_.loss_changed(true);
        }
        auto const doublings = std::min(failures_ - 1, 4U);
        auto const backoff =
            std::min(max_retry_delay, min_retry_delay * (1U << doublings));
        // The time that a silent call took is part of the delay.
        auto const took = telemetry::monotonic_now() - asked_at_;
        schedule_read(
            settings_.is_fallback ? settings_.pause
                                  : std::max(min_retry_delay, backoff - took));
    }

    /// Pause before the first read with new settings. Whoever begins to read
    /// for the others does so at once; fallback reads are spread over their
    /// pause, as all daemons may get these settings at the same time.
    auto first_pause() -> duration
    {
        if (!settings_.is_fallback)
        {
            return settings_.wait > duration{0} ? duration{0} : settings_.pause;
        }
        auto spread = std::uniform_int_distribution<duration::rep>{
            0, settings_.pause.count()};
        return duration{spread(random_)};
    }

    /// Adds jitter so that daemons do not read at the same time.
    auto schedule_read(duration delay) -> void
    {
        auto spread = std::uniform_real_distribution<double>{0.8, 1.2};
        is_pausing_ = true;
        timer_.expires_after(
            std::chrono::duration_cast<duration>(delay * spread(random_)));
        timer_.async_wait([this](std::error_code error) {
            if (error)
            {
                return;
            }
            is_pausing_ = false;
            if (has_copy_)
            {
                read_next();
            }
            else
            {
                read_snapshot();
            }
        });
    }

    Log& log_;
    keyed_stream stream_;
    follow_settings settings_;
    asio::steady_timer timer_;
    std::mt19937_64 random_;
    callbacks callbacks_;
    record_cache cache_;
    /// When the call under way, or the last one, was sent.
    time_point asked_at_{};
    std::optional<time_point> last_answer_at_;
    /// Time between the last two answered calls.
    duration read_gap_ = duration::max();
    std::optional<time_point> returned_by_;
    std::uint32_t failures_ = 0;
    bool has_copy_ = false;
    bool is_pausing_ = false;
};

} // namespace sapphirereel::relay

#endif
