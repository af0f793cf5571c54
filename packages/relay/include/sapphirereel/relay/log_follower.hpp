/// \file
/// Defines how a daemon's copy of a keyed stream of the platform's log is kept
/// up to date: once the newest records, then what follows, and the newest
/// again where the log no longer holds what follows.
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

/// The name of a stream in logs.
auto name_of(keyed_stream stream) -> std::string_view;

/// Records of a keyed stream.
struct keyed_page
{
    std::vector<keyed_record> records;
    /// Offset behind the last record that the page covers.
    std::uint64_t next = 0;
    auto operator<=>(keyed_page const&) const = default;
};

/// Why a page could not be had.
enum class log_read_error
{
    /// The log no longer holds the records that were asked for.
    records_trimmed,
    /// The log refused, and nothing was done.
    refused,
    /// No answer came, or none that can be read.
    unanswered
};

using keyed_page_handler =
    std::function<void(tl::expected<keyed_page, log_read_error>)>;

/// A log with keyed streams. The handler runs on the event loop, after the
/// call has returned.
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

/// How a stream is followed.
struct follow_settings
{
    /// Time that a read may wait for a record.
    duration wait{0};
    /// Time between two reads.
    duration pause{0};
    auto operator<=>(follow_settings const&) const = default;
};

/// Follows one stream until it is destroyed. Must outlive the loop's run.
template <keyed_log Log>
class log_follower
{
public:
    /// `changed` is told when the copy has news, `loss_changed` when the log
    /// is lost and when it answers again.
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
        read_newest();
    }

    /// Changes how the stream is followed; a shorter pause holds at once.
    auto follow(follow_settings const& settings) -> void
    {
        auto const is_shorter = settings.pause < settings_.pause;
        settings_ = settings;
        if (is_shorter && is_pausing_ && failures_ == 0)
        {
            read_later(settings_.pause);
        }
    }

    /// Takes in the newest records of all keys, from a peer's copy.
    auto apply_peer_snapshot(keyed_page const& newest) -> void
    {
        if (newest.next > cache_.next() &&
            cache_.replace(newest.records, newest.next))
        {
            changed_();
        }
    }

    /// Takes in what changed, by a peer's copy, since an offset that this copy
    /// had reached.
    auto apply_peer_changes(keyed_page const& changes) -> void
    {
        if (changes.next > cache_.next() &&
            cache_.follow(changes.records, changes.next))
        {
            changed_();
        }
    }

    [[nodiscard]] auto cache() const -> record_cache const&
    {
        return cache_;
    }

    /// When the log last began to answer again after it had not.
    [[nodiscard]] auto recovered_at() const -> time_point
    {
        return recovered_at_;
    }

    /// Whether the log has not answered for several calls.
    [[nodiscard]] auto is_lost() const -> bool
    {
        return failures_ >= failures_until_lost;
    }

    [[nodiscard]] auto is_log_reachable() const -> bool
    {
        return failures_ == 0 && has_newest_;
    }

private:
    /// Time until a call that failed is repeated: at first, and at most.
    static constexpr auto min_retry_delay =
        duration{std::chrono::milliseconds{150}};
    static constexpr auto max_retry_delay =
        duration{std::chrono::milliseconds{800}};
    /// Failures in a row after which the log counts as lost.
    static constexpr auto failures_until_lost = 2U;

    auto read_newest() -> void
    {
        log_.newest(
            stream_, [this](tl::expected<keyed_page, log_read_error> got) {
                if (!got)
                {
                    failed();
                    return;
                }
                answered();
                has_newest_ = true;
                if (cache_.replace(got->records, got->next))
                {
                    changed_();
                }
                read_later(settings_.pause);
            });
    }

    auto read_next() -> void
    {
        log_.read(
            stream_, cache_.next(), settings_.wait,
            [this](tl::expected<keyed_page, log_read_error> got) {
                if (!got && got.error() == log_read_error::records_trimmed)
                {
                    answered();
                    read_newest();
                    return;
                }
                if (!got)
                {
                    failed();
                    return;
                }
                answered();
                if (cache_.follow(got->records, got->next))
                {
                    changed_();
                }
                read_later(settings_.pause);
            });
    }

    auto answered() -> void
    {
        if (is_lost())
        {
            recovered_at_ = telemetry::monotonic_now();
            loss_changed_(false);
        }
        failures_ = 0;
    }

    auto failed() -> void
    {
        ++failures_;
        if (failures_ == failures_until_lost)
        {
            loss_changed_(true);
        }
        auto const doublings = std::min(failures_ - 1, 4U);
        read_later(
            std::min(max_retry_delay, min_retry_delay * (1U << doublings)));
    }

    /// Spread, so that daemons don't read in step.
    auto read_later(duration delay) -> void
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
            if (has_newest_)
            {
                read_next();
            }
            else
            {
                read_newest();
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
    bool has_newest_ = false;
    bool is_pausing_ = false;
};

} // namespace sapphirereel::relay

#endif
