#include "sapphirereel/relay/path_monitor.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Time for which a failure counts.
constexpr auto failure_memory = duration{std::chrono::seconds{4}};

/// Time within which connections to several replicas end if the path is cut.
constexpr auto coincidence_time = duration{std::chrono::milliseconds{100}};

/// Interval of the trial connections to a service to which the path is lost. It
/// doubles if a connection is established and no response follows.
constexpr auto first_trial_interval = duration{std::chrono::milliseconds{500}};
constexpr auto max_trial_interval = duration{std::chrono::milliseconds{4'000}};

/// Time after which a request that was sent as a trial is followed by another
/// one.
constexpr auto trial_request_time = duration{std::chrono::milliseconds{1'000}};

/// Time on trial without a response or a failure after which requests from
/// everywhere are wanted. A stream that fails by silence takes this long.
constexpr auto undecided_trial_time =
    duration{std::chrono::milliseconds{2'500}};

} // namespace

auto path_monitor::record_response(service_name const& service) -> void
{
    paths_.erase(service);
}

auto path_monitor::record_trial_connection(
    service_name const& service, time_point now) -> void
{
    auto const found = paths_.find(service);
    if (found != paths_.end() && found->second.state == path_state::lost)
    {
        found->second.state = path_state::on_trial;
        found->second.on_trial_since = now;
        found->second.trial_request_at.reset();
    }
}

auto path_monitor::drop_old_failures(service_path& path, time_point now) -> void
{
    std::erase_if(path.failed, [now](auto const& each) {
        return now - each.second > failure_memory;
    });
}

auto path_monitor::record_failure(
    service_name const& service,
    endpoint_id const& replica,
    std::size_t replicas,
    time_point now) -> bool
{
    auto& path = paths_[service];
    path.failed[replica] = now;
    drop_old_failures(path, now);
    auto const needed =
        std::clamp<std::size_t>(replicas, 1, failures_of_lost_path);
    auto const is_found =
        path.state == path_state::on_trial ||
        (path.state == path_state::usable && path.failed.size() >= needed);
    if (!is_found)
    {
        return false;
    }
    path.trial_interval =
        path.state == path_state::on_trial
            ? std::min(max_trial_interval, path.trial_interval * 2)
            : first_trial_interval;
    path.state = path_state::lost;
    path.next_trial_at = now + path.trial_interval;
    return true;
}

auto path_monitor::is_lost(service_name const& service) const -> bool
{
    auto const found = paths_.find(service);
    return found != paths_.end() && found->second.state != path_state::usable;
}

auto path_monitor::must_avoid(service_name const& service, time_point now) const
    -> bool
{
    auto const found = paths_.find(service);
    if (found == paths_.end() || found->second.state == path_state::usable)
    {
        return false;
    }
    auto const& path = found->second;
    auto const may_try = path.state == path_state::on_trial &&
                         (!path.trial_request_at ||
                          now - *path.trial_request_at >= trial_request_time);
    return !may_try;
}

auto path_monitor::record_attempt(service_name const& service, time_point now)
    -> void
{
    auto const found = paths_.find(service);
    if (found != paths_.end() && found->second.state == path_state::on_trial)
    {
        found->second.trial_request_at = now;
    }
}

auto path_monitor::forget(service_name const& service) -> void
{
    paths_.erase(service);
}

auto path_monitor::record_connection_end(
    endpoint_id const& replica, std::string const& request_id, time_point now)
    -> bool
{
    auto const before =
        std::exchange(last_end_, connection_end{replica, request_id, now});
    return before && before->replica != replica &&
           before->request_id != request_id &&
           now - before->at <= coincidence_time;
}

auto path_monitor::needs_trial_request(service_path const& path, time_point now)
    -> bool
{
    auto const last = path.trial_request_at.value_or(path.on_trial_since);
    return path.state == path_state::on_trial &&
           now - last >= undecided_trial_time;
}

auto path_monitor::lost_services(time_point now) const
    -> std::vector<service_name>
{
    auto lost = std::vector<service_name>{};
    for (auto const& [service, path] : paths_)
    {
        if (path.state != path_state::usable && !needs_trial_request(path, now))
        {
            lost.push_back(service);
        }
    }
    return lost;
}

auto path_monitor::due_trials(time_point now) -> std::vector<service_name>
{
    auto due = std::vector<service_name>{};
    for (auto& [service, path] : paths_)
    {
        if (path.state == path_state::lost && now >= path.next_trial_at)
        {
            path.next_trial_at = now + path.trial_interval;
            due.push_back(service);
        }
    }
    return due;
}

auto path_monitor::expire(time_point now) -> void
{
    for (auto at = paths_.begin(); at != paths_.end();)
    {
        auto& path = at->second;
        drop_old_failures(path, now);
        auto const is_idle =
            path.state == path_state::usable && path.failed.empty();
        at = is_idle ? paths_.erase(at) : std::next(at);
    }
}

} // namespace sapphirereel::relay
