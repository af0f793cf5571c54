/// \file
/// Defines the permits for sending to replicas that state a rate limit. One
/// daemon, the replica's home, issues them, so that all daemons together keep
/// to the limit however unevenly they need it; the others ask it.
#ifndef SAPPHIREREEL_RELAY_SEND_PERMIT_HPP
#define SAPPHIREREEL_RELAY_SEND_PERMIT_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace sapphirereel::relay {

/// What a permit is used for.
enum class permit_use : std::uint8_t
{
    /// The first attempt for a request, or a retry.
    request,
    /// A run that executes already, which is lost without the permit.
    running
};

inline constexpr auto count_of_permit_uses = std::size_t{2};

/// Asks a replica's home for a permit.
struct permit_request
{
    /// Address of the daemon that asks.
    std::string ip;
    /// Numbers the requests of one daemon.
    std::uint64_t number = 0;
    endpoint_id replica;
    /// The limit in requests per second that the daemon knows of.
    double rate = 0;
    permit_use use = permit_use::request;
    auto operator<=>(permit_request const&) const = default;
};

/// A home's response.
struct permit_response
{
    std::uint64_t number = 0;
    endpoint_id replica;
    /// Zero if the permit is issued, else the time until one may be.
    duration wait{0};
    permit_use use = permit_use::request;
    auto operator<=>(permit_response const&) const = default;
};

using permit_message = std::variant<permit_request, permit_response>;

auto write_permit_message(permit_message const& message) -> std::string;

/// None if the bytes are not a permit message.
auto read_permit_message(std::string_view bytes)
    -> std::optional<permit_message>;

/// Time for which a permit may be used.
inline constexpr auto permit_validity =
    duration{std::chrono::milliseconds{300}};

/// The same for a cold replica. Its limit counts in each second, and permits
/// that were issued before that second are used within it.
inline constexpr auto cold_permit_validity =
    duration{std::chrono::milliseconds{120}};

/// The parts of a replica's limits that one home issues permits for.
struct permit_shares
{
    /// Of the rate that the replica states.
    double stated = 1;
    /// Of the rate of a cold replica; 0 if this daemon is not its home.
    double cold = 1;
    auto operator<=>(permit_shares const&) const = default;
};

/// What a cold replica may get in any second: its rate times `overage`, and
/// `slack` requests more.
struct cold_bounds
{
    double overage = 1.5;
    double slack = 5;
    auto operator<=>(cold_bounds const&) const = default;
};

/// How the permits of one replica are issued.
struct permit_terms
{
    /// Permits per second.
    double rate = 0;
    /// Permits that accumulate while nobody asks for them.
    double burst = 1;
    /// Permits that are issued to running requests beyond the rate.
    double reserve = 0;
    /// Permits that a new bucket holds.
    double initial = 0;
    auto operator<=>(permit_terms const&) const = default;
};

/// The terms for a cold replica of which a home has a share of the rate. All
/// homes together keep to the bounds. `phase` is from 0 to 1 and differs from
/// home to home: it spreads the permits of homes that issue less than one at a
/// time.
auto cold_permit_terms(
    double rate, double share, cold_bounds const& bounds, double phase)
    -> permit_terms;

/// Issues the permits of the replicas whose home this daemon is: at most the
/// replica's rate, one request in a burst, and a few more for runs that execute
/// already. What these take is made up for by requests.
class permit_issuer
{
public:
    /// Issues a permit and returns zero, or returns the time until one can be
    /// issued. `rate` is this home's share of the replica's limit in requests
    /// per second.
    auto issue(
        endpoint_id const& id, double rate, permit_use use, time_point now)
        -> duration;

    /// The same on other terms.
    auto issue(
        endpoint_id const& id,
        permit_terms const& terms,
        permit_use use,
        time_point now) -> duration;

    /// Drops the state of replicas for which no permit was asked for a while.
    auto expire(time_point now) -> void;

private:
    struct bucket
    {
        double tokens = 0;
        time_point at;
    };
    std::map<endpoint_id, bucket> buckets_;
};

/// The permits that this daemon holds and has asked for.
class permit_holder
{
public:
    /// Whether a permit for a replica is held.
    [[nodiscard]] auto holds(endpoint_id const& id, time_point now) const
        -> bool;

    /// Whether the response to a request for a permit is still expected.
    [[nodiscard]] auto is_awaited(endpoint_id const& id, time_point now) const
        -> bool;

    /// When a permit for a replica was asked for last.
    [[nodiscard]] auto last_asked(endpoint_id const& id) const -> time_point;

    /// Uses a permit. Returns false if none is held.
    auto take(endpoint_id const& id, time_point now) -> bool;

    /// The number of the request to send to the replica's home; none if a
    /// permit is held or awaited, or was denied for longer than until now.
    auto ask(endpoint_id const& id, permit_use use, time_point now)
        -> std::optional<std::uint64_t>;

    /// Applies a home's response; a permit may be used for `validity` from when
    /// it was asked for.
    auto apply_response(
        permit_response const& response,
        time_point now,
        duration validity = permit_validity) -> void;

    /// Time until a permit for a request may be asked for again.
    [[nodiscard]] auto time_until_asked(
        endpoint_id const& id, time_point now) const -> duration;

    /// Drops what has expired.
    auto expire(time_point now) -> void;

private:
    struct replica_permits
    {
        std::optional<time_point> held_until;
        /// Number of the request that is not answered yet.
        std::optional<std::uint64_t> awaited;
        time_point asked_at;
        std::array<time_point, count_of_permit_uses> ask_again_at{};
    };

    std::map<endpoint_id, replica_permits> replicas_;
    std::uint64_t last_number_ = 0;
};

} // namespace sapphirereel::relay

#endif
