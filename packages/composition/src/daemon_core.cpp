#include "sapphirereel/composition/daemon_core.hpp"

#include "sapphirereel/core/selector_matching.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel {

namespace {

/// Label with which the configuration marks an endpoint as leaving.
constexpr auto leaving_label = "leaving";

auto part_settings(std::uint64_t seed) -> poison_part_settings
{
    auto settings = poison_part_settings{};
    settings.seed = seed;
    return settings;
}

auto is_labelled_leaving(group const& parent, endpoint const& member) -> bool
{
    auto const labels = effective_labels(parent, member);
    auto const found = labels.find(leaving_label);
    return found != labels.end() && found->second == "true";
}

} // namespace

/// The components of a core, each one valid or with its findings.
struct daemon_core::parts
{
    core_settings settings;
    result<membership> members;
    result<generation_coordinator> generations;
    result<call_coordinator> calls;
    result<replica_homes> homes;
    result<poison_request_detector> poison_requests;
    result<poison_part_detector> poison_parts;
    result<planned_stop> stop;

    [[nodiscard]] auto problems() const -> findings
    {
        auto all = findings{};
        auto const add = [&all](auto const& part) {
            if (!part)
            {
                auto const& more = part.error();
                all.insert(all.end(), more.begin(), more.end());
            }
        };
        add(members);
        add(generations);
        add(calls);
        add(homes);
        add(poison_requests);
        add(poison_parts);
        add(stop);
        return all;
    }
};

auto daemon_core::create(core_settings const& settings, time_point now)
    -> result<daemon_core>
{
    auto made = parts{
        settings,
        membership::create(settings.members, settings.self, settings.seed, now),
        generation_coordinator::create(settings.generations, settings.self.id),
        call_coordinator::create(settings.calls, settings.self.id),
        replica_homes::create(settings.homes),
        poison_request_detector::create(settings.lethal),
        poison_part_detector::create(part_settings(settings.seed)),
        planned_stop::create(settings.stop)};
    auto problems = made.problems();
    if (!problems.empty())
    {
        return tl::unexpected(std::move(problems));
    }
    return daemon_core{std::move(made)};
}

daemon_core::daemon_core(parts made)
    : settings_(std::move(made.settings))
    , members_(std::move(*made.members))
    , configuration_sync_(settings_.configuration)
    , generations_(std::move(*made.generations))
    , calls_(std::move(*made.calls))
    , homes_(std::move(*made.homes))
    , poison_requests_(std::move(*made.poison_requests))
    , poison_parts_(std::move(*made.poison_parts))
    , stop_(*made.stop)
    , random_(settings_.seed)
    , view_(current_view())
{}

auto daemon_core::step(event const& what, time_point now) -> actions
{
    std::visit([&](auto const& one) { handle(one, now); }, what);
    // The view is refreshed first, because the local messages delivered next
    // are handled with the membership and configuration in it.
    refresh_view(now);
    deliver_local(now);
    return std::exchange(actions_, {});
}

auto daemon_core::addresses() -> address_answer
{
    return choose_addresses(
        members_.members(), settings_.self.zone, settings_.self.region,
        settings_.addresses, random_);
}

auto daemon_core::handle(generation_arrived const& arrived, time_point now)
    -> void
{
    emit(generations_.on(arrived, context(), now));
}

auto daemon_core::handle(call_arrived const& arrived, time_point now) -> void
{
    emit(calls_.on(arrived, context(), now));
}

auto daemon_core::handle(caller_closed const& closed, time_point now) -> void
{
    emit(generations_.on(closed, context(), now));
    emit(calls_.on(closed, context(), now));
}

auto daemon_core::handle(chunk_arrived const& arrived, time_point now) -> void
{
    emit(generations_.on(arrived, context(), now));
}

auto daemon_core::handle(stream_ended const& ended, time_point now) -> void
{
    emit(generations_.on(ended, context(), now));
}

auto daemon_core::handle(call_ended const& ended, time_point now) -> void
{
    emit(calls_.on(ended, context(), now));
}

auto daemon_core::handle(load_arrived const& arrived, time_point now) -> void
{
    emit(homes_.record_load(arrived, now));
}

auto daemon_core::handle(peer_envelope const& envelope, time_point now) -> void
{
    std::visit(
        [&](auto const& message) { receive(envelope.from, message, now); },
        envelope.content);
}

auto daemon_core::handle(configuration_page const& page, time_point now) -> void
{
    emit(configuration_sync_.on(page, now));
}

auto daemon_core::handle(claim_page const& page, time_point now) -> void
{
    emit(calls_.on(page, context(), now));
}

auto daemon_core::handle(append_result const& outcome, time_point now) -> void
{
    if (outcome.token.value >= first_configuration_token)
    {
        emit(configuration_sync_.on(outcome, now));
        return;
    }
    emit(calls_.on(outcome, context(), now));
}

auto daemon_core::handle(vm_list_arrived const& list, time_point now) -> void
{
    leaving_ips_.clear();
    for (auto const& vm : list.vms)
    {
        if (vm.state == vm_state::leaving)
        {
            leaving_ips_.insert(vm.ip);
        }
    }
    view_stale_ = true;
    emit(members_.on(list.vms, now));
    if (leaving_ips_.contains(settings_.self.peer_address.ip))
    {
        handle(drain_asked{}, now);
    }
}

auto daemon_core::handle(edit_proposed const& proposed, time_point now) -> void
{
    emit(configuration_sync_.on(proposed, now));
}

auto daemon_core::handle(drain_asked const& asked, time_point now) -> void
{
    if (asked.endpoint)
    {
        mark_leaving(*asked.endpoint, now);
        return;
    }
    if (!stop_.begun())
    {
        stop_.begin(now);
        emit(members_.leave(now));
    }
}

auto daemon_core::handle(clock_ticked const& tick, time_point now) -> void
{
    wall_now_ = tick.civil;
    poison_requests_.expire(now);
    update_poison_parts(now);
    members_.set_in_force(configuration_sync_.log().in_force().offset);
    emit(members_.tick(now));
    emit(configuration_sync_.tick(members_.members(), rank(), tick.civil, now));
    emit(calls_.tick(context(), now));
    emit(homes_.tick(now));
    emit(generations_.tick(context(), now));
    poll_due_loads(now);
    auto const expired =
        std::erase_if(leaving_notices_, [&](auto const& notice) {
            return notice.second <= now;
        });
    view_stale_ = view_stale_ || expired > 0;
    advance_stop(now);
}

auto daemon_core::update_poison_parts(time_point now) -> void
{
    auto const found = poison_parts_.update(now);
    if (found.empty())
    {
        return;
    }
    for (auto const& part : found)
    {
        actions_.emplace_back(report{
            report_level::warning, "generation",
            "prompt part " + part.str() + " crashes endpoints"});
    }
    auto outputs = component_outputs{};
    broadcast(
        view_, poison_part_reports{{}, {}, poison_parts_.rulings()}, outputs);
    emit(outputs);
}

auto daemon_core::send_rulings_to_newcomers(
    std::vector<daemon_id> const& before) -> void
{
    auto const news = poison_part_reports{{}, {}, poison_parts_.rulings()};
    for (auto const& peer : view_.live)
    {
        auto const is_known =
            std::find(before.begin(), before.end(), peer) != before.end();
        if (!news.empty() && !is_known && peer != settings_.self.id)
        {
            send(peer, news);
        }
    }
}

auto daemon_core::poll_due_loads(time_point now) -> void
{
    auto const due = homes_.due_polls(now);
    if (due.empty())
    {
        return;
    }
    auto const wanted = std::set<endpoint_id>{due.begin(), due.end()};
    for (auto const& [name, parent] : configuration_sync_.log().config().groups)
    {
        for (auto const& member : parent.endpoints)
        {
            if (wanted.contains(member.id))
            {
                actions_.emplace_back(poll_load{member.id, member.address});
            }
        }
    }
}

auto daemon_core::mark_leaving(endpoint_id const& endpoint, time_point now)
    -> void
{
    leaving_notices_[endpoint] = now + settings_.notice_time;
    view_stale_ = true;
}

auto daemon_core::emit(component_outputs const& outputs) -> void
{
    for (auto const& one : outputs)
    {
        if (auto const* message = std::get_if<daemon_message>(&one))
        {
            send(message->to, message->message);
        }
        else
        {
            actions_.push_back(std::get<action>(one));
        }
    }
}

auto daemon_core::emit(daemon_messages const& messages) -> void
{
    for (auto const& one : messages)
    {
        send(one.to, one.message);
    }
}

auto daemon_core::emit(membership_outputs const& outputs) -> void
{
    for (auto const& one : outputs)
    {
        if (auto const* message = std::get_if<send_membership_message>(&one))
        {
            actions_.emplace_back(send_peer{message->to, message->message});
        }
        else if (auto const* changed = std::get_if<member_changed>(&one))
        {
            view_stale_ = true;
            actions_.emplace_back(report{
                report_level::info, "membership",
                "what is believed of " + changed->now.id.str() +
                    " has changed"});
        }
    }
}

auto daemon_core::send(daemon_id const& to, peer_message const& message) -> void
{
    if (to == settings_.self.id)
    {
        local_messages_.push_back(message);
        return;
    }
    auto const found = members_.find(to);
    if (found)
    {
        actions_.emplace_back(send_peer{found->peer_address, message});
    }
}

auto daemon_core::deliver_local(time_point now) -> void
{
    while (!local_messages_.empty())
    {
        auto const message = std::move(local_messages_.front());
        local_messages_.pop_front();
        handle(peer_envelope{settings_.self.id, message}, now);
    }
}

auto daemon_core::refresh_view(time_point now) -> void
{
    auto const offset = configuration_sync_.log().in_force().offset;
    if (!view_stale_ && offset == view_offset_)
    {
        return;
    }
    view_stale_ = false;
    auto next = current_view();
    if (next == view_ && offset == view_offset_)
    {
        return;
    }
    auto const before = std::exchange(view_, std::move(next));
    view_offset_ = offset;
    homes_.adopt(view_, configuration_sync_.log().config());
    generations_.adopt(configuration_sync_.log().config());
    if (before.live != view_.live)
    {
        emit(calls_.on(live_daemons{view_.live}, context(), now));
        send_rulings_to_newcomers(before.live);
    }
    migrate_from_newly_leaving(before.leaving, now);
}

auto daemon_core::current_view() const -> cluster_view
{
    auto view = cluster_view{};
    view.self = settings_.self.id;
    view.zone = settings_.self.zone;
    view.region_zones = zones_of(members_.members(), settings_.self.region);
    view.live = members_.live();
    view.leaving = leaving_endpoints();
    auto const same =
        view.live == view_.live &&
        configuration_sync_.log().in_force().offset == view_offset_;
    view.homes = same ? view_.homes
                      : homes_of(configuration_sync_.log().config(), view.live);
    return view;
}

auto daemon_core::leaving_endpoints() const -> std::set<endpoint_id>
{
    auto leaving = std::set<endpoint_id>{};
    for (auto const& [name, parent] : configuration_sync_.log().config().groups)
    {
        for (auto const& member : parent.endpoints)
        {
            auto const leaves = leaving_ips_.contains(member.address.ip) ||
                                leaving_notices_.contains(member.id) ||
                                is_labelled_leaving(parent, member);
            if (leaves)
            {
                leaving.insert(member.id);
            }
        }
    }
    return leaving;
}

auto daemon_core::migrate_from_newly_leaving(
    std::set<endpoint_id> const& before, time_point now) -> void
{
    for (auto const& endpoint : view_.leaving)
    {
        if (before.contains(endpoint))
        {
            continue;
        }
        emit(generations_.migrate_from(endpoint, context(), now));
        for (auto const& peer : view_.live)
        {
            if (peer != settings_.self.id)
            {
                send(peer, endpoint_leaving{endpoint});
            }
        }
    }
}

auto daemon_core::advance_stop(time_point now) -> void
{
    if (!stop_.begun() || stop_reported_)
    {
        return;
    }
    auto const open = generations_.open() + calls_.open();
    if (stop_.step(open, now) == stop_phase::stopped)
    {
        stop_reported_ = true;
        actions_.emplace_back(stop_completed{});
    }
}

auto daemon_core::context() -> decision_context
{
    return {
        view_,
        configuration_sync_.log().config(),
        configuration_sync_.is_caught_up(),
        poison_requests_,
        poison_parts_,
        wall_now_};
}

auto daemon_core::rank() const -> std::size_t
{
    auto const& live = view_.live;
    auto const found = std::find(live.begin(), live.end(), settings_.self.id);
    return static_cast<std::size_t>(found - live.begin());
}

} // namespace sapphirereel
