/// \file
/// Defines the stop of a run whose stream was lost, before the run goes on at
/// another replica: its replica is ordered to stop it and to keep its memory,
/// and, where it is silent, asked whether it has the run at all.
#ifndef SAPPHIREREEL_RELAY_LOST_RUN_STOPPER_HPP
#define SAPPHIREREEL_RELAY_LOST_RUN_STOPPER_HPP

#include "sapphirereel/relay/lost_run_end.hpp"
#include "sapphirereel/relay/run_migrator.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sapphirereel::relay {

/// Stops one lost run. Owned by the run's exchange.
template <message_format Format>
class lost_run_stopper
{
public:
    /// Called with what became of the run; with the stopped run if it was
    /// stopped.
    using ended_handler =
        std::function<void(lost_run_end, std::optional<stopped_run> const&)>;

    lost_run_stopper(relay_state& state, std::string request_id)
        : state_(state)
        , request_id_(std::move(request_id))
        , timer_(state.loop)
    {}

    /// Orders `source`, which was sent the request at `sent_at`, to stop the
    /// run; its memory goes to `destination`, which is another replica. Does
    /// nothing once `owner` is destroyed.
    auto start(
        std::weak_ptr<void> owner,
        replica const& source,
        replica const& destination,
        time_point sent_at,
        time_point now,
        ended_handler ended) -> void
    {
        owner_ = std::move(owner);
        source_ = source;
        destination_ = destination;
        began_ = now;
        inquiry_.emplace(now, lost_run{request_id_, sent_at});
        ended_ = std::move(ended);
        state_.metrics.add(relay_counter::lost_runs_asked);
        order();
    }

    auto cancel() -> void
    {
        inquiry_.reset();
        ended_ = {};
        timer_.cancel();
        for (auto const& pending : std::exchange(calls_, {}))
        {
            pending->cancel();
        }
    }

    [[nodiscard]] auto is_active() const -> bool
    {
        return inquiry_.has_value();
    }

private:
    /// Orders the replica to stop the run. Earlier orders stay pending: they
    /// may be answered yet.
    auto order() -> void
    {
        auto const now = telemetry::monotonic_now();
        auto const left = inquiry_->time_left(now);
        if (left <= duration{0})
        {
            end(inquiry_->outcome_without_answer(), std::nullopt);
            return;
        }
        auto const permitted =
            state_.gate.take(source_.id, permit_use::running, now);
        if (permitted != permission::granted)
        {
            after(inquiry_->next_delay(), [this] { order(); });
            return;
        }
        ++orders_;
        calls_.push_back(send_migration_request<Format>(
            state_, source_, {request_id_, host_and_port(destination_), true},
            left, [this, owner = owner_](migration_result const& result) {
                auto const held = owner.lock();
                if (held && is_active())
                {
                    take(result);
                }
            }));
        after(silence_until_report, [this] { ask_for_report(); });
    }

    /// Asks the replica, which has been silent, whether it has the run.
    auto ask_for_report() -> void
    {
        auto const now = telemetry::monotonic_now();
        auto const limit = std::min(run_report_limit, inquiry_->time_left(now));
        ++reports_;
        state_.metrics.add(relay_counter::lost_run_reports);
        calls_.push_back(send_run_report_request<Format>(
            state_, source_, limit,
            [this, owner = owner_, now](run_report_result const& result) {
                auto const held = owner.lock();
                if (held && is_active())
                {
                    take(result, now);
                }
            }));
    }

    template <class Action>
    auto after(duration delay, Action action) -> void
    {
        timer_.expires_after(delay);
        timer_.async_wait(
            [this, owner = owner_, action](std::error_code error) {
                // Keeps the owner alive until the function has returned.
                auto const held = owner.lock();
                if (!error && held && is_active())
                {
                    action();
                }
            });
    }

    auto take(migration_result const& result) -> void
    {
        auto const now = telemetry::monotonic_now();
        auto const what = inquiry_->record(result, now);
        if (!what)
        {
            after(inquiry_->next_delay(), [this] { order(); });
            return;
        }
        if (*what != lost_run_end::stopped)
        {
            end(*what, std::nullopt);
            return;
        }
        auto const is_copied =
            result.response.outcome == migration_outcome::copied;
        end(*what, stopped_run{
                       result.response.handle, result.response.events_made,
                       is_copied ? destination_ : source_, now});
    }

    auto take(run_report_result const& result, time_point asked_at) -> void
    {
        auto const what =
            inquiry_->record(result, asked_at, telemetry::monotonic_now());
        if (what)
        {
            end(*what, std::nullopt);
            return;
        }
        after(inquiry_->next_delay(), [this] { order(); });
    }

    auto end(lost_run_end what, std::optional<stopped_run> const& run) -> void
    {
        if (what == lost_run_end::stopped)
        {
            state_.metrics.add(relay_counter::lost_runs_stopped);
        }
        if (what == lost_run_end::unknown)
        {
            state_.metrics.add(relay_counter::lost_runs_unknown);
        }
        state_.log.request(
            request_id_, "asked whether a lost run has ended",
            {{"replica", source_.id},
             {"end", std::string{name_of(what)}},
             {"orders", orders_},
             {"reports", reports_},
             {"after", telemetry::monotonic_now() - began_}});
        auto const ended = std::exchange(ended_, {});
        cancel();
        ended(what, run);
    }

    relay_state& state_;
    std::string request_id_;
    asio::steady_timer timer_;
    std::weak_ptr<void> owner_;
    /// Orders and questions, also those that have been answered.
    std::vector<std::shared_ptr<buffered_call>> calls_;
    std::optional<lost_run_inquiry> inquiry_;
    ended_handler ended_;
    replica source_;
    replica destination_;
    time_point began_{};
    std::uint64_t orders_ = 0;
    std::uint64_t reports_ = 0;
};

} // namespace sapphirereel::relay

#endif
