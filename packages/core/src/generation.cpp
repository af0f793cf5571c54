#include "sapphirereel/core/generation.hpp"

#include "sapphirereel/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel {

namespace {

auto append(generation_actions& to, generation_actions const& more) -> void
{
    to.insert(to.end(), more.begin(), more.end());
}

} // namespace

run_id_generator::run_id_generator(std::string prefix)
    : prefix_(std::move(prefix))
{}

auto run_id_generator::next_run() -> run_id
{
    ++runs_;
    return run_id{prefix_ + "-" + std::to_string(runs_)};
}

auto run_id_generator::next_stream() -> stream_number
{
    ++streams_;
    return stream_number{streams_};
}

generation::generation(
    generation_request request, generation_settings const& settings)
    : request_(std::move(request))
    , settings_(settings)
{}

auto generation::begin(
    generation_request request,
    generation_settings const& settings,
    run_id_generator& run_ids,
    time_point now) -> begun
{
    auto made = generation{std::move(request), settings};
    if (!made.request_.resume)
    {
        auto actions = made.request_place(run_ids, now);
        return {std::move(made), std::move(actions)};
    }
    auto const& resume = *made.request_.resume;
    made.run_ = resume.run;
    made.place_ = resume.place;
    made.next_index_ = resume.next_index;
    made.attachment_number_ = resume.attachment_number;
    made.may_have_run_ = true;
    if (resume.received)
    {
        made.text_ = *resume.received;
        made.read_index_ = resume.next_index;
        made.digest_.add(made.text_);
    }
    auto actions = made.attach(run_ids, now);
    return {std::move(made), std::move(actions)};
}

auto generation::placed(
    run_id const& run,
    run_place const& place,
    run_id_generator& run_ids,
    time_point) -> generation_actions
{
    if (phase_ != phase::placing || run != run_)
    {
        return {release_place{run, place, 0, false}};
    }
    phase_ = phase::reading;
    place_ = place;
    stream_ = run_ids.next_stream();
    attaching_ = false;
    failed_attaches_ = 0;
    auto start = start_run{*stream_, run_, place, std::nullopt};
    if (read_index_ > 0)
    {
        start.resume = output_text{text_, read_index_};
    }
    return {std::move(start)};
}

auto generation::not_placed(
    run_id const& run, refusal const& reason, time_point now)
    -> generation_actions
{
    if (phase_ != phase::placing || run != run_)
    {
        return {};
    }
    last_refusal_ = reason;
    if (overdue(now))
    {
        return end_with(reason);
    }
    // No other engine has a place, so those that refused before are tried
    // again.
    excluded_.clear();
    phase_ = phase::waiting_to_place;
    retry_at_ = now + std::max(settings_.place_backoff, reason.retry_after);
    return {};
}

auto generation::chunk(
    stream_number stream,
    run_chunk const& chunk,
    run_id_generator& run_ids,
    time_point now) -> generation_actions
{
    if (phase_ != phase::reading || stream != stream_)
    {
        return {};
    }
    without_engine_since_.reset();
    failed_attaches_ = 0;
    attaching_ = false;
    may_have_run_ = true;
    if (!chunk.is_token)
    {
        return accept_non_token(chunk);
    }
    auto const starts_later =
        read_index_ == 0 && text_.empty() && chunk.index <= next_index_;
    if (starts_later)
    {
        // The first token of a run that continued another has an index above 0.
        read_index_ = chunk.index;
        text_start_ = chunk.index;
    }
    if (chunk.index > read_index_)
    {
        auto actions = generation_actions{stop_stream{*stream_}};
        append(actions, reconnect_or_move(false, run_ids, now));
        return actions;
    }
    return accept_token(chunk);
}

auto generation::accept_token(run_chunk const& chunk) -> generation_actions
{
    if (chunk.index < read_index_)
    {
        return {};
    }
    text_ += chunk.text;
    digest_.add(chunk.text);
    ++read_index_;
    if (chunk.index < next_index_)
    {
        return {};
    }
    ++next_index_;
    return {deliver(chunk)};
}

auto generation::accept_non_token(run_chunk const& chunk) -> generation_actions
{
    if (usage_delivered_)
    {
        return {};
    }
    usage_delivered_ = true;
    return {deliver(chunk)};
}

auto generation::ended(
    stream_number stream,
    run_outcome const& outcome,
    run_id_generator& run_ids,
    time_point now) -> generation_actions
{
    if (phase_ != phase::reading || stream != stream_)
    {
        return {};
    }
    stream_.reset();
    switch (outcome.end)
    {
    case run_end::finished:
        return finish();
    case run_end::refused_not_run:
        return attaching_ ? reconnect_or_move(true, run_ids, now)
                          : handle_refused_start(run_ids, now);
    case run_end::rejected:
        return refuse(refusal_cause::malformed, outcome.detail);
    case run_end::lost:
        return reconnect_or_move(false, run_ids, now);
    case run_end::superseded:
        return refuse(
            refusal_cause::superseded,
            "a later connection of this caller took the stream over");
    case run_end::unknown_run:
        return handle_engine_loss(true, run_ids, now);
    case run_end::cancelled:
        // The stream ended before the output was complete: the engine counts as
        // lost for this run, but not as crashed.
        return handle_engine_loss(false, run_ids, now);
    }
    require_invariant(false, "a run's end is one of the enumeration");
    return {};
}

auto generation::tick(run_id_generator& run_ids, time_point now)
    -> generation_actions
{
    auto const waits =
        phase_ == phase::placing || phase_ == phase::waiting_to_place;
    if (waits && overdue(now))
    {
        auto reason = last_refusal_;
        if (reason.message.empty())
        {
            reason.message = "no engine had a place in time";
        }
        return end_with(std::move(reason));
    }
    if (phase_ == phase::waiting_to_place && now >= retry_at_)
    {
        return request_place(run_ids, now);
    }
    if (phase_ == phase::waiting_to_attach && now >= retry_at_)
    {
        return attach(run_ids, now);
    }
    return {};
}

auto generation::caller_disconnected() -> generation_actions
{
    auto actions = generation_actions{};
    if (stream_)
    {
        actions.emplace_back(stop_stream{*stream_});
    }
    if (place_ && request_.buffered)
    {
        actions.emplace_back(cancel_run{run_, *place_});
    }
    if (place_)
    {
        actions.emplace_back(make_release(false));
    }
    phase_ = phase::over;
    stream_.reset();
    return actions;
}

auto generation::give_up(refusal const& reason) -> generation_actions
{
    if (phase_ == phase::over)
    {
        return {};
    }
    auto actions = generation_actions{};
    if (stream_)
    {
        actions.emplace_back(stop_stream{*stream_});
    }
    if (place_)
    {
        actions.emplace_back(cancel_run{run_, *place_});
    }
    append(actions, end_with(reason));
    return actions;
}

auto generation::migrate(run_id_generator& run_ids, time_point now)
    -> generation_actions
{
    if (phase_ != phase::reading || !can_resume_elsewhere())
    {
        return {};
    }
    auto actions = generation_actions{
        stop_stream{*stream_}, cancel_run{run_, *place_}, make_release(false)};
    excluded_.insert(place_->endpoint);
    append(actions, request_place(run_ids, now));
    return actions;
}

auto generation::has_complete_output() const -> bool
{
    return text_start_ == 0 && read_index_ >= next_index_;
}

auto generation::can_resume_elsewhere() const -> bool
{
    return place_ && place_->resumes_prefix && has_complete_output();
}

auto generation::can_restart() const -> bool
{
    return request_.buffered || next_index_ == 0;
}

auto generation::request_place(run_id_generator& run_ids, time_point now)
    -> generation_actions
{
    phase_ = phase::placing;
    run_ = run_ids.next_run();
    place_.reset();
    stream_.reset();
    if (!without_engine_since_)
    {
        without_engine_since_ = now;
    }
    return {find_place{run_, excluded_, read_index_}};
}

auto generation::attach(run_id_generator& run_ids, time_point now)
    -> generation_actions
{
    phase_ = phase::reading;
    attaching_ = true;
    attached_at_ = now;
    stream_ = run_ids.next_stream();
    return {
        attach_run{*stream_, run_, *place_, read_index_, attachment_number_}};
}

auto generation::reconnect_or_move(
    bool refused, run_id_generator& run_ids, time_point now)
    -> generation_actions
{
    may_have_run_ = true;
    if (!without_engine_since_)
    {
        without_engine_since_ = now;
    }
    // A connection that broke immediately may have met a process that is just
    // ending, which the next attempt finds out. One that stayed silent isn't
    // tried again.
    auto const silent =
        attaching_ && now - attached_at_ >= settings_.silent_attach;
    failed_attaches_ += silent ? settings_.attach_attempts : 1;
    // A refused connection means that the process has ended and its runs are
    // lost. A silent link may recover; where only this engine can continue, it
    // is tried until the recovery limit.
    auto const replaceable = can_resume_elsewhere() || can_restart();
    auto const tried =
        replaceable ? failed_attaches_ > settings_.attach_attempts
                    : now - *without_engine_since_ >= settings_.recovery_limit;
    auto const should_give_up = refused || tried;
    if (should_give_up)
    {
        return handle_engine_loss(refused, run_ids, now);
    }
    if (failed_attaches_ == 1)
    {
        return attach(run_ids, now);
    }
    phase_ = phase::waiting_to_attach;
    retry_at_ = now + settings_.attach_backoff;
    return {};
}

auto generation::handle_refused_start(run_id_generator& run_ids, time_point now)
    -> generation_actions
{
    auto actions = generation_actions{make_release(false)};
    excluded_.insert(place_->endpoint);
    append(actions, request_place(run_ids, now));
    return actions;
}

auto generation::handle_engine_loss(
    bool crashed, run_id_generator& run_ids, time_point now)
    -> generation_actions
{
    auto actions = generation_actions{engine_lost{run_, *place_, crashed}};
    ++lost_engines_;
    auto const too_many_losses = lost_engines_ > settings_.lost_engines;
    if (too_many_losses || (!can_resume_elsewhere() && !can_restart()))
    {
        append(
            actions,
            refuse(
                refusal_cause::endpoint_lost,
                "the engine was lost and no other can go on with its output"));
        return actions;
    }
    actions.emplace_back(make_release(false));
    if (!can_resume_elsewhere())
    {
        append(actions, restart());
    }
    excluded_.insert(place_->endpoint);
    failed_attaches_ = 0;
    if (crashed)
    {
        // The same request may have crashed an engine of another daemon; the
        // wait lets that gossip arrive before the request runs again.
        place_.reset();
        phase_ = phase::waiting_to_place;
        retry_at_ = now + settings_.crash_backoff;
        return actions;
    }
    append(actions, request_place(run_ids, now));
    return actions;
}

auto generation::restart() -> generation_actions
{
    auto const gathered = request_.buffered && next_index_ > 0;
    text_.clear();
    digest_ = output_digest{};
    text_start_ = 0;
    read_index_ = 0;
    next_index_ = 0;
    usage_delivered_ = false;
    if (!gathered)
    {
        return {};
    }
    return {discard_buffered{request_.attachment}};
}

auto generation::deliver(run_chunk const& chunk) const -> deliver_chunk
{
    auto const known = text_start_ == 0;
    return {
        request_.attachment, run_,  *place_,
        attachment_number_,  chunk, known ? digest_.value() : unknown_output};
}

auto generation::finish() -> generation_actions
{
    if (read_index_ < next_index_)
    {
        return refuse(
            refusal_cause::endpoint_lost,
            "the run ended before the position of the event id");
    }
    auto actions = generation_actions{
        make_release(true), finish_generation{request_.attachment}};
    phase_ = phase::over;
    return actions;
}

auto generation::refuse(refusal_cause cause, std::string message)
    -> generation_actions
{
    return end_with(
        {cause, disposition::final_answer, std::move(message), duration{0}});
}

auto generation::end_with(refusal reason) -> generation_actions
{
    if (may_have_run_)
    {
        reason.outcome = disposition::final_answer;
    }
    auto actions = generation_actions{};
    if (place_)
    {
        actions.emplace_back(make_release(false));
    }
    actions.emplace_back(
        refuse_generation{request_.attachment, std::move(reason)});
    phase_ = phase::over;
    stream_.reset();
    return actions;
}

auto generation::make_release(bool completed) const -> release_place
{
    return {run_, *place_, read_index_, completed};
}

auto generation::overdue(time_point now) const -> bool
{
    if (!may_have_run_)
    {
        return now >= request_.deadline;
    }
    return without_engine_since_ &&
           now - *without_engine_since_ >= settings_.recovery_limit;
}

} // namespace sapphirereel
