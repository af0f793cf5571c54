/// \file
/// Defines the state and operations common to all exchanges: retry limits,
/// crash attribution, the deadline and error responses to the caller.
#ifndef SAPPHIREREEL_RELAY_EXCHANGE_HPP
#define SAPPHIREREEL_RELAY_EXCHANGE_HPP

#include "sapphirereel/relay/caller_session.hpp"
#include "sapphirereel/relay/message_format.hpp"
#include "sapphirereel/relay/relay_state.hpp"
#include "sapphirereel/relay/response_attribution.hpp"
#include "sapphirereel/telemetry/clocks.hpp"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sapphirereel::relay {

/// Minimum time until the deadline for an attempt to be made.
inline constexpr auto min_attempt_time =
    duration{std::chrono::milliseconds{15}};

/// Minimum Retry-After of a refusal, as a fraction of the route's target
/// latency; random jitter adds up to as much again.
inline constexpr auto retry_after_share = 0.5;

/// Maximum Retry-After of a refusal.
inline constexpr auto max_retry_after =
    duration{std::chrono::milliseconds{1'500}};

/// Maximum Retry-After of a refusal whose wait is expected.
inline constexpr auto max_expected_retry_after =
    duration{std::chrono::milliseconds{5'000}};

/// Delay after which a caller that a stopping daemon refused may try another.
inline constexpr auto retry_elsewhere_after =
    duration{std::chrono::milliseconds{50}};

/// Minimum Retry-After of a request that found no permit for cold replicas.
inline constexpr auto min_cold_retry_after =
    duration{std::chrono::milliseconds{50}};

/// Delay after which a caller may retry a request that crashes replicas. Crash
/// records expire, as the replicas' software may have been fixed since.
inline constexpr auto poison_retry_after = duration{std::chrono::seconds{60}};

/// Maximum idle time of a pooled connection for a request that may run only
/// once: the other side may drop idle connections without notice, and such a
/// request is not sent again.
inline constexpr auto max_idle_for_single_run =
    duration{std::chrono::milliseconds{900}};

/// Time without a response from which an attempt that ends counts as one that
/// its replica did not respond to.
inline constexpr auto min_silence_of_failure =
    duration{std::chrono::milliseconds{300}};

/// Timeout of an attempt of an idempotent request while another attempt is
/// left, as a multiple of the route's target latency.
inline constexpr auto attempt_timeout_factor = 2.0;

/// Interval at which a request that waits for an open replica looks for one,
/// and the longest wait as a share of the route's target latency.
inline constexpr auto open_replica_poll_interval =
    duration{std::chrono::milliseconds{10}};
inline constexpr auto max_wait_for_open_replica_share = 0.5;

/// Why a request must end before its replica has answered.
enum class interruption
{
    /// Its deadline has passed.
    deadline,
    /// The daemon stops.
    stop,
    /// A part of its prompt was found to crash replicas.
    poison
};

/// The refusal and the error status with which an interruption ends a request:
/// the first if it has not run, the other if that is not certain.
struct interruption_outcome
{
    refusal_reason refusal = refusal_reason::deadline;
    int status = 504;
    std::string_view detail;
    auto operator<=>(interruption_outcome const&) const = default;
};

/// A request with its caller, its route and the attempts made for it so far.
class exchange
{
public:
    exchange(
        relay_state& state,
        std::shared_ptr<caller_session> caller,
        caller_request request,
        grant granted);
    ~exchange();
    exchange(exchange const&) = delete;
    auto operator=(exchange const&) -> exchange& = delete;

    using interruption_handler = std::function<void(interruption)>;

    /// Sets the handlers for the caller's disconnect, and for the deadline or
    /// the daemon's stop. `owner` holds this exchange; it is kept until the
    /// event loop has run the deadline's handler, also if the deadline is
    /// cancelled, so that no function of the owner outlives it.
    auto set_handlers(
        std::shared_ptr<void> owner,
        std::function<void()> caller_disconnected,
        interruption_handler interrupted) -> void;

    /// Calls the handler for interruptions.
    auto interrupt(interruption why) -> void;

    /// Refuses the request, stating that it was not executed. The caller may
    /// return after `retry_after`. If that is not given, it may go to another
    /// daemon at once if this one stops, else return after a time drawn at
    /// random.
    auto refuse(
        refusal_reason why, std::optional<duration> retry_after = std::nullopt)
        -> void;

    /// The Retry-After for a request that is expected to find room after a
    /// wait: no shorter than the usual one, so that callers do not return while
    /// there is no room.
    [[nodiscard]] auto retry_after_for(duration expected_wait) -> duration;

    /// Decides what a response proves about this request. Counts and logs one
    /// that need not be about it, and records that the path carries responses.
    auto examine(
        replica const& at,
        http::response_head const& head,
        replica_response const& response,
        upstream_call const& call) -> response_proof;

    /// The refusal and the error status with which an interruption ends this
    /// request.
    [[nodiscard]] auto outcome_of(interruption why) const
        -> interruption_outcome;

    /// Logs a step of the request: as a usual one until an attempt has failed
    /// or been rejected.
    auto log_step(
        std::string_view message, std::vector<telemetry::log_field> fields)
        -> void;

    /// Records that the request goes to a replica of the service, that one has
    /// sent something, or that the attempt at one failed without that.
    auto record_path_attempt(time_point now) -> void;
    auto record_path_response() -> void;
    auto record_path_failure(endpoint_id const& at, time_point now) -> void;

    /// Whether the request has to go to a peer, because the path to its
    /// replicas is lost and a peer reaches them.
    [[nodiscard]] auto must_forward(time_point now) -> bool;

    /// Whether no replica got the request because none could be connected to,
    /// and a peer may take it.
    [[nodiscard]] auto is_out_of_reach(time_point now) const -> bool;

    /// Ends this exchange without a response: another one takes the request
    /// over.
    auto hand_over() -> void;

    /// Takes the request out of the retry budget, as another daemon counts it.
    auto withdraw_from_budget() -> void;

    /// Chooses a replica that may be sent the request now.
    auto choose(
        placement_need need,
        std::optional<engine_traits> const& engine,
        time_point now) -> std::optional<placement>;

    /// Whether the last choice found no replica only because of the limits that
    /// replicas state, and one may be open while the request can still wait.
    [[nodiscard]] auto may_wait_for_open_replica(time_point now) const -> bool;

    /// Refuses the request if the last choice found no replica because all of
    /// its service have asked for a backoff or take no more by the limits that
    /// they state. Returns whether it did.
    auto refuse_if_none_takes_it(time_point now) -> bool;

    /// Refuses the request if it has not run and all replicas of its service
    /// are in evacuated zones. Returns whether it did.
    auto refuse_if_evacuated() -> bool;

    /// Whether the request has not run, and this daemon's planned stop would
    /// cut it off if it began now: it may have waited, or have been rejected,
    /// since it was accepted.
    [[nodiscard]] auto is_too_late_to_begin(time_point now) const -> bool;

    /// Ends the request with an error status that does not state whether it was
    /// executed.
    auto fail(int status, std::string_view why) -> void;

    /// Attributes a replica's crash to the request if the failure of a call
    /// looks like one. The parts of its prompt are suspected unless the replica
    /// had begun to answer.
    auto attribute_crash(
        replica const& at,
        call_failure const& why,
        bool has_output,
        time_point now) -> void;

    /// Records that a replica has begun to answer the request, so that the
    /// parts of its prompt are not suspected of crashing replicas.
    auto record_output(time_point now) -> void;

    /// Whether a part of the prompt is known to crash replicas, and the request
    /// is no trial.
    [[nodiscard]] auto is_poisoned() const -> bool;

    /// Records that a replica answered the request, so that it is not suspected
    /// of crashing replicas.
    auto record_answer(time_point now) -> void;

    /// Whether an attempt may have executed the request.
    [[nodiscard]] auto may_have_run() const -> bool
    {
        return runs > 0;
    }

    /// Time until the deadline.
    [[nodiscard]] auto remaining(time_point now) const -> duration
    {
        return granted.deadline - now;
    }

    /// Whether the request may be sent to a replica: always for the first time,
    /// then only if the retry budget covers it and the request is not known to
    /// crash replicas. A permitted retry is charged to the budget.
    auto may_send(time_point now) -> bool;

    [[nodiscard]] auto engine() const -> std::optional<engine_traits>;

    relay_state& state;
    std::shared_ptr<caller_session> caller;
    caller_request request;
    grant granted;
    /// The service chosen at random by the route's weights.
    service_name service;
    /// Replicas that are not tried again.
    std::set<endpoint_id> excluded;
    /// Attempts that reached a replica, and those of them that may have
    /// executed the request.
    std::uint32_t sends = 0;
    std::uint32_t runs = 0;
    /// Whether an attempt failed to connect.
    bool has_failed_to_connect = false;
    time_point started_at;
    /// Since when the caller waits for its next event: the request's arrival,
    /// or the loss of the replica that ran a stream that had begun.
    time_point waiting_since;
    asio::steady_timer deadline_timer;
    bool finished = false;

private:
    auto record_subject(
        replica const& at,
        http::response_head const& head,
        replica_response const& response,
        upstream_call const& call) -> void;

    /// Logs that a replica states that it has not executed the request.
    auto log_rejection(
        replica const& at,
        http::response_head const& head,
        replica_response const& response,
        upstream_call const& call) -> void;

    /// Whether a peer may take the request.
    [[nodiscard]] auto may_forward(time_point now) const -> bool;
    auto pick_service() -> service_name;
    auto content() -> digest const&;

    [[nodiscard]] auto default_retry_after(refusal_reason why) -> duration;
    /// The closed replicas that the last choice left out.
    closed_replicas closed_;

    std::shared_ptr<std::set<exchange*>> open_exchanges_;
    /// Whether a response to another request came in place of this one's.
    bool has_stale_response_ = false;
    interruption_handler interrupted_;
    /// Digest of the request's content, computed on first use.
    std::optional<digest> fingerprint_;
};

/// Records what the head of a replica's response says about the replica: its
/// load, that it leaves, for how long it wants no requests and which limits it
/// has. Ignored if another replica answered at the address. `sent_at` is when
/// the request was sent.
auto record_replica_state(
    relay_state& state,
    replica const& at,
    replica_response const& response,
    time_point sent_at,
    time_point now) -> void;

/// A request that is refused.
struct refused_request
{
    std::string_view id;
    /// Whether a peer has forwarded it, which then is told that this daemon and
    /// no replica refuses it.
    bool is_forwarded = false;
};

/// Responds to a request that is not served.
auto send_refusal(
    caller_session& caller,
    refusal const& why,
    refused_request const& request,
    relay_state& state) -> void;

/// IP:PORT of a replica.
auto host_and_port(replica const& at) -> std::string;

/// The address of a replica; none if its record holds no valid address.
auto address_of(replica const& target)
    -> std::optional<asio::ip::tcp::endpoint>;

} // namespace sapphirereel::relay

#endif
