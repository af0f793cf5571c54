/// \file
/// Defines generation_coordinator, which handles the generations that enter the
/// cluster at a daemon: it places them on replicas, reports their progress to
/// the replicas' homes and forwards their tokens.
#ifndef SAPPHIREREEL_COMPOSITION_GENERATION_COORDINATOR_HPP
#define SAPPHIREREEL_COMPOSITION_GENERATION_COORDINATOR_HPP

#include "sapphirereel/composition/action.hpp"
#include "sapphirereel/composition/cluster_view.hpp"
#include "sapphirereel/composition/replica_homes.hpp"
#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/generation.hpp"
#include "sapphirereel/core/outlier_ejection.hpp"
#include "sapphirereel/core/placement.hpp"
#include "sapphirereel/core/poison_part.hpp"
#include "sapphirereel/core/poison_request.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sapphirereel {

/// Settings of a daemon's generations.
struct generation_coordinator_settings
{
    generation_settings generation;
    placement_settings placement;
    outlier_settings outliers;
    /// Time between two progress reports to a replica's home.
    duration progress_interval = std::chrono::seconds{5};
    /// Tokens that must be generated past the point of a crash to show that the
    /// request did not cause it; a poison request crashes the next engine at
    /// the same point.
    std::uint64_t tokens_past_crash = 8;
    /// Random seed.
    std::uint64_t seed = 1;
    auto operator<=>(generation_coordinator_settings const&) const = default;
};

/// Output of a component: an action of the daemon, or a message to a daemon by
/// id.
using component_output = std::variant<action, daemon_message>;
using component_outputs = std::vector<component_output>;

/// Inputs of the coordinators' decisions, and the detectors that they share.
struct decision_context
{
    cluster_view const& cluster;
    configuration const& config;
    /// Whether this daemon has read the configuration since it started.
    bool configuration_known = false;
    poison_request_detector& poison_detector;
    poison_part_detector& part_detector;
    /// Wall-clock time of the last tick.
    wall_time wall_now;
};

/// Sends a message to every other live daemon.
auto broadcast(
    cluster_view const& cluster,
    peer_message const& message,
    component_outputs& outputs) -> void;

/// Records that an endpoint crashed while it ran a request and informs the
/// other daemons.
auto report_crash(
    endpoint_id const& endpoint,
    digest const& content,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void;

/// The final refusal of a poison request; nothing for any other request.
auto poison_request_refusal(
    digest const& content, poison_request_detector const& detector)
    -> std::optional<refusal>;

/// Status of one generation.
struct generation_status
{
    attachment_id attachment;
    run_id run;
    service_name service;
    customer_id customer;
    std::optional<endpoint_id> endpoint;
    std::uint64_t next_index = 0;
    bool streaming = false;
    auto operator<=>(generation_status const&) const = default;
};

/// Counts since the start.
struct generation_counts
{
    std::uint64_t arrived = 0;
    std::uint64_t resumed = 0;
    std::uint64_t finished = 0;
    std::uint64_t refused = 0;
    std::uint64_t engines_lost = 0;
    std::uint64_t moved = 0;
    auto operator<=>(generation_counts const&) const = default;
};

/// Handles all generations of one entry daemon.
class generation_coordinator
{
public:
    static auto create(
        generation_coordinator_settings const& settings, daemon_id const& self)
        -> result<generation_coordinator>;

    auto on(
        generation_arrived const& arrived,
        decision_context const& context,
        time_point now) -> component_outputs;
    auto on(
        caller_closed const& closed,
        decision_context const& context,
        time_point now) -> component_outputs;
    auto on(
        chunk_arrived const& arrived,
        decision_context const& context,
        time_point now) -> component_outputs;
    auto on(
        stream_ended const& ended,
        decision_context const& context,
        time_point now) -> component_outputs;
    auto on(
        daemon_id const& from,
        reserve_reply_message const& reply,
        decision_context const& context,
        time_point now) -> component_outputs;
    auto on(
        daemon_id const& from,
        announce_request_message const& question,
        decision_context const& context,
        time_point now) -> component_outputs;

    /// Updates the set of replicas from the configuration.
    auto adopt(configuration const& config) -> void;

    /// Advances timeouts.
    auto tick(decision_context const& context, time_point now)
        -> component_outputs;

    /// Migrates all generations that can continue elsewhere off an endpoint.
    auto migrate_from(
        endpoint_id const& endpoint,
        decision_context const& context,
        time_point now) -> component_outputs;

    [[nodiscard]] auto open() const -> std::size_t
    {
        return generations_.size();
    }

    [[nodiscard]] auto counts() const -> generation_counts const&
    {
        return counts_;
    }

    [[nodiscard]] auto status() const -> std::vector<generation_status>;

private:
    struct open_generation
    {
        generation value;
        stream_offer offer;
        /// Home daemon that holds the run's reservation.
        daemon_id home;
        /// Output length at the time an engine crashed.
        std::optional<std::uint64_t> crashed_at;
        /// Whether an engine has produced output for it, so that none of its
        /// parts is poison.
        bool has_output = false;
        /// Whether it runs to see if a poison part still crashes endpoints.
        bool is_part_trial = false;
    };

    generation_coordinator(
        generation_coordinator_settings const& settings,
        daemon_id self,
        placement searches,
        outlier_ejection health);

    auto run_actions(
        attachment_id attachment,
        generation_actions const& todo,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto perform(
        attachment_id attachment,
        find_place const& wanted,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto perform(
        attachment_id attachment,
        start_run const& start,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto perform(
        attachment_id attachment,
        attach_run const& attach,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto perform(
        attachment_id attachment,
        release_place const& left,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto perform(
        attachment_id attachment,
        engine_lost const& lost,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto perform(
        attachment_id attachment,
        finish_generation const& finished,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto clear_if_past_crash(
        open_generation& target,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto record_part_crash(
        open_generation& target,
        endpoint_id const& endpoint,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto record_part_output(
        open_generation& target,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    static auto poison_refusal(
        open_generation const& target, decision_context const& context)
        -> std::optional<refusal>;
    auto refuse_poison_request(
        attachment_id attachment,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> bool;
    auto candidates_for(
        request_facts const& facts,
        std::set<endpoint_id> const& excluded,
        decision_context const& context,
        time_point now) const -> placement_candidates;
    auto perform(
        attachment_id attachment,
        refuse_generation const& refused,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto perform_searches(
        placement_actions const& todo,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto handle_placed(
        stream_placed const& placed,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto handle_not_placed(
        stream_not_placed const& unplaced,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto report_progress(
        decision_context const& context, component_outputs& outputs) -> void;
    auto drop_ended() -> void;
    auto by_run(run_id const& run) -> open_generation*;

    generation_coordinator_settings settings_;
    daemon_id self_;
    placement searches_;
    outlier_ejection health_;
    run_id_generator names_;
    std::map<attachment_id, open_generation> generations_;
    std::map<run_id, attachment_id> runs_;
    std::map<stream_number, attachment_id> streams_;
    generation_counts counts_;
    bool any_ended_ = false;
    time_point next_progress_{};
};

} // namespace sapphirereel

#endif
