#include "sapphirereel/composition/generation_coordinator.hpp"

#include "generation_reception.hpp"

#include <utility>

namespace sapphirereel {

namespace {

/// Offer of a stream to the homes of replicas; its run is set at each search.
auto offer_for(generation_request const& request, daemon_id const& entry)
    -> stream_offer
{
    auto offer = stream_offer{};
    offer.entry = entry;
    offer.kind = {request.facts.service, request.facts.customer};
    offer.prompt_tokens = request.prompt_tokens;
    offer.priority = request.priority;
    return offer;
}

auto status_of(generation const& value) -> generation_status
{
    auto status = generation_status{};
    status.attachment = value.request().attachment;
    status.run = value.run();
    status.service = value.request().facts.service;
    status.customer = value.request().facts.customer;
    if (value.place())
    {
        status.endpoint = value.place()->endpoint;
    }
    status.next_index = value.next_index();
    status.streaming = value.is_streaming();
    return status;
}

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
    auto const has_output = begun.value.has_delivered();
    generations_.emplace(
        request.attachment, open_generation{
                                std::move(begun.value),
                                offer_for(request, self_),
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
        all.push_back(status_of(entry.value));
    }
    return all;
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
