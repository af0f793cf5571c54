/// \file
/// Defines a reader that keeps a copy of a keyed stream of the platform's log
/// up to date: it reads a snapshot of the newest records, then the records that
/// follow, and a snapshot again if the log has trimmed the next records.
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

/// Records of a keyed stream.
struct keyed_page
{
    std::vector<keyed_record> records;
    /// Offset one past the last record that the page covers.
    std::uint64_t next = 0;
    auto operator<=>(keyed_page const&) const = default;
};

/// Why a read failed.
enum class log_read_error
{
    /// The log no longer holds the requested records.
    records_trimmed,
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
    std::uint64_t from,
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
    auto operator<=>(follow_settings const&) const = default;
};

/// Keeps a copy of one stream up to date. Must outlive the loop's run.
template <keyed_log Log>
class log_follower
{
public:
    /// `changed` is called when the copy changes, `loss_changed` when the log
    /// becomes unreachable and when it answers again.
    log_follower(
        asio::io_context& loop,
        Log& log,
        keyed_stream stream,
        follow_settings const& settings,
        std::uint64_t seed,
        std::function<void()> changed,
        std::function<void(bool is_lost)> loss_changed)
        : log_(log)
        , stream_(stream)
        , settings_(settings)
        , timer_(loop)
        , random_(seed)
        , changed_(std::move(changed))
        , loss_changed_(std::move(loss_changed))
    {}

    auto start() -> void
    {
        read_snapshot();
    }

    /// Changes the polling settings; a shorter pause takes effect at once.
    auto set_settings(follow_settings const& settings) -> void
    {
        auto const is_shorter = settings.pause < settings_.pause;
        settings_ = settings;
        if (is_shorter && is_pausing_ && failures_ == 0)
        {
            schedule_read(settings_.pause);
        }
    }

    /// Applies a peer's snapshot of the newest records of all keys.
    auto apply_peer_snapshot(keyed_page const& newest) -> void
    {
        if (newest.next > cache_.next() &&
            cache_.apply_snapshot(newest.records, newest.next))
        {
            changed_();
        }
    }

    /// Applies a peer's list of the records that changed since an offset that
    /// this copy had reached.
    auto apply_peer_changes(keyed_page const& changes) -> void
    {
        if (changes.next > cache_.next() &&
            cache_.apply_changes(changes.records, changes.next))
        {
            changed_();
        }
    }

    [[nodiscard]] auto cache() const -> record_cache const&
    {
        return cache_;
    }

    /// When the log last answered again after it was lost.
    [[nodiscard]] auto recovered_at() const -> time_point
    {
        return recovered_at_;
    }

    /// Whether several calls in a row have failed.
    [[nodiscard]] auto is_lost() const -> bool
    {
        return failures_ >= failures_until_lost;
    }

    [[nodiscard]] auto is_log_reachable() const -> bool
    {
        return failures_ == 0 && has_snapshot_;
    }

private:
    /// Exponential backoff of failed calls: the first and the longest delay.
    static constexpr auto min_retry_delay =
        duration{std::chrono::milliseconds{150}};
    static constexpr auto max_retry_delay =
        duration{std::chrono::milliseconds{800}};
    /// Failures in a row after which the log is considered lost.
    static constexpr auto failures_until_lost = 2U;

    auto read_snapshot() -> void
    {
        log_.newest(
            stream_, [this](tl::expected<keyed_page, log_read_error> page) {
                if (!page)
                {
                    record_failure();
                    return;
                }
                record_success();
                has_snapshot_ = true;
                if (cache_.apply_snapshot(page->records, page->next))
                {
                    changed_();
                }
                schedule_read(settings_.pause);
            });
    }

    auto read_next() -> void
    {
        log_.read(
            stream_, cache_.next(), settings_.wait,
            [this](tl::expected<keyed_page, log_read_error> page) {
                if (!page && page.error() == log_read_error::records_trimmed)
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
                record_success();
                if (cache_.apply_changes(page->records, page->next))
                {
                    changed_();
                }
                schedule_read(settings_.pause);
            });
    }

    auto record_success() -> void
    {
        if (is_lost())
        {
            recovered_at_ = telemetry::monotonic_now();
            loss_changed_(false);
        }
        failures_ = 0;
    }

    auto record_failure() -> void
    {
        ++failures_;
        if (failures_ == failures_until_lost)
        {
            loss_changed_(true);
        }
        auto const doublings = std::min(failures_ - 1, 4U);
        schedule_read(
            std::min(max_retry_delay, min_retry_delay * (1U << doublings)));
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
            if (has_snapshot_)
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
    std::function<void()> changed_;
    std::function<void(bool)> loss_changed_;
    record_cache cache_;
    time_point recovered_at_{};
    std::uint32_t failures_ = 0;
    bool has_snapshot_ = false;
    bool is_pausing_ = false;
};

} // namespace sapphirereel::relay

#endif
