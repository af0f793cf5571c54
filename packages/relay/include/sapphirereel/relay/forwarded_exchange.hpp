/// \file
/// Defines the exchange of a request that this daemon forwards to a peer,
/// because it has no path to the replicas itself.
#ifndef SAPPHIREREEL_RELAY_FORWARDED_EXCHANGE_HPP
#define SAPPHIREREEL_RELAY_FORWARDED_EXCHANGE_HPP

#include "sapphirereel/relay/exchange.hpp"
#include "sapphirereel/relay/forward_target.hpp"
#include "sapphirereel/relay/stream_position.hpp"

namespace sapphirereel::relay {

/// Time by which a peer's deadline lies before this daemon's, so that the
/// peer's own final answer, which knows whether the request has run, arrives.
inline constexpr auto forward_margin = duration{std::chrono::milliseconds{10}};

/// Most peers that one request is forwarded to.
inline constexpr auto max_forwards = std::size_t{3};

/// Bytes buffered for a slow caller above which reading from the peer pauses.
inline constexpr auto max_unsent_forwarded_bytes = std::size_t{262'144};

/// Most bytes of events that a peer may repeat.
inline constexpr auto max_repeated_bytes = std::size_t{1} << 20U;

/// Serves one request through a peer. Kept alive by the handlers of its pending
/// operations.
template <message_format Format>
class forwarded_exchange
    : public std::enable_shared_from_this<forwarded_exchange<Format>>
{
public:
    /// Takes the request over from an exchange that nothing was sent for, or
    /// whose attempts may be repeated.
    /// `fallback` is a failure that a replica has answered, if one has.
    static auto start(
        exchange& from,
        std::optional<http::response> const& fallback = std::nullopt) -> void
    {
        from.hand_over();
        auto const self =
            std::shared_ptr<forwarded_exchange>{new forwarded_exchange{from}};
        self->fallback_ = fallback;
        self->begin();
    }

private:
    explicit forwarded_exchange(exchange const& from)
        : exchange_(from.state, from.caller, from.request, from.granted)
        , attempt_timer_(from.state.loop)
        , events_(exchange_.request.last_event)
    {
        // The peer counts the request. It was recorded for the service that was
        // drawn here.
        exchange_.withdraw_from_budget();
        exchange_.service = from.service;
        // A replica may have run the request, so that no refusal may follow.
        exchange_.runs = from.runs;
    }

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

    [[nodiscard]] auto may_run_again() const -> bool
    {
        return !exchange_.may_have_run() || may_repeat() ||
               next_position({may_resume(), exchange_.runs,
                              exchange_.granted.max_attempts,
                              events_.has_begun(), events_.last_number()})
                   .has_value();
    }

    [[nodiscard]] auto is_idempotent() const -> bool
    {
        return exchange_.granted.route->kind == request_kind::idempotent;
    }

    /// Whether the route permits another attempt of the whole request.
    [[nodiscard]] auto may_repeat() const -> bool
    {
        return is_idempotent() &&
               exchange_.runs < exchange_.granted.max_attempts;
    }

    auto attempt() -> void
    {
        auto const now = telemetry::monotonic_now();
        auto const left = exchange_.remaining(now) - forward_margin;
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
        auto const peer =
            tried_.size() < max_forwards
                ? exchange_.state.choose_peer(exchange_.service, tried_, now)
                : std::nullopt;
        if (!peer)
        {
            give_up(refusal_reason::no_replica, 502, "no peer is left");
            return;
        }
        // Replicas may have got the request from the peer before.
        if (!exchange_.may_send(now))
        {
            give_up(refusal_reason::retry_budget, 502, "no retry is left");
            return;
        }
        forward(*peer, left, now);
    }

    auto forward(listen_address const& peer, duration left, time_point now)
        -> void
    {
        auto& state = exchange_.state;
        peer_ = peer.ip;
        tried_.insert(peer.ip);
        ++state.forwarded[peer_];
        is_counted_ = true;
        state.metrics.add(relay_counter::forwards);
        state.log.request(
            exchange_.request.id, "forwarded",
            {{"peer", peer_},
             {"service", exchange_.service},
             {"route", exchange_.granted.route->name},
             {"configuration",
              exchange_.granted.table->configuration().version},
             {"attempt", tried_.size()},
             {"waited", now - exchange_.started_at},
             {"left", left}});
        head_.reset();
        body_.clear();
        if (may_resume())
        {
            splitter_ = {};
            repeated_bytes_ = 0;
            events_.begin_run();
            exchange_.request.last_event = events_.last_number();
        }
        ++exchange_.sends;
        permitted_attempts_ =
            attempts_for_peer(exchange_.granted.max_attempts, exchange_.runs);
        exchange_.runs += permitted_attempts_;
        auto options = call_options{};
        options.is_head_request = exchange_.request.method == "HEAD";
        options.request_id = exchange_.request.id;
        options.max_idle = max_idle_for_single_run;
        options.max_body_bytes = unlimited_body;
        auto const self = this->shared_from_this();
        call_ = state.pool.start(
            peer.endpoint(),
            Format::write_forwarded_request(
                exchange_.request, left,
                {{forwarded_by_name, state.self.str()},
                 {permitted_attempts_name,
                  std::to_string(permitted_attempts_)}}),
            options,
            {[self](http::response_head const& head) { self->head_ = head; },
             [self](std::string const& body) { self->receive(body); },
             [self] { self->completed(); },
             [self](call_failure const& why) { self->attempt_failed(why); },
             [self](http::response_head const& head) {
                 return self->examine(head);
             }});
        arm_attempt_timer();
    }

    /// Limits the time of the peer's attempts if another peer may follow.
    auto arm_attempt_timer() -> void
    {
        if (!may_repeat())
        {
            return;
        }
        auto const limit = std::chrono::duration_cast<duration>(
            exchange_.granted.route->target_latency * attempt_timeout_factor *
            permitted_attempts_);
        attempt_timer_.expires_after(limit + forward_margin);
        attempt_timer_.async_wait([self = this->shared_from_this(),
                                   call = call_](std::error_code error) {
            if (!error && self->call_ == call)
            {
                self->cancel_call();
                self->attempt_failed(
                    {call_stage::waiting, "the peer took too long"});
            }
        });
    }

    /// Decides what the peer's response proves. Only the peer's own word tells
    /// that no replica has run the request: a replica's refusal that the peer
    /// passes on need not be about it.
    auto examine(http::response_head const& head) -> response_use
    {
        auto answer = Format::read_response(head);
        answer.not_run =
            promises_not_executed(head.status) &&
            http::find(head.fields, refused_by_peer_name) ==
                std::optional{std::string_view{exchange_.request.id}};
        proof_ = proof_of(
            head.status, answer, {exchange_.request.id, {}, false, true});
        auto const is_unproved_success =
            proof_ == response_proof::nothing && head.status / 100 == 2;
        // A peer writes one response: none follows a stale one that it passes
        // on.
        return is_unproved_success || proof_ == response_proof::stale
                   ? response_use::fail
                   : response_use::deliver;
    }

    auto end_attempt() -> void
    {
        attempt_timer_.cancel();
        call_.reset();
        if (std::exchange(is_counted_, false))
        {
            --exchange_.state.forwarded[peer_];
        }
    }

    /// Whether the response is passed on as it comes.
    [[nodiscard]] auto is_stream() const -> bool
    {
        return exchange_.granted.route->kind == request_kind::stream &&
               head_->status / 100 == 2;
    }

    auto receive(std::string const& body) -> void
    {
        if (exchange_.finished)
        {
            return;
        }
        if (is_stream() && may_resume())
        {
            receive_events(body);
            return;
        }
        if (!is_stream())
        {
            body_ += body;
            if (body_.size() > default_max_body_bytes)
            {
                call_->cancel();
                attempt_failed(
                    {call_stage::answering, "the answer is too long"});
            }
            return;
        }
        pass_on(body);
        apply_backpressure();
    }

    auto pass_on(std::string_view bytes) -> void
    {
        if (!std::exchange(has_begun_, true))
        {
            exchange_.caller->begin_stream(
                head_->status, head_->reason, Format::response_fields(*head_));
        }
        exchange_.caller->stream(bytes);
    }

    [[nodiscard]] auto may_resume() const -> bool
    {
        return exchange_.granted.route->may_resume;
    }

    /// Passes the whole events of a resumable stream on, so that it can
    /// continue after the last one at another peer.
    auto receive_events(std::string const& body) -> void
    {
        for (auto const& event : splitter_.feed(body))
        {
            if (!receive_event(event))
            {
                return;
            }
        }
        if (splitter_.is_too_long())
        {
            cancel_call();
            attempt_failed({call_stage::answering, "an event does not end"});
            return;
        }
        apply_backpressure();
    }

    /// Returns false if the stream was aborted.
    auto receive_event(raw_event const& event) -> bool
    {
        switch (action_for(events_, event, true))
        {
        case block_action::forward:
            pass_on(event.bytes);
            events_.record_forwarded(
                event.number,
                telemetry::monotonic_now() - exchange_.started_at);
            return true;
        case block_action::pass_on:
            pass_on(event.bytes);
            return true;
        case block_action::drop:
            repeated_bytes_ += event.bytes.size();
            return repeated_bytes_ <= max_repeated_bytes ||
                   abort_at_event("the peer repeats events without end");
        case block_action::abort_after_gap:
            return abort_at_event("an event is missing");
        case block_action::abort_unnumbered:
            return abort_at_event("an event after a position has no number");
        }
        return true;
    }

    /// Returns false, as the stream does not go on.
    auto abort_at_event(std::string_view why) -> bool
    {
        cancel_call();
        end_attempt();
        give_up(refusal_reason::no_replica, 502, why);
        return false;
    }

    auto cancel_call() -> void
    {
        if (call_)
        {
            call_->cancel();
        }
    }

    auto apply_backpressure() -> void
    {
        auto const is_slow =
            exchange_.caller->unsent_bytes() > max_unsent_forwarded_bytes;
        if (!is_slow || !call_)
        {
            return;
        }
        call_->pause();
        exchange_.caller->on_drained([self = this->shared_from_this()] {
            if (self->call_)
            {
                self->call_->resume();
            }
        });
    }

    auto completed() -> void
    {
        end_attempt();
        if (exchange_.finished)
        {
            return;
        }
        if (proof_ == response_proof::not_executed)
        {
            exchange_.state.log.request(
                exchange_.request.id, "refused by a peer",
                {{"peer", peer_}, {"reason", body_}});
            exchange_.runs -= permitted_attempts_;
            refusal_ = http::response{*head_, body_};
            attempt();
            return;
        }
        if (proof_ == response_proof::nothing)
        {
            attempt_failed(
                {call_stage::answering,
                 "the peer does not say whether the request has run"});
            return;
        }
        if (is_cut_off())
        {
            attempt_failed(
                {call_stage::answering,
                 "the peer did not complete the stream"});
            return;
        }
        if (head_->status >= 500 && is_idempotent())
        {
            take_failure();
            return;
        }
        finish();
    }

    /// Asks another peer if that is permitted, else passes the failure on; a
    /// replica's own one goes before a peer's.
    auto take_failure() -> void
    {
        if (!fallback_ || Format::read_response(*head_).is_signed)
        {
            fallback_ = http::response{*head_, body_};
        }
        if (may_repeat())
        {
            attempt();
            return;
        }
        head_ = fallback_->head;
        body_ = fallback_->body;
        finish();
    }

    /// Whether a response to a resumable stream that was read whole does not
    /// complete the stream.
    [[nodiscard]] auto is_cut_off() const -> bool
    {
        return may_resume() &&
               ((has_begun_ && !is_stream()) || splitter_.has_partial());
    }

    auto finish() -> void
    {
        exchange_.finished = true;
        exchange_.deadline_timer.cancel();
        exchange_.state.metrics.add(relay_counter::answers);
        exchange_.state.log.request(
            exchange_.request.id, "answered by a peer",
            {{"peer", peer_},
             {"status", head_->status},
             {"after", telemetry::monotonic_now() - exchange_.started_at}});
        if (has_begun_)
        {
            exchange_.caller->finish_stream();
            return;
        }
        respond({*head_, body_});
    }

    auto respond(http::response const& answer) -> void
    {
        auto const needs_head_only = exchange_.request.method == "HEAD";
        auto fields = Format::response_fields(answer.head);
        std::erase_if(fields, [](http::field const& each) {
            return http::same_name(each.name, refused_by_peer_name);
        });
        exchange_.caller->respond(
            answer.head.status, std::move(fields),
            needs_head_only ? std::string{} : answer.body);
    }

    auto attempt_failed(call_failure const& why) -> void
    {
        end_attempt();
        if (exchange_.finished)
        {
            return;
        }
        exchange_.state.metrics.add(relay_counter::forwards_failed);
        exchange_.state.log.request(
            exchange_.request.id, "forward failed",
            {{"peer", peer_},
             {"why", why.detail},
             {"stage", static_cast<int>(why.stage)}});
        if (why.stage == call_stage::connecting)
        {
            exchange_.runs -= permitted_attempts_;
            --exchange_.sends;
        }
        if ((has_begun_ && !may_resume()) || !may_run_again())
        {
            give_up(refusal_reason::no_replica, 502, why.detail);
            return;
        }
        attempt();
    }

    /// Ends the request: a stream that has begun by aborting the connection, so
    /// that it does not look complete; with a peer's refusal, if that is all
    /// that came; as not executed, if that is certain.
    auto give_up(refusal_reason why, int status, std::string_view detail)
        -> void
    {
        exchange_.caller->on_disconnect({});
        if (has_begun_)
        {
            exchange_.finished = true;
            exchange_.deadline_timer.cancel();
            exchange_.state.metrics.add(relay_counter::streams_lost);
            exchange_.state.log.request(
                exchange_.request.id, "forwarded stream lost",
                {{"peer", peer_}, {"why", std::string{detail}}});
            exchange_.caller->abort();
            return;
        }
        if (fallback_)
        {
            respond_last(*fallback_);
            return;
        }
        if (exchange_.may_have_run())
        {
            exchange_.fail(status, detail);
            return;
        }
        if (refusal_)
        {
            respond_last(*refusal_);
            return;
        }
        exchange_.refuse(why);
    }

    /// Ends the request with a peer's earlier response.
    auto respond_last(http::response const& answer) -> void
    {
        exchange_.finished = true;
        exchange_.deadline_timer.cancel();
        respond(answer);
    }

    auto interrupted(interruption why) -> void
    {
        if (exchange_.finished)
        {
            return;
        }
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
        if (call_)
        {
            call_->cancel();
        }
        end_attempt();
        exchange_.state.metrics.add(relay_counter::callers_gone);
        exchange_.state.log.request(
            exchange_.request.id, "caller disconnected",
            {{"peer", peer_},
             {"after", telemetry::monotonic_now() - exchange_.started_at}});
    }

    exchange exchange_;
    asio::steady_timer attempt_timer_;
    std::shared_ptr<upstream_call> call_;
    /// The peer that has the request, and all that had it.
    std::string peer_;
    std::set<std::string> tried_;
    bool is_counted_ = false;
    std::optional<http::response_head> head_;
    /// What the peer's response proves.
    response_proof proof_ = response_proof::nothing;
    std::string body_;
    /// The events of a resumable stream.
    event_splitter splitter_;
    event_sequence events_;
    /// Bytes of events that the caller had received already.
    std::size_t repeated_bytes_ = 0;
    /// Whether a part of the response was passed on.
    bool has_begun_ = false;
    /// Attempts that the peer that has the request was permitted.
    std::uint32_t permitted_attempts_ = 0;
    /// The last refusal of a peer.
    std::optional<http::response> refusal_;
    /// A failure of a replica or a peer, passed on if no other attempt gets a
    /// better response.
    std::optional<http::response> fallback_;
};

} // namespace sapphirereel::relay

#endif
