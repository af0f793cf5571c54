/// \file
/// Defines admission at the entry daemon: whether a request is tried at all,
/// how long it may wait for a place, and when a refused one should come back.
#ifndef SAPPHIREREEL_CORE_ADMISSION_HPP
#define SAPPHIREREEL_CORE_ADMISSION_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/customer_limit.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <tl/expected.hpp>
#include <utility>

namespace sapphirereel {

/// Bounds of the waiting at one entry daemon.
struct admission_settings
{
    /// Requests that wait for a place at once, of all customers and of one.
    std::uint32_t most_waiting = 512;
    std::uint32_t most_waiting_of_customer = 128;
    /// Longest wait for a place, also where the deadline is later.
    duration longest_wait = std::chrono::seconds(4);
    /// Shortest time before a deadline in which a first token can come.
    duration least_service = std::chrono::milliseconds(200);
    /// Times to come back after a refusal are spread between these.
    duration least_retry_after = std::chrono::seconds(1);
    duration most_retry_after = std::chrono::seconds(8);
    customer_limit_settings limit;
    auto operator<=>(admission_settings const&) const = default;
};

/// A request that asks to be admitted.
struct admission_request
{
    run_id run;
    customer_id customer;
    /// When the caller gives up on the first token, if known.
    std::optional<time_point> deadline;
};

/// The request is tried, and may wait so long for a place.
struct admitted
{
    duration wait{0};
    auto operator<=>(admitted const&) const = default;
};

/// Why a request is refused at once.
enum class admission_cause
{
    queue_full,
    customer_limit,
    deadline
};

/// The request is refused without having been run.
struct admission_refused
{
    admission_cause cause = admission_cause::queue_full;
    duration retry_after{0};
    auto operator<=>(admission_refused const&) const = default;
};

using admission_reply = tl::expected<admitted, admission_refused>;

/// The requests that one entry daemon lets wait for places.
/// Example: `if (auto pass = admission.ask(request, now)) search(pass->wait);`
class admission
{
public:
    static auto create(admission_settings const& settings, std::uint64_t seed)
        -> result<admission>;

    auto admit(admission_request const& request, time_point now)
        -> admission_reply;

    /// The request got a place.
    auto placed(run_id const& run, time_point now) -> void;

    /// The request was given up; returns when its caller should come back.
    auto not_placed(run_id const& run) -> duration;

    /// A time to come back, spread so that callers don't return together.
    auto spread_retry_after() -> duration;

    auto expire(time_point now) -> void;

    [[nodiscard]] auto waiting() const -> std::size_t
    {
        return waiting_.size();
    }

private:
    admission(
        admission_settings const& settings,
        customer_limit limit,
        std::uint64_t seed)
        : settings_(settings)
        , limit_(std::move(limit))
        , generator_(seed)
    {}

    auto refuse(admission_cause cause) -> admission_reply;
    [[nodiscard]] auto queue_full_for(customer_id const& customer) const
        -> bool;

    admission_settings settings_;
    customer_limit limit_;
    std::mt19937_64 generator_;
    std::map<run_id, customer_id> waiting_;
    std::map<customer_id, std::uint32_t> waiting_of_;
};

} // namespace sapphirereel

#endif
