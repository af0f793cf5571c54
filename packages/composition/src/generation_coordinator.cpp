#include "sapphirereel/composition/generation_coordinator.hpp"

#include "sapphirereel/composition/unroutable.hpp"
#include "sapphirereel/core/selector_matching.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace sapphirereel {

namespace {

/// Crashes of one endpoint in the same interval of this length count as one.
constexpr auto crash_window = std::chrono::milliseconds{10'000};

auto place_of(
    request_facts const& facts,
    endpoint_id const& replica,
    decision_context const& context) -> std::optional<run_place>
{
    for (auto const& one : match(context.config, facts).endpoints)
    {
        if (one.id == replica)
        {
            return run_place{one.id, one.address, one.resumes_prefix};
        }
    }
    return std::nullopt;
}

/// Whole milliseconds until a time point; 0 if it has passed.
auto milliseconds_left(time_point until, time_point now) -> std::uint32_t
{
    auto const left =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - now);
    return static_cast<std::uint32_t>(
        std::max(left, std::chrono::milliseconds{0}).count());
}

auto refusal_for(stream_not_placed const& unplaced) -> refusal
{
    if (unplaced.no_candidate)
    {
        return {
            refusal_cause::no_endpoint, disposition::not_run,
            "no engine stands for this request", unplaced.retry_after};
    }
    auto const cause = unplaced.cause == offer_refusal_cause::share
                           ? refusal_cause::share_exceeded
                           : refusal_cause::overloaded;
    return {
        cause, disposition::not_run, "no engine has a place now",
        unplaced.retry_after};
}

/// Reason to refuse a new request immediately, if there is one. Until the
/// configuration is known, a request waits for it as it would wait for
/// capacity.
auto immediate_refusal(
    generation_request const& request, decision_context const& context)
    -> std::optional<refusal>
{
    auto poison =
        poison_request_refusal(request.content, context.poison_detector);
    if (poison || !context.configuration_known)
    {
        return poison;
    }
    return unroutable(request.facts, context.config);
}

/// Whether a request with a poison part runs all the same, as a trial.
auto take_part_trial(
    generation_request const& request,
    decision_context const& context,
    time_point now) -> bool
{
    auto const part = context.part_detector.find_poison(request.prompt_parts);
    return part && context.part_detector.take_trial(
                       *part, context.cluster.live.size(), now);
}

auto poison_part_refusal(
    generation_request const& request, decision_context const& context)
    -> std::optional<refusal>
{
    if (!context.part_detector.find_poison(request.prompt_parts))
    {
        return std::nullopt;
    }
    return refusal{
        refusal_cause::poison, disposition::final_answer,
        "a part of this prompt crashes endpoints", duration{0}};
}

/// How a new request is received.
struct reception
{
    std::optional<refusal> reason;
    /// Whether it runs to see if a poison part still crashes endpoints.
    bool is_part_trial = false;
};

auto receive_new(
    generation_request const& request,
    decision_context const& context,
    time_point now) -> reception
{
    if (auto reason = immediate_refusal(request, context))
    {
        return {std::move(reason), false};
    }
    if (take_part_trial(request, context, now))
    {
        return {std::nullopt, true};
    }
    return {poison_part_refusal(request, context), false};
}

/// Names a crash. Daemons that observe the same one derive the same name,
/// except when their clocks differ across an interval boundary.
auto name_crash(endpoint_id const& endpoint, wall_time seen) -> digest
{
    auto const window = seen.milliseconds / crash_window.count();
    return digest{endpoint.str() + "@" + std::to_string(window)};
}

template <class T>
concept is_daemon_action = std::is_constructible_v<action, T>;

} // namespace

auto broadcast(
    cluster_view const& cluster,
    peer_message const& message,
    component_outputs& outputs) -> void
{
    for (auto const& peer : cluster.live)
    {
        if (peer != cluster.self)
        {
            outputs.emplace_back(daemon_message{peer, message});
        }
    }
}

auto report_crash(
    endpoint_id const& endpoint,
    digest const& content,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    auto const message =
        crash_message{name_crash(endpoint, context.wall_now), {content}};
    if (context.poison_detector.record_crash(message, now))
    {
        broadcast(context.cluster, message, outputs);
    }
}

auto poison_request_refusal(
    digest const& content, poison_request_detector const& detector)
    -> std::optional<refusal>
{
    if (detector.verdict(content) != poison_verdict::poison)
    {
        return std::nullopt;
    }
    return refusal{
        refusal_cause::poison, disposition::final_answer,
        "this request has crashed every endpoint that ran it", duration{0}};
}

auto generation_coordinator::create(
    generation_coordinator_settings const& settings, daemon_id const& self)
    -> result<generation_coordinator>
{
    auto searches = placement::create(settings.placement, settings.seed);
    if (!searches)
    {
        return tl::unexpected(searches.error());
    }
    auto health = outlier_ejection::create(settings.outliers, settings.seed);
    if (!health)
    {
        return tl::unexpected(health.error());
    }
    return generation_coordinator{
        settings, self, std::move(*searches), std::move(*health)};
}

generation_coordinator::generation_coordinator(
    generation_coordinator_settings const& settings,
    daemon_id self,
    placement searches,
    outlier_ejection health)
    : settings_(settings)
    , self_(std::move(self))
    , searches_(std::move(searches))
    , health_(std::move(health))
    , names_(self_.str())
{}

auto generation_coordinator::on(
    generation_arrived const& arrived,
    decision_context const& context,
    time_point now) -> component_outputs
{
    auto const& request = arrived.request;
    ++counts_.arrived;
    counts_.resumed += request.resume ? 1 : 0;
    context.part_detector.record_request(request.prompt_parts, now);
    auto const received =
        request.resume ? reception{} : receive_new(request, context, now);
    if (received.reason)
    {
        ++counts_.refused;
        return {action{refuse_caller{request.attachment, *received.reason}}};
    }
    auto begun = generation::begin(request, settings_.generation, names_, now);
    auto offer = stream_offer{};
    offer.entry = self_;
    offer.kind = {request.facts.service, request.facts.customer};
    offer.prompt_tokens = request.prompt_tokens;
    offer.priority = request.priority;
    auto const has_output = begun.value.has_delivered();
    generations_.emplace(
        request.attachment, open_generation{
                                std::move(begun.value),
                                offer,
                                {},
                                {},
                                has_output,
                                received.is_part_trial});
    auto outputs = component_outputs{};
    run_actions(request.attachment, begun.actions, context, now, outputs);
    drop_ended();
    return outputs;
}

auto generation_coordinator::on(
    caller_closed const& closed,
    decision_context const& context,
    time_point now) -> component_outputs
{
    auto const found = generations_.find(closed.attachment);
    if (found == generations_.end())
    {
        return {};
    }
    auto outputs = component_outputs{};
    perform_searches(
        searches_.cancel(found->second.value.run()), context, now, outputs);
    auto const todo = found->second.value.caller_disconnected();
    run_actions(closed.attachment, todo, context, now, outputs);
    drop_ended();
    return outputs;
}

auto generation_coordinator::on(
    chunk_arrived const& arrived,
    decision_context const& context,
    time_point now) -> component_outputs
{
    auto const stream = streams_.find(arrived.stream);
    if (stream == streams_.end())
    {
        return {};
    }
    auto const attachment = stream->second;
    auto& entry = generations_.at(attachment);
    auto const todo =
        entry.value.chunk(arrived.stream, arrived.chunk, names_, now);
    auto outputs = component_outputs{};
    run_actions(attachment, todo, context, now, outputs);
    clear_if_past_crash(entry, context, now, outputs);
    if (entry.value.has_delivered())
    {
        record_part_output(entry, context, now, outputs);
    }
    drop_ended();
    return outputs;
}

auto generation_coordinator::on(
    stream_ended const& ended, decision_context const& context, time_point now)
    -> component_outputs
{
    auto const stream = streams_.find(ended.stream);
    if (stream == streams_.end())
    {
        return {};
    }
    auto const attachment = stream->second;
    streams_.erase(stream);
    auto& entry = generations_.at(attachment);
    auto const todo =
        entry.value.ended(ended.stream, ended.outcome, names_, now);
    auto outputs = component_outputs{};
    run_actions(attachment, todo, context, now, outputs);
    drop_ended();
    return outputs;
}

auto generation_coordinator::on(
    daemon_id const& from,
    reserve_reply_message const& reply,
    decision_context const& context,
    time_point now) -> component_outputs
{
    auto outputs = component_outputs{};
    perform_searches(
        searches_.replied(from, reply, now), context, now, outputs);
    drop_ended();
    return outputs;
}

auto generation_coordinator::on(
    daemon_id const& from,
    announce_request_message const& question,
    decision_context const&,
    time_point) -> component_outputs
{
    auto answer = announce_message{question.replica, {}};
    for (auto const& run : question.runs)
    {
        auto* const found = by_run(run);
        if (found == nullptr)
        {
            continue;
        }
        found->home = from;
        auto const tokens =
            static_cast<std::uint32_t>(found->value.next_index());
        answer.streams.push_back({found->offer, tokens});
    }
    if (answer.streams.empty())
    {
        return {};
    }
    return {daemon_message{from, std::move(answer)}};
}

auto generation_coordinator::adopt(configuration const& config) -> void
{
    auto replicas = std::set<endpoint_id>{};
    for (auto const& [name, parent] : config.groups)
    {
        for (auto const& member : parent.endpoints)
        {
            replicas.insert(member.id);
        }
    }
    health_.set_replicas(replicas);
}

auto generation_coordinator::tick(
    decision_context const& context, time_point now) -> component_outputs
{
    auto outputs = component_outputs{};
    perform_searches(searches_.tick(now), context, now, outputs);
    auto attachments = std::vector<attachment_id>{};
    for (auto const& [attachment, entry] : generations_)
    {
        attachments.push_back(attachment);
    }
    for (auto const& attachment : attachments)
    {
        auto const todo = generations_.at(attachment).value.tick(names_, now);
        run_actions(attachment, todo, context, now, outputs);
    }
    drop_ended();
    if (now >= next_progress_)
    {
        next_progress_ = now + settings_.progress_interval;
        report_progress(context, outputs);
    }
    return outputs;
}

auto generation_coordinator::migrate_from(
    endpoint_id const& endpoint,
    decision_context const& context,
    time_point now) -> component_outputs
{
    auto attachments = std::vector<attachment_id>{};
    for (auto const& [attachment, entry] : generations_)
    {
        auto const& place = entry.value.place();
        if (place && place->endpoint == endpoint)
        {
            attachments.push_back(attachment);
        }
    }
    auto outputs = component_outputs{};
    for (auto const& attachment : attachments)
    {
        auto const todo =
            generations_.at(attachment).value.migrate(names_, now);
        counts_.moved += todo.empty() ? 0 : 1;
        run_actions(attachment, todo, context, now, outputs);
    }
    drop_ended();
    return outputs;
}

auto generation_coordinator::status() const -> std::vector<generation_status>
{
    auto all = std::vector<generation_status>{};
    for (auto const& [attachment, entry] : generations_)
    {
        auto const& value = entry.value;
        auto one = generation_status{};
        one.attachment = attachment;
        one.run = value.run();
        one.service = value.request().facts.service;
        one.customer = value.request().facts.customer;
        if (value.place())
        {
            one.endpoint = value.place()->endpoint;
        }
        one.next_index = value.next_index();
        one.streaming = value.is_streaming();
        all.push_back(std::move(one));
    }
    return all;
}

auto generation_coordinator::run_actions(
    attachment_id attachment,
    generation_actions const& todo,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    for (auto const& one : todo)
    {
        std::visit(
            [&](auto const& what) {
                using type = std::remove_cvref_t<decltype(what)>;
                // attach_run and finish_generation are actions too, but
                // perform also updates this coordinator's records for them.
                if constexpr (
                    is_daemon_action<type> &&
                    !std::is_same_v<type, attach_run> &&
                    !std::is_same_v<type, finish_generation>)
                {
                    outputs.emplace_back(action{what});
                }
                else
                {
                    perform(attachment, what, context, now, outputs);
                }
            },
            one);
    }
    any_ended_ = any_ended_ || generations_.at(attachment).value.is_over();
}

auto generation_coordinator::perform(
    attachment_id attachment,
    find_place const& wanted,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    auto& entry = generations_.at(attachment);
    if (refuse_poison_request(attachment, context, now, outputs))
    {
        return;
    }
    auto const& content = entry.value.request().content;
    entry.offer.suspect =
        context.poison_detector.verdict(content) == poison_verdict::isolate;
    runs_[wanted.run] = attachment;
    entry.offer.run = wanted.run;
    entry.offer.output_tokens =
        static_cast<std::uint32_t>(wanted.output_tokens);
    entry.offer.wait_ms =
        milliseconds_left(entry.value.request().deadline, now);
    auto candidates = candidates_for(
        entry.value.request().facts, wanted.excluded, context, now);
    perform_searches(
        searches_.begin(entry.offer, std::move(candidates), now), context, now,
        outputs);
}

auto generation_coordinator::perform(
    attachment_id attachment,
    start_run const& start,
    decision_context const&,
    time_point,
    component_outputs& outputs) -> void
{
    streams_[start.stream] = attachment;
    auto const& request = generations_.at(attachment).value.request();
    outputs.emplace_back(
        action{open_run{start, request.path, request.body, request.priority}});
}

auto generation_coordinator::perform(
    attachment_id attachment,
    attach_run const& attach,
    decision_context const&,
    time_point,
    component_outputs& outputs) -> void
{
    streams_[attach.stream] = attachment;
    runs_[attach.run] = attachment;
    generations_.at(attachment).offer.run = attach.run;
    outputs.emplace_back(action{attach});
}

auto generation_coordinator::perform(
    attachment_id attachment,
    release_place const& left,
    decision_context const& context,
    time_point,
    component_outputs& outputs) -> void
{
    runs_.erase(left.run);
    auto& home = generations_.at(attachment).home;
    auto const to = home.empty() ? home_of(context.cluster, left.place.endpoint)
                                 : std::exchange(home, daemon_id{});
    if (to.empty())
    {
        return;
    }
    auto const tokens = static_cast<std::uint32_t>(left.output_tokens);
    outputs.emplace_back(daemon_message{
        to, release_message{
                left.place.endpoint, left.run, tokens, left.completed}});
}

auto generation_coordinator::perform(
    attachment_id attachment,
    engine_lost const& lost,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    ++counts_.engines_lost;
    health_.failed(lost.place.endpoint, now);
    outputs.emplace_back(action{report{
        report_level::warning, "generation",
        "engine " + lost.place.endpoint.str() + " lost run " +
            lost.run.str()}});
    if (lost.crashed)
    {
        auto& entry = generations_.at(attachment);
        entry.crashed_at = entry.value.next_index();
        auto const& request = entry.value.request();
        report_crash(
            lost.place.endpoint, request.content, context, now, outputs);
        record_part_crash(entry, lost.place.endpoint, context, now, outputs);
    }
}

auto generation_coordinator::perform(
    attachment_id attachment,
    finish_generation const& finished,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    ++counts_.finished;
    auto& entry = generations_.at(attachment);
    record_part_output(entry, context, now, outputs);
    auto const& value = entry.value;
    if (value.place())
    {
        health_.succeeded(value.place()->endpoint, now);
    }
    auto const cleared =
        context.poison_detector.record_completion(value.request().content, now);
    if (cleared)
    {
        broadcast(context.cluster, *cleared, outputs);
    }
    outputs.emplace_back(action{finished});
}

auto generation_coordinator::clear_if_past_crash(
    open_generation& target,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    auto const past = target.crashed_at &&
                      target.value.next_index() >=
                          *target.crashed_at + settings_.tokens_past_crash;
    if (!past)
    {
        return;
    }
    target.crashed_at.reset();
    auto const cleared = context.poison_detector.record_completion(
        target.value.request().content, now);
    if (cleared)
    {
        broadcast(context.cluster, *cleared, outputs);
    }
}

auto generation_coordinator::record_part_crash(
    open_generation& target,
    endpoint_id const& endpoint,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    auto const& parts = target.value.request().prompt_parts;
    // A leaving endpoint ends as planned, whatever it ran.
    auto const is_evidence = !target.has_output && !parts.empty() &&
                             !context.cluster.leaving.contains(endpoint);
    if (!is_evidence)
    {
        return;
    }
    // A trial that has failed must not crash another endpoint.
    target.is_part_trial = false;
    auto& detector = context.part_detector;
    auto const message =
        crash_message{name_crash(endpoint, context.wall_now), parts};
    if (detector.record_crash(message, now))
    {
        broadcast(
            context.cluster,
            poison_part_reports{{message}, {}, detector.rulings()}, outputs);
    }
}

auto generation_coordinator::record_part_output(
    open_generation& target,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    if (std::exchange(target.has_output, true))
    {
        return;
    }
    auto& detector = context.part_detector;
    auto const& parts = target.value.request().prompt_parts;
    auto const was_poison = detector.find_poison(parts).has_value();
    auto news = poison_part_reports{{}, detector.record_output(parts, now), {}};
    if (was_poison)
    {
        news.rulings = detector.rulings();
    }
    if (!news.empty())
    {
        broadcast(context.cluster, std::move(news), outputs);
    }
}

auto generation_coordinator::poison_refusal(
    open_generation const& target, decision_context const& context)
    -> std::optional<refusal>
{
    auto const& request = target.value.request();
    auto reason =
        poison_request_refusal(request.content, context.poison_detector);
    if (reason || target.is_part_trial || target.has_output)
    {
        return reason;
    }
    return poison_part_refusal(request, context);
}

auto generation_coordinator::refuse_poison_request(
    attachment_id attachment,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> bool
{
    auto& entry = generations_.at(attachment);
    auto const reason = poison_refusal(entry, context);
    if (!reason)
    {
        return false;
    }
    run_actions(
        attachment, entry.value.give_up(*reason), context, now, outputs);
    return true;
}

auto generation_coordinator::candidates_for(
    request_facts const& facts,
    std::set<endpoint_id> const& excluded,
    decision_context const& context,
    time_point now) const -> placement_candidates
{
    auto candidates = placement_candidates{};
    for (auto const& one : match(context.config, facts).endpoints)
    {
        auto const skipped = one.kind != service_kind::engine ||
                             excluded.contains(one.id) ||
                             context.cluster.leaving.contains(one.id);
        if (skipped)
        {
            continue;
        }
        auto candidate = placement_candidate{};
        candidate.replica = one.id;
        candidate.home = home_of(context.cluster, one.id);
        candidate.distance = distance_to(context.cluster, one.zone);
        candidate.ejected = health_.ejected(one.id, now);
        candidate.slow_start_share = health_.share(one.id, now);
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

auto generation_coordinator::perform(
    attachment_id,
    refuse_generation const& refused,
    decision_context const&,
    time_point,
    component_outputs& outputs) -> void
{
    ++counts_.refused;
    outputs.emplace_back(
        action{refuse_caller{refused.attachment, refused.reason}});
}

auto generation_coordinator::perform_searches(
    placement_actions const& todo,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    for (auto const& one : todo)
    {
        if (auto const* reserve = std::get_if<send_reserve>(&one))
        {
            outputs.emplace_back(
                daemon_message{reserve->home, reserve->message});
        }
        else if (auto const* release = std::get_if<send_release>(&one))
        {
            outputs.emplace_back(
                daemon_message{release->home, release->message});
        }
        else if (auto const* placed = std::get_if<stream_placed>(&one))
        {
            handle_placed(*placed, context, now, outputs);
        }
        else if (auto const* unplaced = std::get_if<stream_not_placed>(&one))
        {
            handle_not_placed(*unplaced, context, now, outputs);
        }
    }
}

auto generation_coordinator::handle_placed(
    stream_placed const& placed,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    auto* const found = by_run(placed.run);
    if (found == nullptr)
    {
        return;
    }
    auto const attachment = found->value.request().attachment;
    found->home = placed.home;
    auto const place =
        place_of(found->value.request().facts, placed.replica, context);
    if (!place)
    {
        // The configuration has changed since the search started.
        handle_not_placed({placed.run, true, {}, {}}, context, now, outputs);
        return;
    }
    auto const todo = found->value.placed(placed.run, *place, names_, now);
    run_actions(attachment, todo, context, now, outputs);
}

auto generation_coordinator::handle_not_placed(
    stream_not_placed const& unplaced,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    auto* const found = by_run(unplaced.run);
    if (found == nullptr)
    {
        return;
    }
    auto const attachment = found->value.request().attachment;
    auto const todo =
        found->value.not_placed(unplaced.run, refusal_for(unplaced), now);
    run_actions(attachment, todo, context, now, outputs);
}

auto generation_coordinator::report_progress(
    decision_context const& context, component_outputs& outputs) -> void
{
    auto reports = std::map<endpoint_id, progress_message>{};
    for (auto const& [attachment, entry] : generations_)
    {
        if (!entry.value.is_streaming())
        {
            continue;
        }
        auto const& replica = entry.value.place()->endpoint;
        auto& message = reports[replica];
        message.replica = replica;
        auto const tokens =
            static_cast<std::uint32_t>(entry.value.next_index());
        message.runs.push_back({entry.value.run(), tokens});
    }
    for (auto& [replica, message] : reports)
    {
        auto const home = home_of(context.cluster, replica);
        if (!home.empty())
        {
            outputs.emplace_back(daemon_message{home, std::move(message)});
        }
    }
}

auto generation_coordinator::drop_ended() -> void
{
    if (!std::exchange(any_ended_, false))
    {
        return;
    }
    std::erase_if(generations_, [](auto const& entry) {
        return entry.second.value.is_over();
    });
    auto const ended = [this](auto const& entry) {
        return !generations_.contains(entry.second);
    };
    std::erase_if(streams_, ended);
    std::erase_if(runs_, ended);
}

auto generation_coordinator::by_run(run_id const& run) -> open_generation*
{
    auto const found = runs_.find(run);
    if (found == runs_.end())
    {
        return nullptr;
    }
    auto const generation = generations_.find(found->second);
    return generation == generations_.end() ? nullptr : &generation->second;
}

} // namespace sapphirereel
