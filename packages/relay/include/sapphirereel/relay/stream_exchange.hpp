/// \file
/// Defines the exchange of a stream: events are passed on whole as they come,
/// and a run goes on at another replica when its own one leaves.
#ifndef SAPPHIREREEL_RELAY_STREAM_EXCHANGE_HPP
#define SAPPHIREREEL_RELAY_STREAM_EXCHANGE_HPP

#include "sapphirereel/relay/event_sequence.hpp"
#include "sapphirereel/relay/event_splitter.hpp"
#include "sapphirereel/relay/exchange.hpp"
#include "sapphirereel/relay/run_backup.hpp"
#include "sapphirereel/relay/run_mover.hpp"
#include "sapphirereel/relay/stream_load.hpp"

namespace sapphirereel::relay {

/// Bytes that wait for a slow caller before its replica is no longer read.
inline constexpr auto most_unsent_bytes = std::size_t{262'144};

/// Time between two looks for a replica with room, and the longest wait.
inline constexpr auto room_interval = duration{std::chrono::milliseconds{40}};
inline constexpr auto longest_wait_for_room =
    duration{std::chrono::milliseconds{5'000}};

/// Serves one stream. Owned by the handlers of what it waits for.
template <message_format Format>
class stream_exchange final
    : public leaving_listener,
      public std::enable_shared_from_this<stream_exchange<Format>>
{
public:
    static auto start(
        relay_state& state,
        std::shared_ptr<caller_session> caller,
        caller_request request,
        grant granted) -> void
    {
        auto const self = std::shared_ptr<stream_exchange>{new stream_exchange{
            state, std::move(caller), std::move(request), std::move(granted)}};
        self->begin();
    }

    ~stream_exchange() override
    {
        unwatch();
    }
    stream_exchange(stream_exchange const&) = delete;
    auto operator=(stream_exchange const&) -> stream_exchange& = delete;

    auto replica_leaves(time_point now, double tokens_ahead) -> double override
    {
        if (all_.over || is_continuing_ || mover_.is_active() || stopped_)
        {
            target_left_ = is_continuing_;
            return 0;
        }
        if (backup_.is_sound())
        {
            // The run goes on from its copy when the replica ends it. That
            // needs nothing of the leaving replica's link.
            all_.state.log.request(
                all_.request.id, "stays until its replica ends it",
                {{"replica", target_.id}, {"copy_at", backup_.holder()->id}});
            return 0;
        }
        auto const traits = all_.engine();
        if (!traits || !traits->moves)
        {
            return 0;
        }
        // One after the other: were all copied at once, the last part of each
        // would queue behind the copies of the others.
        mover_.start(
            this->weak_from_this(), target_, now,
            move_time(*traits, tokens_ahead));
        return held_tokens();
    }

private:
    stream_exchange(
        relay_state& state,
        std::shared_ptr<caller_session> caller,
        caller_request request,
        grant granted)
        : all_(state, std::move(caller), std::move(request), std::move(granted))
        , load_(state.replicas)
        , backup_(state.replicas)
        , mover_(state, all_.request.id, mover_callbacks())
        , room_timer_(state.loop)
        , size_(all_.request.generation.value_or(generation_size{}))
        , expected_output_(
              relay::expected_output(state.output_lengths.curve(kind()), size_))
    {}

    /// Streams of one route are taken to be alike in length.
    [[nodiscard]] auto kind() const -> stream_kind
    {
        return {service_name{all_.granted.route->name}, customer_id{}};
    }

    auto begin() -> void
    {
        auto const self = this->shared_from_this();
        all_.watch(
            [self] { self->caller_gone(); },
            [self] { self->deadline_passed(); });
        attempt();
    }

    [[nodiscard]] auto need() const -> placement_need
    {
        return {
            all_.service,
            counted_memory(size_, expected_output_, output_tokens()),
            size_.prompt,
            all_.excluded,
            {}};
    }

    /// Memory that the run holds, in tokens.
    [[nodiscard]] auto held_tokens() const -> double
    {
        return size_.prompt + output_tokens();
    }

    [[nodiscard]] auto output_tokens() const -> double
    {
        auto const traits = all_.engine();
        return static_cast<double>(events_.count()) *
               (traits ? traits->tokens_per_event : 1);
    }

    auto attempt() -> void
    {
        auto const now = telemetry::monotonic_now();
        if (all_.remaining(now) < least_time_for_attempt)
        {
            give_up(refusal_reason::deadline, 504, "no time is left");
            return;
        }
        auto const chosen =
            all_.state.replicas.choose(need(), all_.engine(), now);
        auto const to = chosen ? address_of(chosen->target) : std::nullopt;
        if (!to)
        {
            give_up(refusal_reason::no_replica, 502, "no replica is left");
            return;
        }
        auto const waited = now - all_.began;
        auto& pace = all_.state.pace_of(all_.service);
        auto const tokens_ahead = chosen->unread_tokens + size_.prompt;
        auto const prospect = start_prospect{
            waited, all_.granted.route->target_latency,
            pace.time_for(tokens_ahead), chosen->memory_share};
        if (!may_start(prospect))
        {
            wait_for_room(waited);
            return;
        }
        if (!all_.may_send_again(now))
        {
            give_up(refusal_reason::retry_budget, 502, "no retry is left");
            return;
        }
        log_sent(*chosen, prospect);
        sent_at_ = now;
        tokens_ahead_ = tokens_ahead;
        ++all_.sends;
        ++all_.runs;
        send(chosen->target, *to, std::nullopt);
    }

    /// Looks again soon; gives up where that would take too long.
    auto wait_for_room(duration waited) -> void
    {
        if (waited >= longest_wait_for_room)
        {
            give_up(refusal_reason::overload, 502, "no replica has room");
            return;
        }
        auto spread = std::uniform_real_distribution<double>{0.6, 1.4};
        room_timer_.expires_after(std::chrono::duration_cast<duration>(
            room_interval * spread(all_.state.random)));
        room_timer_.async_wait(
            [self = this->shared_from_this()](std::error_code error) {
                if (!error && !self->all_.over)
                {
                    self->attempt();
                }
            });
    }

    auto log_sent(placement const& chosen, start_prospect const& prospect)
        -> void
    {
        all_.state.log.request(
            all_.request.id, "sent",
            {{"replica", chosen.target.id},
             {"service", all_.service},
             {"route", all_.granted.route->name},
             {"configuration", all_.granted.table->configuration().version},
             {"score", chosen.score},
             {"memory_share", chosen.memory_share},
             {"candidates", chosen.candidates},
             {"prompt_tokens", size_.prompt},
             {"expected_tokens", expected_output_},
             {"attempt", all_.sends + 1},
             {"unread_tokens", chosen.unread_tokens},
             {"expected_start", prospect.expected_start},
             {"waited", prospect.waited},
             {"left", all_.remaining(all_.began + prospect.waited)}});
    }

    /// Sends the request, or its continuation, to a replica.
    auto send(
        replica const& target,
        asio::ip::tcp::endpoint const& to,
        std::optional<continuation> resumed) -> void
    {
        auto const now = telemetry::monotonic_now();
        unwatch();
        target_ = target;
        watch();
        auto const memory = need().memory_tokens;
        splitter_ = {};
        head_.reset();
        source_ended_ = false;
        backup_.choose({need(), target_, expected_output_}, all_.engine(), now);
        load_.place(
            target.id, {1, memory, resumed ? 0 : size_.prompt,
                        backup_.holder() ? 0 : held_tokens()});
        all_.state.work_placed();
        auto const backup_address =
            backup_.holder() ? std::optional{host_and_port(*backup_.holder())}
                             : std::nullopt;
        auto const self = this->shared_from_this();
        call_ = all_.state.pool.start(
            to,
            Format::write_call(
                all_.request,
                {target.id, all_.remaining(now), all_.granted.customer,
                 std::move(resumed), backup_address}),
            {},
            {[self](http::response_head const& head) { self->answered(head); },
             [self](std::string const& body) { self->receive(body); },
             [self] { self->source_completed(); },
             [self](call_failure const& why) {
                 self->source_failed(why);
             }});
    }

    /// Goes on from the copy of a run whose replica is lost.
    auto continue_from_backup(time_point now) -> bool
    {
        auto const* const held = backup_.listed_holder();
        auto const to = held ? address_of(*held) : std::nullopt;
        if (!to || !events_.last_number())
        {
            return false;
        }
        auto const next = replica{*held};
        all_.state.log.request(
            all_.request.id, "goes on from its copy",
            {{"replica", target_.id},
             {"copy_at", next.id},
             {"events", events_.count()},
             {"silent", silence(now)}});
        all_.excluded.insert(target_.id);
        mover_.cancel();
        stopped_.reset();
        is_continuing_ = true;
        send(
            next, *to,
            continuation{
                fmt::format("{}/{}", host_and_port(next), all_.request.id),
                *events_.last_number()});
        return true;
    }

    auto watch() -> void
    {
        all_.state.streams[target_.id].insert(this);
    }

    auto unwatch() -> void
    {
        auto const found = all_.state.streams.find(target_.id);
        if (found == all_.state.streams.end())
        {
            return;
        }
        found->second.erase(this);
        if (found->second.empty())
        {
            all_.state.streams.erase(found);
        }
    }

    auto answered(http::response_head const& head) -> void
    {
        head_ = head;
        auto const answer = Format::read_answer(head);
        auto const now = telemetry::monotonic_now();
        if (answer.load)
        {
            all_.state.replicas.stated(target_.id, *answer.load, now);
        }
        is_success_ = head.status / 100 == 2 && answer.is_signed &&
                      answer.request_id == all_.request.id;
        not_run_ = answer.not_run;
        is_signed_ = answer.is_signed;
    }

    auto receive(std::string const& body) -> void
    {
        if (!is_success_)
        {
            failure_body_ += body;
            return;
        }
        auto const now = telemetry::monotonic_now();
        for (auto const& event : splitter_.feed(body))
        {
            pass_on(event, now);
            if (all_.over)
            {
                return;
            }
        }
        check_stopped();
    }

    auto pass_on(raw_event const& event, time_point now) -> void
    {
        auto const place = events_.place_of(event.number);
        if (place == event_place::repeated)
        {
            return;
        }
        if (place == event_place::after_gap)
        {
            lose("an event is missing");
            return;
        }
        if (place == event_place::first)
        {
            begin_answer(now);
        }
        else
        {
            all_.state.metrics.observe(relay_timing::pause, silence(now));
        }
        note_resumed(now);
        events_.passed(event.number, now - all_.began);
        all_.state.metrics.add(relay_counter::stream_events);
        load_.grow(
            counted_memory(size_, expected_output_, output_tokens()),
            held_tokens());
        all_.caller->stream(event.bytes);
        limit_backlog();
    }

    /// Passes the head of the answer on, and notes how long the prompt took.
    auto begin_answer(time_point now) -> void
    {
        all_.caller->begin_stream(
            head_->status, head_->reason, Format::answer_fields(*head_));
        all_.state.metrics.observe(relay_timing::first_event, now - all_.began);
        all_.state.pace_of(all_.service)
            .observed(tokens_ahead_, now - sent_at_);
        load_.prompt_read();
        all_.state.load_changed();
    }

    /// Time since the last event that the caller has got.
    [[nodiscard]] auto silence(time_point now) const -> duration
    {
        return now - all_.began - events_.last_after();
    }

    /// Notes the pause that a move made, at the first event after it.
    auto note_resumed(time_point now) -> void
    {
        if (!std::exchange(is_continuing_, false))
        {
            return;
        }
        all_.state.metrics.add(relay_counter::streams_moved);
        all_.state.metrics.observe(relay_timing::move_pause, silence(now));
        all_.state.log.request(
            all_.request.id, "went on after a move",
            {{"replica", target_.id},
             {"pause", silence(now)},
             {"events", events_.count()}});
        if (target_left_)
        {
            target_left_ = false;
            replica_leaves(now, 0);
        }
    }

    /// Stops reading from the replica while the caller is behind.
    auto limit_backlog() -> void
    {
        if (all_.caller->unsent() <= most_unsent_bytes || !call_)
        {
            return;
        }
        call_->pause();
        all_.caller->on_drained([self = this->shared_from_this()] {
            if (self->call_)
            {
                self->call_->resume();
            }
        });
    }

    auto source_completed() -> void
    {
        call_.reset();
        if (all_.over)
        {
            return;
        }
        auto const now = telemetry::monotonic_now();
        if (!is_success_)
        {
            not_served(now);
            return;
        }
        if (splitter_.has_partial())
        {
            lose("the stream ended within an event");
            return;
        }
        all_.state.replicas.succeeded(target_.id);
        all_.note_answered(now);
        finish(now);
    }

    /// The replica answered with something else than a stream.
    auto not_served(time_point now) -> void
    {
        load_.release();
        if (not_run_)
        {
            all_.state.metrics.add(relay_counter::replica_rejections);
            all_.state.log.request(
                all_.request.id, "rejected by the replica",
                {{"replica", target_.id}, {"status", head_->status}});
            retry_not_run(now);
            return;
        }
        if (events_.has_begun())
        {
            lose("the run was not continued");
            return;
        }
        auto const is_its_failure = is_signed_ && head_->status >= 300;
        if (!is_its_failure)
        {
            give_up(
                refusal_reason::no_replica, 502,
                "the answer is not the replica's answer to this request");
            return;
        }
        end(now);
        all_.state.metrics.add(relay_counter::answers);
        all_.caller->respond(
            head_->status, Format::answer_fields(*head_), failure_body_);
    }

    auto retry_not_run(time_point now) -> void
    {
        if (is_continuing_)
        {
            continue_failed();
            return;
        }
        --all_.runs;
        if (head_ && head_->status == 421)
        {
            all_.state.replicas.failed(target_.id, now);
        }
        all_.excluded.insert(target_.id);
        failure_body_.clear();
        attempt();
    }

    auto source_failed(call_failure const& why) -> void
    {
        call_.reset();
        if (all_.over)
        {
            return;
        }
        auto const now = telemetry::monotonic_now();
        if (mover_.is_stopping() || stopped_)
        {
            source_ended_ = true;
            check_stopped();
            return;
        }
        all_.state.replicas.failed(target_.id, now);
        all_.note_crash(target_, why, now);
        all_.state.log.request(
            all_.request.id, "replica lost",
            {{"replica", target_.id},
             {"why", why.detail},
             {"stage", static_cast<int>(why.stage)},
             {"events", events_.count()}});
        if (why.stage == call_stage::connecting)
        {
            all_.state.metrics.add(relay_counter::connections_failed);
            if (is_continuing_)
            {
                continue_failed();
                return;
            }
            --all_.sends;
            retry_not_run(now);
            return;
        }
        if (!continue_from_backup(now))
        {
            lose(why.detail);
        }
    }

    // Moving to another replica.

    auto mover_callbacks() -> typename run_mover<Format>::callbacks
    {
        return {
            [this] { return choose_destination(); },
            [this](stopped_run const& run) {
                stopped_ = run;
                check_stopped();
            },
            [this](bool was_stopping) { not_moved(was_stopping); },
            [this](replica const& which) {
                all_.excluded.insert(which.id);
            }};
    }

    auto choose_destination() -> std::optional<move_destination>
    {
        all_.excluded.insert(target_.id);
        auto wanted = need();
        wanted.memory_zone = target_.zone;
        auto const chosen = all_.state.replicas.choose(
            wanted, all_.engine(), telemetry::monotonic_now());
        if (!chosen || !address_of(chosen->target))
        {
            return std::nullopt;
        }
        return move_destination{chosen->target, wanted.memory_tokens};
    }

    auto not_moved(bool was_stopping) -> void
    {
        auto const is_lost = was_stopping && source_ended_ &&
                             !continue_from_backup(telemetry::monotonic_now());
        if (is_lost)
        {
            lose("the run was not stopped in good order");
        }
    }

    /// Goes on elsewhere once the run has stopped and its events are here.
    auto check_stopped() -> void
    {
        if (!stopped_)
        {
            return;
        }
        auto const has_all = events_.last_number() >= stopped_->events_made;
        if (!source_ended_ && !has_all)
        {
            return;
        }
        if (auto const ended = std::exchange(call_, nullptr))
        {
            ended->cancel();
        }
        auto const run = *std::exchange(stopped_, std::nullopt);
        is_continuing_ = true;
        send(
            run.next, *address_of(run.next),
            continuation{
                fmt::format("{}/{}", host_and_port(target_), run.handle),
                events_.last_number().value_or(0)});
    }

    /// The destination did not take the run. It has no other copy.
    auto continue_failed() -> void
    {
        lose("the run was not taken where it moved to");
    }

    // Ends.

    auto end(time_point now) -> void
    {
        all_.over = true;
        all_.deadline_timer.cancel();
        room_timer_.cancel();
        mover_.cancel();
        unwatch();
        load_.release();
        backup_.release();
        all_.state.load_changed();
        if (call_)
        {
            call_->cancel();
        }
        if (events_.has_begun())
        {
            all_.state.output_lengths.record(
                kind(), {0, output_tokens(), is_complete_}, now);
        }
    }

    auto finish(time_point now) -> void
    {
        is_complete_ = true;
        end(now);
        all_.state.metrics.add(relay_counter::answers);
        all_.state.metrics.observe(relay_timing::answer, now - all_.began);
        all_.state.log.request(
            all_.request.id, "answered",
            {{"replica", target_.id},
             {"status", head_->status},
             {"events", events_.count()},
             {"first_event_after", events_.first_after()},
             {"longest_pause", events_.longest_pause()},
             {"after", now - all_.began}});
        if (!events_.has_begun())
        {
            all_.caller->begin_stream(
                head_->status, head_->reason, Format::answer_fields(*head_));
        }
        all_.caller->finish_stream();
    }

    /// Ends a stream that cannot go on, so that it does not look complete.
    auto lose(std::string_view why) -> void
    {
        if (!events_.has_begun())
        {
            give_up(refusal_reason::no_replica, 502, why);
            return;
        }
        auto const now = telemetry::monotonic_now();
        end(now);
        all_.state.metrics.add(relay_counter::streams_lost);
        all_.state.log.request(
            all_.request.id, "stream lost",
            {{"replica", target_.id},
             {"why", std::string{why}},
             {"continuing", is_continuing_},
             {"events", events_.count()},
             {"after", now - all_.began}});
        all_.caller->abort();
    }

    /// Ends a request of which the caller has got nothing.
    auto give_up(refusal_reason why, int status, std::string_view detail)
        -> void
    {
        auto const may_have_run = all_.may_have_run();
        end(telemetry::monotonic_now());
        all_.over = false;
        if (may_have_run)
        {
            all_.fail(status, detail);
        }
        else
        {
            all_.refuse(why);
        }
    }

    auto deadline_passed() -> void
    {
        if (all_.over)
        {
            return;
        }
        if (events_.has_begun())
        {
            lose("the deadline has passed");
            return;
        }
        give_up(refusal_reason::deadline, 504, "no answer in time");
    }

    auto caller_gone() -> void
    {
        if (all_.over)
        {
            return;
        }
        auto const now = telemetry::monotonic_now();
        end(now);
        all_.state.metrics.add(relay_counter::callers_gone);
        all_.state.log.request(
            all_.request.id, "caller left",
            {{"replica", target_.id},
             {"events", events_.count()},
             {"after", now - all_.began}});
    }

    exchange all_;
    stream_load load_;
    run_backup backup_;
    event_sequence events_;
    run_mover<Format> mover_;
    asio::steady_timer room_timer_;
    generation_size size_;
    double expected_output_;
    std::shared_ptr<upstream_call> call_;
    replica target_;
    std::optional<http::response_head> head_;
    event_splitter splitter_;
    std::string failure_body_;
    time_point sent_at_{};
    /// Prompt tokens that the replica had to read before the first event.
    double tokens_ahead_ = 0;
    /// Set while a stopped run waits for its last events.
    std::optional<stopped_run> stopped_;
    /// Whether the run was sent elsewhere and has made no event there yet.
    bool is_continuing_ = false;
    bool is_success_ = false;
    bool is_signed_ = false;
    bool not_run_ = false;
    bool source_ended_ = false;
    bool target_left_ = false;
    bool is_complete_ = false;
};

} // namespace sapphirereel::relay

#endif
