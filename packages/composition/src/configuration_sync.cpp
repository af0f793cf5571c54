#include "sapphirereel/composition/configuration_sync.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel {

namespace {

auto pending_verdict(std::string message) -> edit_verdict
{
    auto verdict = edit_verdict{};
    verdict.kind = verdict_kind::pending;
    verdict.reasons.push_back(
        {{"log service", 0, "config"},
         std::move(message),
         "send the same edit again, with the same id"});
    return verdict;
}

} // namespace

configuration_sync::configuration_sync(
    configuration_sync_settings const& settings)
    : settings_(settings)
{}

auto configuration_sync::on(configuration_page const& page, time_point now)
    -> component_outputs
{
    page_seen_ = true;
    auto outputs = component_outputs{};
    log_.note_first_retained(page.first);
    for (auto const& entry : page.entries)
    {
        auto const applied = log_.apply(entry, now);
        if (applied.kind == apply_outcome::malformed)
        {
            outputs.emplace_back(action{report{
                report_level::warning, "configuration",
                "skipped the malformed record at offset " +
                    std::to_string(applied.offset.value)}});
        }
    }
    caught_up_ =
        caught_up_ || (log_.read_from() >= page.next && !log_.needs_snapshot());
    decide_open_edits(outputs);
    return outputs;
}

auto configuration_sync::on(edit_proposed const& proposed, time_point now)
    -> component_outputs
{
    if (auto const known = log_.verdict(proposed.edit.id))
    {
        return {action{edit_decided{proposed.query, *known}}};
    }
    auto const token = append_token{++last_token_};
    edits_.push_back(
        {proposed.query, proposed.edit.id, token, now + settings_.edit_wait});
    return {action{append_record{token, proposed.edit}}};
}

auto configuration_sync::on(append_result const& outcome, time_point)
    -> component_outputs
{
    auto const found =
        std::find_if(edits_.begin(), edits_.end(), [&](auto const& edit) {
            return edit.token == outcome.token;
        });
    if (found == edits_.end() || outcome.outcome != append_outcome::refused)
    {
        return {};
    }
    auto const query = found->query;
    edits_.erase(found);
    return {action{edit_decided{
        query,
        pending_verdict("the log service took no record; nothing changed")}}};
}

auto configuration_sync::on(
    daemon_id const& from, configuration_query const& query, time_point)
    -> component_outputs
{
    if (log_.state().offset <= query.have)
    {
        return {};
    }
    return {daemon_message{from, log_.snapshot()}};
}

auto configuration_sync::on(
    daemon_id const& from,
    configuration_snapshot const& snapshot,
    time_point now) -> component_outputs
{
    if (!log_.catch_up(snapshot, now))
    {
        return {};
    }
    caught_up_ = true;
    auto outputs = component_outputs{action{report{
        report_level::info, "configuration",
        "caught up from " + from.str() + " to offset " +
            std::to_string(log_.state().offset.value)}}};
    decide_open_edits(outputs);
    return outputs;
}

auto configuration_sync::tick(
    std::vector<member> const& members,
    std::size_t rank,
    wall_time wall_now,
    time_point now) -> component_outputs
{
    auto outputs = query_peers(members, now);
    for (auto const& edit : edits_)
    {
        if (now >= edit.deadline)
        {
            outputs.emplace_back(action{edit_decided{
                edit.query,
                pending_verdict("the edit was not read back in time")}});
        }
    }
    std::erase_if(
        edits_, [&](auto const& edit) { return now >= edit.deadline; });
    auto const due = page_seen_ && now >= next_snapshot_ &&
                     log_.snapshot_due(wall_now, settings_.retention, rank);
    if (due)
    {
        next_snapshot_ = now + settings_.snapshot_interval;
        outputs.emplace_back(action{
            append_record{append_token{++last_token_}, log_.snapshot()}});
    }
    return outputs;
}

auto configuration_sync::decide_open_edits(component_outputs& outputs) -> void
{
    std::erase_if(edits_, [&](auto const& edit) {
        auto const verdict = log_.verdict(edit.id);
        if (!verdict)
        {
            return false;
        }
        outputs.emplace_back(action{edit_decided{edit.query, *verdict}});
        return true;
    });
}

auto configuration_sync::query_peers(
    std::vector<member> const& members, time_point now) -> component_outputs
{
    if (now < next_query_)
    {
        return {};
    }
    next_query_ = now + settings_.query_interval;
    auto const is_ahead = [&](auto const& one) {
        return one.state != member_state::dead &&
               one.in_force > log_.state().offset;
    };
    auto const found = std::find_if(members.begin(), members.end(), is_ahead);
    if (found == members.end())
    {
        return {};
    }
    return {
        daemon_message{found->id, configuration_query{log_.state().offset}}};
}

} // namespace sapphirereel
