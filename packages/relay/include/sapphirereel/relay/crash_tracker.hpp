/// \file
/// Defines how requests that crash the replicas which run them are found: by
/// their content, over replicas, callers' attempts and daemons.
#ifndef SAPPHIREREEL_RELAY_CRASH_TRACKER_HPP
#define SAPPHIREREEL_RELAY_CRASH_TRACKER_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/poison_request.hpp"
#include "sapphirereel/relay/replica_table.hpp"
#include "sapphirereel/relay/request_admission.hpp"

#include <map>
#include <optional>
#include <vector>

namespace sapphirereel::relay {

/// Replicas that a request must have crashed before it is refused. An ordinary
/// request loses a replica now and then; three in a row, and never an answer,
/// is no chance.
inline constexpr auto crashes_of_poison_request = 3U;

/// What daemons tell each other of crashes.
struct crash_reports
{
    std::vector<crash_message> deaths;
    std::vector<cleared_message> cleared;
    auto operator<=>(crash_reports const&) const = default;
};

/// What makes two attempts the same request: its caller, target and body.
auto request_fingerprint(
    caller_request const& request, std::optional<customer_id> const& customer)
    -> digest;

/// Remembers what ran on replicas that crashed, by this daemon and its peers.
class crash_tracker
{
public:
    crash_tracker();

    /// Whether anything is held against any request. Where nothing is, callers
    /// need not compute the digest of a content.
    [[nodiscard]] auto has_suspects() const -> bool;

    /// Whether a request with this content would crash the next replica too.
    [[nodiscard]] auto is_poison(digest const& content) const -> bool;

    /// A replica broke off while it ran a request with this content.
    auto crashed(replica const& which, digest const& content, time_point now)
        -> void;

    /// A replica answered a request with this content.
    auto answered(digest const& content, time_point now) -> void;

    /// Takes in a peer's news; passes nothing on, as each daemon tells all.
    auto apply_report(crash_reports const& news, time_point now) -> void;

    /// This daemon's own news that is new enough to be told.
    [[nodiscard]] auto entries_to_report() const -> crash_reports;

    /// Forgets what is old.
    auto expire(time_point now) -> void;

private:
    template <class Message>
    struct timed_message
    {
        Message message;
        time_point at;
    };

    poison_request_detector known_;
    std::vector<timed_message<crash_message>> own_deaths_;
    std::vector<timed_message<cleared_message>> own_cleared_;
};

} // namespace sapphirereel::relay

#endif
