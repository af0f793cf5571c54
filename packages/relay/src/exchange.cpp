#include "sapphirereel/relay/exchange.hpp"

#include "sapphirereel/relay/evacuation.hpp"
#include "sapphirereel/relay/forward_target.hpp"

namespace sapphirereel::relay {

exchange::exchange(
    relay_state& shared,
    std::shared_ptr<caller_session> from,
    caller_request incoming,
    grant admission)
    : state(shared)
    , caller(std::move(from))
    , request(std::move(incoming))
    , granted(std::move(admission))
    , service(pick_service())
    , started_at(telemetry::monotonic_now())
    , waiting_since(started_at)
    , deadline_timer(shared.loop)
    , open_exchanges_(shared.open_exchanges)
{
    open_exchanges_->insert(this);
    state.metrics.add(relay_counter::requests);
    state.retries_of(service).record_request(started_at);
}

exchange::~exchange()
{
    open_exchanges_->erase(this);
}

auto exchange::set_handlers(
    std::shared_ptr<void> owner,
    std::function<void()> caller_disconnected,
    interruption_handler interrupted) -> void
{
    caller->on_disconnect(std::move(caller_disconnected));
    interrupted_ = std::move(interrupted);
    deadline_timer.expires_after(remaining(started_at));
    deadline_timer.async_wait(
        [handler = interrupted_,
         owner = std::move(owner)](std::error_code error) {
            if (!error)
            {
                handler(interruption::deadline);
            }
        });
}

auto exchange::interrupt(interruption why) -> void
{
    // Copied because the handler may destroy this exchange.
    auto const handler = interrupted_;
    if (handler)
    {
        handler(why);
    }
}

auto exchange::outcome_of(interruption why) const -> interruption_outcome
{
    switch (why)
    {
    case interruption::deadline:
        if (has_stale_response_)
        {
            return {
                refusal_reason::deadline, 502,
                "the answer is not the replica's answer to this request"};
        }
        return {refusal_reason::deadline, 504, "no answer in time"};
    case interruption::stop:
        return {refusal_reason::stopping, 502, "the daemon stops"};
    case interruption::poison:
        break;
    }
    return {
        refusal_reason::crashes_replicas, 502,
        "a part of the prompt crashes replicas"};
}

auto exchange::pick_service() -> service_name
{
    auto const& shares = granted.route->services;
    auto total = 0.0;
    for (auto const& share : shares)
    {
        total += share.weight;
    }
    auto left = std::uniform_real_distribution<double>{0, total}(state.random);
    for (auto const& share : shares)
    {
        left -= share.weight;
        if (left < 0)
        {
            return share.service;
        }
    }
    return shares.empty() ? service_name{} : shares.back().service;
}

auto exchange::engine() const -> std::optional<engine_traits>
{
    auto const* const found = granted.table->find_service(service);
    return found == nullptr ? std::nullopt : found->engine;
}

auto exchange::may_send(time_point now) -> bool
{
    if (sends == 0)
    {
        return true;
    }
    if (state.crashes.has_suspects() && state.crashes.is_poison(content()))
    {
        return false;
    }
    auto const permitted =
        state.retries_of(service).try_spend(state.daemons, now);
    if (permitted)
    {
        state.metrics.add(relay_counter::retries);
    }
    return permitted;
}

auto exchange::content() -> digest const&
{
    if (!fingerprint_)
    {
        fingerprint_ = request_fingerprint(request, granted.customer);
    }
    return *fingerprint_;
}

auto exchange::attribute_crash(
    replica const& at, call_failure const& why, bool has_output, time_point now)
    -> void
{
    // A draining replica terminates as planned, whatever it ran.
    auto const* const listed = state.replicas.find(at.id);
    auto const may_have_crashed = why.connection_ended && listed != nullptr &&
                                  !listed->leaving &&
                                  why.stage != call_stage::connecting;
    if (!may_have_crashed ||
        state.paths.record_connection_end(at.id, request.id, now))
    {
        return;
    }
    if (!has_output &&
        state.parts.record_replica_crash(at, request.prompt_parts, now))
    {
        state.metrics.add(relay_counter::part_crashes);
        state.log.request(
            request.id, "parts of the prompt were at a crash",
            {{"replica", at.id}, {"parts", request.prompt_parts.size()}});
        state.crash_recorded();
    }
    // A trial ends with its crash.
    granted.trial_part.reset();
    state.crashes.record_replica_crash(at, content(), now);
    if (state.crashes.is_poison(content()))
    {
        state.log.request(
            request.id, "found to crash replicas",
            {{"replica", at.id}, {"content", content()}});
    }
}

auto exchange::record_output(time_point now) -> void
{
    if (request.generation &&
        state.parts.record_output(request.prompt_parts, now))
    {
        state.crash_recorded();
    }
}

auto exchange::is_poisoned() const -> bool
{
    return state.parts.find_poison(request.prompt_parts, granted.trial_part)
        .has_value();
}

auto exchange::record_answer(time_point now) -> void
{
    if (state.crashes.has_suspects())
    {
        state.crashes.record_response(content(), now);
    }
}

auto exchange::refuse(refusal_reason why, std::optional<duration> retry_after)
    -> void
{
    if (std::exchange(finished, true))
    {
        return;
    }
    deadline_timer.cancel();
    auto const wait = retry_after ? *retry_after : default_retry_after(why);
    send_refusal(
        *caller, {why, 503, wait}, {request.id, granted.is_forwarded}, state);
}

auto exchange::default_retry_after(refusal_reason why) -> duration
{
    if (why == refusal_reason::stopping)
    {
        return retry_elsewhere_after;
    }
    if (why == refusal_reason::crashes_replicas)
    {
        return poison_retry_after;
    }
    auto const base = std::chrono::duration<double, std::micro>(
        granted.route->target_latency * retry_after_share);
    auto const jitter =
        std::uniform_real_distribution<double>{1, 2}(state.random);
    return std::min(
        max_retry_after, std::chrono::duration_cast<duration>(base * jitter));
}

auto exchange::retry_after_for(duration expected_wait) -> duration
{
    return std::clamp(
        expected_wait, default_retry_after(refusal_reason::overload),
        max_expected_retry_after);
}

auto exchange::examine(
    replica const& at,
    http::response_head const& head,
    replica_response const& response,
    upstream_call const& call) -> response_proof
{
    record_path_response();
    record_subject(at, head, response, call);
    auto const proof = proof_of(
        head.status, response,
        {request.id, at.id, call.may_carry_other_responses()});
    has_stale_response_ = has_stale_response_ || proof == response_proof::stale;
    if (proof == response_proof::not_executed)
    {
        log_rejection(at, head, response, call);
    }
    return proof;
}

auto exchange::record_subject(
    replica const& at,
    http::response_head const& head,
    replica_response const& response,
    upstream_call const& call) -> void
{
    auto const subject = subject_of(response, request.id);
    auto const is_doubtful = subject == response_subject::another_request ||
                             (subject == response_subject::unnamed &&
                              call.may_carry_other_responses());
    if (!is_doubtful)
    {
        return;
    }
    state.metrics.add(
        subject == response_subject::unnamed
            ? relay_counter::responses_unnamed
            : relay_counter::responses_to_others);
    state.log.request(
        request.id, "a response need not be about this request",
        {{"replica", at.id},
         {"status", head.status},
         {"names", std::string{name_of(subject)}},
         {"named_request", response.request_id},
         {"not_executed", response.not_run},
         {"kept_connection", call.may_carry_other_responses()},
         {"connection", call.connection_number()}});
}

auto exchange::log_rejection(
    replica const& at,
    http::response_head const& head,
    replica_response const& response,
    upstream_call const& call) -> void
{
    state.log.request(
        request.id, "rejected by the replica",
        {{"replica", at.id},
         {"status", head.status},
         {"names", std::string{name_of(subject_of(response, request.id))}},
         {"kept_connection", call.may_carry_other_responses()},
         {"connection", call.connection_number()}});
}

auto exchange::log_step(
    std::string_view message, std::vector<telemetry::log_field> fields) -> void
{
    if (excluded.empty())
    {
        state.log.request_step(request.id, message, std::move(fields));
        return;
    }
    state.log.request(request.id, message, std::move(fields));
}

auto exchange::record_path_attempt(time_point now) -> void
{
    state.paths.record_attempt(service, now);
}

auto exchange::record_path_response() -> void
{
    state.paths.record_response(service);
}

auto exchange::record_path_failure(endpoint_id const& at, time_point now)
    -> void
{
    auto const& listed = state.replicas.replicas();
    auto const count =
        std::count_if(listed.begin(), listed.end(), [this](auto const& each) {
            return each.second.service == service && !each.second.leaving &&
                   !state.replicas.is_evacuated(each.second);
        });
    auto const is_lost = state.paths.record_failure(
        service, at, static_cast<std::size_t>(count), now);
    if (is_lost)
    {
        state.path_lost(service);
    }
}

auto exchange::may_forward(time_point now) const -> bool
{
    return !granted.is_forwarded &&
           state.choose_peer(service, {}, now).has_value();
}

auto exchange::is_out_of_reach(time_point now) const -> bool
{
    return has_failed_to_connect && sends == 0 && may_forward(now);
}

auto exchange::must_forward(time_point now) -> bool
{
    return state.paths.must_avoid(service, now) && may_forward(now);
}

auto exchange::hand_over() -> void
{
    finished = true;
    deadline_timer.cancel();
    caller->on_disconnect({});
    withdraw_from_budget();
}

auto exchange::withdraw_from_budget() -> void
{
    state.retries_of(service).withdraw_request();
}

auto exchange::choose(
    placement_need need,
    std::optional<engine_traits> const& engine,
    time_point now) -> std::optional<placement>
{
    closed_ = state.gate.find_closed(need, engine, granted.priority, now);
    need.excluded.insert(closed_.ids.begin(), closed_.ids.end());
    auto chosen = state.replicas.choose(need, engine, now);
    if (chosen && chosen->unseen_requests > 0)
    {
        state.metrics.add(relay_counter::uncertain_choices);
    }
    return chosen;
}

auto exchange::may_wait_for_open_replica(time_point now) const -> bool
{
    auto const limit =
        granted.route->target_latency * max_wait_for_open_replica_share;
    return closed_.may_open_soon && now - waiting_since < limit;
}

auto exchange::refuse_if_none_takes_it(time_point now) -> bool
{
    if (may_have_run())
    {
        return false;
    }
    if (!closed_.ids.empty())
    {
        state.gate.record_refusal(service, granted.priority, now);
        auto const wait = closed_.cold_wait;
        refuse(
            refusal_reason::replicas_limited,
            wait ? std::optional{std::max(*wait, min_cold_retry_after)}
                 : std::nullopt);
        return true;
    }
    auto const wait = state.replicas.time_until_accepted(service, now);
    if (wait)
    {
        refuse(refusal_reason::replicas_busy, wait);
    }
    return wait.has_value();
}

auto exchange::refuse_if_evacuated() -> bool
{
    if (may_have_run() || !state.replicas.has_only_evacuated(service))
    {
        return false;
    }
    state.log.request(
        request.id, "all replicas of the service are in evacuated zones",
        {{"service", service},
         {"zones", names_of(state.replicas.evacuated())}});
    refuse(refusal_reason::zone_evacuated);
    return true;
}

auto exchange::is_too_late_to_begin(time_point now) const -> bool
{
    return state.stop && !may_have_run() &&
           !accepts_while_stopping(
               *state.stop, granted.route->kind, granted.deadline, now);
}

auto exchange::fail(int status, std::string_view why) -> void
{
    if (std::exchange(finished, true))
    {
        return;
    }
    deadline_timer.cancel();
    state.metrics.add(relay_counter::failures);
    state.log.request(
        request.id, "failed",
        {{"status", status},
         {"why", std::string{why}},
         {"sends", sends},
         {"after", telemetry::monotonic_now() - started_at}});
    caller->respond(status, {{"Content-Type", "text/plain"}}, why);
}

auto send_refusal(
    caller_session& caller,
    refusal const& why,
    refused_request const& request,
    relay_state& state) -> void
{
    state.metrics.refused(why.reason);
    auto fields = http::field_list{{"Content-Type", "text/plain"}};
    auto logged = std::vector<telemetry::log_field>{
        {"status", why.status}, {"reason", std::string{name_of(why.reason)}}};
    if (state.table)
    {
        logged.emplace_back(
            "configuration", state.table->configuration().version);
    }
    if (why.retry_after)
    {
        auto const seconds =
            std::chrono::duration<double>(*why.retry_after).count();
        fields.push_back({"Retry-After", fmt::format("{:.2f}", seconds)});
        logged.emplace_back("retry_after", *why.retry_after);
    }
    if (request.is_forwarded && promises_not_executed(why.status))
    {
        fields.push_back(
            {std::string{refused_by_peer_name}, std::string{request.id}});
    }
    state.log.request(request.id, "refused, not executed", std::move(logged));
    caller.respond(why.status, std::move(fields), name_of(why.reason));
}

auto host_and_port(replica const& at) -> std::string
{
    return fmt::format("{}:{}", at.ip, at.port);
}

auto address_of(replica const& target) -> std::optional<asio::ip::tcp::endpoint>
{
    auto error = std::error_code{};
    auto const ip = asio::ip::make_address(target.ip, error);
    if (error)
    {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint{ip, target.port};
}

} // namespace sapphirereel::relay
