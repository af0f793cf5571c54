/// \file
/// Defines what every exchange does: admit a request, choose a replica for
/// each attempt, count what was sent, and give the caller its final answer.
#ifndef SAPPHIREREEL_RELAY_EXCHANGE_HPP
#define SAPPHIREREEL_RELAY_EXCHANGE_HPP

#include "sapphirereel/relay/caller_session.hpp"
#include "sapphirereel/relay/message_format.hpp"
#include "sapphirereel/relay/relay_state.hpp"
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

/// Shortest time that is left to a replica; with less, an attempt is not made.
inline constexpr auto min_attempt_time =
    duration{std::chrono::milliseconds{15}};

/// Time to come back after a refusal, as a share of the time within which an
/// answer is worth most; jittered by as much again.
inline constexpr auto retry_after_share = 0.5;

/// Longest time that a refused caller is told to wait.
inline constexpr auto max_retry_after =
    duration{std::chrono::milliseconds{1'500}};

/// A request with its caller and what has been done for it so far.
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

    /// Tells the owner when the caller has left and when the deadline passes.
    auto watch(
        std::function<void()> caller_disconnected,
        std::function<void()> deadline_passed) -> void;

    /// Ends the request as not run.
    auto refuse(refusal_reason why) -> void;

    /// Ends the request with a status that promises nothing.
    auto fail(int status, std::string_view why) -> void;

    /// Notes that a call failed, in case the request crashed its replica.
    auto attribute_crash(
        replica const& at, call_failure const& why, time_point now) -> void;

    /// Notes that a replica answered the request.
    auto record_answer(time_point now) -> void;

    /// Whether an attempt may have run the request.
    [[nodiscard]] auto may_have_run() const -> bool
    {
        return runs > 0;
    }

    /// Time until the deadline.
    [[nodiscard]] auto remaining(time_point now) const -> duration
    {
        return granted.deadline - now;
    }

    /// Whether another send is covered by the retry budget, and would not crash
    /// another replica; the first one always is covered.
    auto may_send(time_point now) -> bool;

    [[nodiscard]] auto engine() const -> std::optional<engine_traits>;

    relay_state& state;
    std::shared_ptr<caller_session> caller;
    caller_request request;
    grant granted;
    /// The service that the route's weights gave the request to.
    service_name service;
    /// Replicas that are not tried again.
    std::set<endpoint_id> excluded;
    /// Attempts that reached a replica, and those of them that may have run.
    std::uint32_t sends = 0;
    std::uint32_t runs = 0;
    time_point started_at;
    asio::steady_timer deadline_timer;
    bool finished = false;

private:
    auto pick_service() -> service_name;
    auto content() -> digest const&;

    /// Digest of the request's content, once it has been needed.
    std::optional<digest> fingerprint_;
};

/// Answers a request that is not served.
auto send_refusal(
    caller_session& caller,
    refusal const& why,
    std::string_view request_id,
    relay_state& state) -> void;

/// The address of a replica; none if its entry holds no address.
auto address_of(replica const& target)
    -> std::optional<asio::ip::tcp::endpoint>;

} // namespace sapphirereel::relay

#endif
