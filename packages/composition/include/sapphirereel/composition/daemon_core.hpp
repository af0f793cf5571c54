/// \file
/// Defines daemon_core, the deterministic state machine of a daemon: events are
/// passed to `step`, which returns actions and has no other effect. The same
/// events at the same times yield the same actions.
#ifndef SAPPHIREREEL_COMPOSITION_DAEMON_CORE_HPP
#define SAPPHIREREEL_COMPOSITION_DAEMON_CORE_HPP

#include "sapphirereel/composition/action.hpp"
#include "sapphirereel/composition/call_coordinator.hpp"
#include "sapphirereel/composition/cluster_view.hpp"
#include "sapphirereel/composition/configuration_sync.hpp"
#include "sapphirereel/composition/event.hpp"
#include "sapphirereel/composition/generation_coordinator.hpp"
#include "sapphirereel/composition/replica_homes.hpp"
#include "sapphirereel/core/address_answer.hpp"
#include "sapphirereel/core/membership.hpp"
#include "sapphirereel/core/planned_stop.hpp"
#include "sapphirereel/core/poison_part.hpp"
#include "sapphirereel/core/poison_request.hpp"

#include <deque>
#include <random>
#include <set>

namespace sapphirereel {

/// Settings of a daemon's core.
struct core_settings
{
    /// This daemon's member record; its id is new for each start.
    member self;
    generation_coordinator_settings generations;
    call_coordinator_settings calls;
    home_settings homes;
    /// Ordinary engine failures are far more frequent than requests that crash
    /// engines, so a request is refused only after three crashes.
    poison_request_settings lethal{.deaths = 3, .isolation_deaths = 2};
    configuration_sync_settings configuration;
    membership_settings members;
    address_answer_settings addresses;
    planned_stop_settings stop;
    /// Time for which a notice of a leaving endpoint, from a peer or an
    /// operator, is valid. Afterwards the endpoint counts as leaving only if
    /// the configuration or the VM list says so.
    duration notice_time = std::chrono::minutes{10};
    std::uint64_t seed = 1;
    auto operator<=>(core_settings const&) const = default;
};

/// The core of one daemon.
/// Example:
/// \code
/// auto core = daemon_core::create(settings, now);
/// for (auto const& one : core->step(clock_ticked{civil}, now))
///     perform(one);
/// \endcode
class daemon_core
{
public:
    static auto create(core_settings const& settings, time_point now)
        -> result<daemon_core>;

    /// Processes one event and returns the actions to perform, in order.
    auto step(event const& what, time_point now) -> actions;

    /// Returns the daemon addresses for a caller that requests them.
    auto addresses() -> address_answer;

    [[nodiscard]] auto configuration() const -> configuration_log const&
    {
        return configuration_sync_.log();
    }

    [[nodiscard]] auto members() const -> std::vector<member>
    {
        return members_.members();
    }

    [[nodiscard]] auto self() const -> member const&
    {
        return members_.self();
    }

    [[nodiscard]] auto generations() const -> generation_coordinator const&
    {
        return generations_;
    }

    [[nodiscard]] auto calls() const -> call_coordinator const&
    {
        return calls_;
    }

    [[nodiscard]] auto homes() const -> replica_homes const&
    {
        return homes_;
    }

    [[nodiscard]] auto view() const -> cluster_view const&
    {
        return view_;
    }

    [[nodiscard]] auto stop_state() const -> stop_phase
    {
        return stop_.phase();
    }

    /// Offset to read the stream `claims` from.
    [[nodiscard]] auto next_claim() const -> log_offset
    {
        return calls_.once().next_offset();
    }

private:
    struct parts;
    explicit daemon_core(parts made);

    auto handle(generation_arrived const& arrived, time_point now) -> void;
    auto handle(call_arrived const& arrived, time_point now) -> void;
    auto handle(caller_closed const& closed, time_point now) -> void;
    auto handle(chunk_arrived const& arrived, time_point now) -> void;
    auto handle(stream_ended const& ended, time_point now) -> void;
    auto handle(call_ended const& ended, time_point now) -> void;
    auto handle(load_arrived const& arrived, time_point now) -> void;
    auto handle(peer_envelope const& envelope, time_point now) -> void;
    auto handle(configuration_page const& page, time_point now) -> void;
    auto handle(claim_page const& page, time_point now) -> void;
    auto handle(append_result const& outcome, time_point now) -> void;
    auto handle(vm_list_arrived const& list, time_point now) -> void;
    auto handle(edit_proposed const& proposed, time_point now) -> void;
    auto handle(drain_asked const& asked, time_point now) -> void;
    auto handle(clock_ticked const& tick, time_point now) -> void;

    auto receive(
        daemon_id const& from, membership_message const&, time_point now)
        -> void;
    auto receive(daemon_id const& from, reserve_message const&, time_point now)
        -> void;
    auto receive(
        daemon_id const& from, reserve_reply_message const&, time_point now)
        -> void;
    auto receive(daemon_id const& from, release_message const&, time_point now)
        -> void;
    auto receive(daemon_id const& from, progress_message const&, time_point now)
        -> void;
    auto receive(daemon_id const& from, announce_message const&, time_point now)
        -> void;
    auto receive(
        daemon_id const& from, announce_request_message const&, time_point now)
        -> void;
    auto receive(daemon_id const& from, claim_message const&, time_point now)
        -> void;
    auto receive(
        daemon_id const& from, configuration_query const&, time_point now)
        -> void;
    auto receive(
        daemon_id const& from, configuration_snapshot const&, time_point now)
        -> void;
    auto receive(daemon_id const& from, endpoint_leaving const&, time_point now)
        -> void;
    auto receive(daemon_id const& from, crash_message const&, time_point now)
        -> void;
    auto receive(daemon_id const& from, cleared_message const&, time_point now)
        -> void;
    auto receive(
        daemon_id const& from, poison_part_reports const&, time_point now)
        -> void;

    auto emit(component_outputs const& outputs) -> void;
    auto emit(daemon_messages const& messages) -> void;
    auto emit(membership_outputs const& outputs) -> void;
    auto send(daemon_id const& to, peer_message const& message) -> void;
    auto deliver_local(time_point now) -> void;
    auto refresh_view(time_point now) -> void;
    auto current_view() const -> cluster_view;
    auto leaving_endpoints() const -> std::set<endpoint_id>;
    auto migrate_from_newly_leaving(
        std::set<endpoint_id> const& before, time_point now) -> void;
    auto mark_leaving(endpoint_id const& endpoint, time_point now) -> void;
    auto update_poison_parts(time_point now) -> void;
    auto send_rulings_to_newcomers(std::vector<daemon_id> const& before)
        -> void;
    auto poll_due_loads(time_point now) -> void;
    auto advance_stop(time_point now) -> void;
    [[nodiscard]] auto context() -> decision_context;
    [[nodiscard]] auto rank() const -> std::size_t;

    core_settings settings_;
    membership members_;
    configuration_sync configuration_sync_;
    generation_coordinator generations_;
    call_coordinator calls_;
    replica_homes homes_;
    poison_request_detector poison_requests_;
    poison_part_detector poison_parts_;
    planned_stop stop_;
    std::mt19937_64 random_;
    cluster_view view_;
    log_offset view_offset_;
    wall_time wall_now_;
    /// Addresses of VMs that the platform's list reports as leaving.
    std::set<std::string> leaving_ips_;
    /// Endpoints reported as leaving, and the time until which the notice is
    /// valid.
    std::map<endpoint_id, time_point> leaving_notices_;
    /// Whether an input of the cluster view may have changed.
    bool view_stale_ = true;
    bool stop_reported_ = false;
    std::deque<peer_message> local_messages_;
    actions actions_;
};

} // namespace sapphirereel

#endif
