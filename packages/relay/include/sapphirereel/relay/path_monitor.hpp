/// \file
/// Defines the detection of services whose replicas this daemon reaches no
/// more, by the attempts that it makes for requests.
#ifndef SAPPHIREREEL_RELAY_PATH_MONITOR_HPP
#define SAPPHIREREEL_RELAY_PATH_MONITOR_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirereel::relay {

/// Failures at so many replicas of a service in a row, without any response in
/// between, mean that the path to them is lost. One replica may be down alone.
inline constexpr auto failures_of_lost_path = std::size_t{2};

/// Whether this daemon reaches the replicas of each service. It can't tell a
/// lost path from the loss of the replicas; its peers can.
class path_monitor
{
public:
    /// Records that a replica of a service has sent something. Ends a loss.
    auto record_response(service_name const& service) -> void;

    /// Records that a trial connection was established. One request at a time
    /// may then go the direct way, until a replica responds.
    auto record_trial_connection(service_name const& service, time_point now)
        -> void;

    /// Records that a replica could not be connected to, or did not respond.
    /// `replicas` is the number of the service's replicas. Returns whether the
    /// path is found to be lost by that.
    auto record_failure(
        service_name const& service,
        endpoint_id const& replica,
        std::size_t replicas,
        time_point now) -> bool;

    /// Whether the path to a service is lost, or not yet known to be back.
    [[nodiscard]] auto is_lost(service_name const& service) const -> bool;

    /// Whether a request must not go the direct way. After a trial connection
    /// one may from time to time.
    [[nodiscard]] auto must_avoid(
        service_name const& service, time_point now) const -> bool;

    /// Records that a request goes the direct way; on a path on trial it is the
    /// trial.
    auto record_attempt(service_name const& service, time_point now) -> void;

    /// Forgets what is known of the path to a service without replicas.
    auto forget(service_name const& service) -> void;

    /// Records that a replica ended a request's connection. Returns whether
    /// another replica has just ended that of another request: a cut path does
    /// that, a request that crashes replicas does not.
    auto record_connection_end(
        endpoint_id const& replica,
        std::string const& request_id,
        time_point now) -> bool;

    /// The services to which the path is lost. One is left out if a trial
    /// connection was established and no request has decided since whether the
    /// path is back: callers and peers are to send one.
    [[nodiscard]] auto lost_services(time_point now) const
        -> std::vector<service_name>;

    /// The services for which a trial connection is due; each call counts as
    /// making them.
    auto due_trials(time_point now) -> std::vector<service_name>;

    /// Forgets failures that are too old to belong to a present loss.
    auto expire(time_point now) -> void;

private:
    enum class path_state
    {
        usable,
        lost,
        /// A trial connection was established, and no replica has responded.
        on_trial
    };

    struct service_path
    {
        /// The replicas that have failed since the last response, and when.
        std::map<endpoint_id, time_point> failed;
        path_state state = path_state::usable;
        time_point next_trial_at;
        /// Interval of trial connections; grows with each trial that fails.
        duration trial_interval{0};
        /// When the trial connection was established.
        time_point on_trial_since;
        /// When the last request was sent as a trial.
        std::optional<time_point> trial_request_at;
    };

    [[nodiscard]] static auto needs_trial_request(
        service_path const& path, time_point now) -> bool;

    static auto drop_old_failures(service_path& path, time_point now) -> void;

    struct connection_end
    {
        endpoint_id replica;
        std::string request_id;
        time_point at;
    };

    std::map<service_name, service_path> paths_;
    std::optional<connection_end> last_end_;
};

} // namespace sapphirereel::relay

#endif
