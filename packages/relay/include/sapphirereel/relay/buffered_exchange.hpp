/// \file
/// Defines the exchange of a request whose response is buffered completely
/// before it is forwarded.
#ifndef SAPPHIREREEL_RELAY_BUFFERED_EXCHANGE_HPP
#define SAPPHIREREEL_RELAY_BUFFERED_EXCHANGE_HPP

#include "sapphirereel/relay/exchange.hpp"
#include "sapphirereel/relay/forwarded_exchange.hpp"

namespace sapphirereel::relay {

/// Serves one request. Kept alive by the handlers of its pending operations.
template <message_format Format>
class buffered_exchange
    : public std::enable_shared_from_this<buffered_exchange<Format>>
{
public:
    static auto start(
        relay_state& state,
        std::shared_ptr<caller_session> caller,
        caller_request request,
        grant granted) -> void
    {
        auto const self =
            std::shared_ptr<buffered_exchange>{new buffered_exchange{
                state, std::move(caller), std::move(request),
                std::move(granted)}};
        self->begin();
    }

private:
    buffered_exchange(
        relay_state& state,
        std::shared_ptr<caller_session> caller,
        caller_request request,
        grant granted)
        : exchange_(
              state, std::move(caller), std::move(request), std::move(granted))
        , attempt_timer_(state.loop)
    {}

    auto begin() -> void
    {
        auto const self = this->shared_from_this();
        exchange_.set_handlers(
            self, [self] { self->caller_disconnected(); },
            [weak = this->weak_from_this()](interruption why) {
                if (auto const held = weak.lock())
                {
                    held->interrupted(why);
                }
            });
        attempt();
    }

    [[nodiscard]] auto is_idempotent() const -> bool
    {
        return exchange_.granted.route->kind == request_kind::idempotent;
    }

    [[nodiscard]] auto may_run_again() const -> bool
    {
        return exchange_.runs == 0 ||
               (is_idempotent() &&
                exchange_.runs < exchange_.granted.max_attempts);
    }

    /// Whether a peer may be given the request. One that may have crashed a
    /// replica is not taken further.
    [[nodiscard]] auto may_run_elsewhere() const -> bool
    {
        return may_run_again() && !has_ended_connection_;
    }

    auto attempt() -> void
    {
        if (exchange_.is_poisoned())
        {
            interrupted(interruption::poison);
            return;
        }
        auto const now = telemetry::monotonic_now();
        auto const left = exchange_.remaining(now);
        if (left < min_attempt_time)
        {
            give_up(refusal_reason::deadline, 504, "no time is left");
            return;
        }
        if (exchange_.is_too_late_to_begin(now))
        {
            interrupted(interruption::stop);
            return;
        }
        if (exchange_.refuse_if_evacuated())
        {
            return;
        }
        if (may_run_elsewhere() && exchange_.must_forward(now))
        {
            forward(now);
            return;
        }
        auto const chosen = exchange_.choose(
            {exchange_.service, 0, 0, exchange_.excluded, {}}, std::nullopt,
            now);
        if (!chosen)
        {
            handle_no_replica(now);
            return;
        }
        auto const to = address_of(chosen->target);
        if (!to)
        {
            exchange_.excluded.insert(chosen->target.id);
            attempt();
            return;
        }
        if (!exchange_.may_send(now))
        {
            give_up(refusal_reason::retry_budget, 502, "no retry is left");
            return;
        }
        auto const permitted = exchange_.state.gate.take(
            chosen->target.id, permit_use::request, now);
        if (permitted != permission::granted)
        {
            handle_no_replica(now);
            return;
        }
        send(*chosen, *to, left);
    }

    /// Has a peer serve the request; a retry if a replica had it already.
    auto forward(time_point now) -> void
    {
        if (!exchange_.may_send(now))
        {
            give_up(refusal_reason::retry_budget, 502, "no retry is left");
            return;
        }
        forwarded_exchange<Format>::start(exchange_, fallback_);
    }

    /// Waits if a replica may take the request soon, else ends it.
    auto handle_no_replica(time_point now) -> void
    {
        if (exchange_.may_wait_for_open_replica(now))
        {
            attempt_timer_.expires_after(open_replica_poll_interval);
            attempt_timer_.async_wait(
                [self = this->shared_from_this()](std::error_code error) {
                    if (!error && !self->exchange_.finished)
                    {
                        self->attempt();
                    }
                });
            return;
        }
        // New connections may fail although older ones still carry responses.
        if (exchange_.is_out_of_reach(now))
        {
            forwarded_exchange<Format>::start(exchange_);
            return;
        }
        if (!fallback_ && exchange_.refuse_if_none_takes_it(now))
        {
            return;
        }
        give_up(refusal_reason::no_replica, 502, "no replica is left");
    }

    auto send(
        placement const& chosen,
        asio::ip::tcp::endpoint const& to,
        duration left) -> void
    {

        target_ = chosen.target;
        sent_at_ = telemetry::monotonic_now();
        exchange_.record_path_attempt(sent_at_);
        exchange_.state.replicas.add(target_.id, one_request);
        is_counted_ = true;
        exchange_.log_step(
            "sent", {{"replica", target_.id},
                     {"service", exchange_.service},
                     {"route", exchange_.granted.route->name},
                     {"configuration",
                      exchange_.granted.table->configuration().version},
                     {"score", chosen.score},
                     {"candidates", chosen.candidates},
                     {"unseen", chosen.unseen_requests},
                     {"attempt", exchange_.sends + 1},
                     {"left", left}});
        head_.reset();
        body_.clear();
        proof_ = response_proof::nothing;
        has_replica_responded_ = false;
        auto options = call_options{};
        options.is_head_request = exchange_.request.method == "HEAD";
        options.request_id = exchange_.request.id;
        if (!is_idempotent())
        {
            options.max_idle = max_idle_for_single_run;
        }
        ++exchange_.sends;
        ++exchange_.runs;
        auto const self = this->shared_from_this();
        call_ = exchange_.state.pool.start(
            to,
            Format::write_call(
                exchange_.request,
                {target_.id, left, exchange_.granted.customer, {}, {}}),
            options,
            {[self](http::response_head const& head) { self->head_ = head; },
             [self](std::string const& body) { self->body_ += body; },
             [self] { self->answered(); },
             [self](call_failure const& why) { self->attempt_failed(why); },
             [self](http::response_head const& head) {
                 return self->examine(head);
             },
             [self] {
                 return self->proof_ == response_proof::succeeded;
             }});
        arm_attempt_timer(left);
    }

    auto examine(http::response_head const& head) -> response_use
    {
        has_replica_responded_ = true;
        proof_ = exchange_.examine(
            target_, head, Format::read_response(head), *call_);
        return use_of(proof_);
    }

    /// Limits the time of an attempt if another one may follow.
    auto arm_attempt_timer(duration left) -> void
    {
        if (!is_idempotent() || !may_run_again())
        {
            return;
        }
        auto const limit = std::chrono::duration_cast<duration>(
            exchange_.granted.route->target_latency * attempt_timeout_factor);
        if (limit >= left)
        {
            return;
        }
        attempt_timer_.expires_after(limit);
        attempt_timer_.async_wait(
            [self = this->shared_from_this()](std::error_code error) {
                if (!error && self->call_)
                {
                    self->call_->cancel();
                    self->attempt_failed(
                        {call_stage::waiting, "the replica took too long"});
                }
            });
    }

    auto end_attempt() -> void
    {
        attempt_timer_.cancel();
        call_.reset();
        if (std::exchange(is_counted_, false))
        {
            exchange_.state.replicas.remove(target_.id, one_request);
        }
    }

    auto answered() -> void
    {
        end_attempt();
        if (exchange_.finished)
        {
            return;
        }
        auto const now = telemetry::monotonic_now();
        auto const answer = Format::read_response(*head_);
        record_replica_state(exchange_.state, target_, answer, sent_at_, now);
        if (proof_ == response_proof::not_executed)
        {
            rejected(now);
            return;
        }
        auto const is_success = proof_ == response_proof::succeeded;
        if (!is_success && proof_ != response_proof::failed)
        {
            end_without_result(
                "the answer is not the replica's answer to this request");
            return;
        }
        exchange_.state.replicas.succeeded(target_.id);
        exchange_.record_answer(now);
        if (is_success)
        {
            exchange_.state.replicas.record_service_time(
                target_.service, now - sent_at_);
            exchange_.record_output(now);
        }
        auto const may_retry = head_->status >= 500 && is_idempotent() &&
                               exchange_.runs < exchange_.granted.max_attempts;
        if (may_retry)
        {
            fallback_ = http::response{*head_, body_};
            exchange_.excluded.insert(target_.id);
            attempt();
            return;
        }
        deliver({std::move(*head_), std::move(body_)}, now);
    }

    /// Handles a response stating that the replica did not execute the request.
    auto rejected(time_point now) -> void
    {
        --exchange_.runs;
        exchange_.state.metrics.add(relay_counter::replica_rejections);
        if (head_->status == 421)
        {
            exchange_.state.replicas.failed(target_.id, now);
        }
        exchange_.excluded.insert(target_.id);
        attempt();
    }

    auto attempt_failed(call_failure const& why) -> void
    {
        end_attempt();
        if (exchange_.finished)
        {
            return;
        }
        auto const now = telemetry::monotonic_now();
        exchange_.state.replicas.failed(target_.id, now);
        if (why.shows_path)
        {
            exchange_.record_path_response();
        }
        else if (!has_replica_responded_)
        {
            exchange_.record_path_failure(target_.id, now);
        }
        exchange_.attribute_crash(target_, why, has_replica_responded_, now);
        exchange_.state.log.request(
            exchange_.request.id, "attempt failed",
            {{"replica", target_.id},
             {"why", why.detail},
             {"stage", static_cast<int>(why.stage)}});
        if (why.stage == call_stage::connecting)
        {
            exchange_.state.metrics.add(relay_counter::connections_failed);
            --exchange_.runs;
            --exchange_.sends;
            exchange_.has_failed_to_connect = true;
        }
        has_ended_connection_ =
            has_ended_connection_ ||
            (why.connection_ended && why.stage != call_stage::connecting);
        end_without_result(why.detail);
    }

    /// Makes another attempt, or gives up where the request may not run again.
    auto end_without_result(std::string_view why) -> void
    {
        exchange_.excluded.insert(target_.id);
        if (!may_run_again())
        {
            give_up(refusal_reason::no_replica, 502, why);
            return;
        }
        attempt();
    }

    /// Ends the request: with an earlier response of a replica, if there is
    /// one; as not executed, if that is certain; else with an error status that
    /// does not state whether it was executed.
    auto give_up(refusal_reason why, int status, std::string_view detail)
        -> void
    {
        if (fallback_)
        {
            deliver(std::move(*fallback_), telemetry::monotonic_now());
            return;
        }
        exchange_.caller->on_disconnect({});
        if (exchange_.may_have_run())
        {
            exchange_.fail(status, detail);
        }
        else
        {
            exchange_.refuse(why);
        }
    }

    auto deliver(http::response answer, time_point now) -> void
    {
        if (std::exchange(exchange_.finished, true))
        {
            return;
        }
        exchange_.deadline_timer.cancel();
        exchange_.state.metrics.add(relay_counter::answers);
        exchange_.state.metrics.observe(
            relay_timing::answer, now - exchange_.started_at);
        exchange_.log_step(
            "answered", {{"replica", target_.id},
                         {"status", answer.head.status},
                         {"bytes", answer.body.size()},
                         {"after", now - exchange_.started_at}});
        auto fields = Format::response_fields(answer.head);
        auto const needs_head_only = exchange_.request.method == "HEAD";
        exchange_.caller->respond(
            answer.head.status, std::move(fields),
            needs_head_only ? std::string{} : answer.body);
    }

    /// Records that the replica has not responded to an attempt that ends now
    /// for another reason.
    auto record_silence() -> void
    {
        auto const now = telemetry::monotonic_now();
        if (call_ && !has_replica_responded_ &&
            now - sent_at_ >= min_silence_of_failure)
        {
            exchange_.record_path_failure(target_.id, now);
        }
    }

    auto interrupted(interruption why) -> void
    {
        if (exchange_.finished)
        {
            return;
        }
        record_silence();
        if (call_)
        {
            call_->cancel();
        }
        end_attempt();
        auto const outcome = exchange_.outcome_of(why);
        give_up(outcome.refusal, outcome.status, outcome.detail);
    }

    auto caller_disconnected() -> void
    {
        if (std::exchange(exchange_.finished, true))
        {
            return;
        }
        exchange_.deadline_timer.cancel();
        record_silence();
        if (call_)
        {
            call_->cancel();
        }
        end_attempt();
        exchange_.state.metrics.add(relay_counter::callers_gone);
        exchange_.state.log.request(
            exchange_.request.id, "caller disconnected",
            {{"replica", target_.id},
             {"after", telemetry::monotonic_now() - exchange_.started_at}});
    }

    static constexpr auto one_request = replica_load{1, 0, 0};

    exchange exchange_;
    asio::steady_timer attempt_timer_;
    std::shared_ptr<upstream_call> call_;
    replica target_;
    time_point sent_at_{};
    bool is_counted_ = false;
    /// Whether a replica has ended a connection that carried the request.
    bool has_ended_connection_ = false;
    std::optional<http::response_head> head_;
    /// Whether the replica has written a response since the attempt began.
    bool has_replica_responded_ = false;
    /// What the response proves.
    response_proof proof_ = response_proof::nothing;
    std::string body_;
    /// A replica's 5xx response, forwarded if no other attempt gets a better
    /// one.
    std::optional<http::response> fallback_;
};

} // namespace sapphirereel::relay

#endif
