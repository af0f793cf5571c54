/// \file
/// Defines admission control at the entry daemon: whether a request is tried,
/// how long it may wait for a place on a replica, and the retry hint that a
/// refused one gets.
/// Not connected to the daemon.
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

/// Bounds on the requests that wait at one entry daemon.
struct admission_settings
{
    /// Most requests that wait at the same time, of all customers and of one.
    std::uint32_t most_waiting = 512;
    std::uint32_t most_waiting_of_customer = 128;
    /// Longest wait for a place, also where the deadline is later.
    duration longest_wait = std::chrono::seconds(4);
    /// Time before a deadline that is kept for the first token to arrive.
    duration least_service = std::chrono::milliseconds(200);
    /// Range of the random retry hints of refused requests.
    duration least_retry_after = std::chrono::seconds(1);
    duration most_retry_after = std::chrono::seconds(8);
    customer_limit_settings limit;
    auto operator<=>(admission_settings const&) const = default;
};

/// A request to be admitted.
struct admission_request
{
    run_id run;
    customer_id customer;
    /// Latest time at which the first token is of use to the caller, if known.
    std::optional<time_point> deadline;
};

/// The request is admitted and may wait for a place for `wait`.
struct admitted
{
    duration wait{0};
    auto operator<=>(admitted const&) const = default;
};

/// Why a request is refused without being tried.
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

/// Admission control of one entry daemon.
/// Example: `if (auto pass = admission.admit(request, now))
/// search(pass->wait);`
class admission
{
public:
    static auto create(admission_settings const& settings, std::uint64_t seed)
        -> result<admission>;

    auto admit(admission_request const& request, time_point now)
        -> admission_reply;

    /// Records that a waiting request got its place.
    auto placed(run_id const& run, time_point now) -> void;

    /// Removes a request that got no place; returns its retry hint.
    auto not_placed(run_id const& run) -> duration;

    /// A random retry hint, so that refused callers don't retry together.
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
