/// \file
/// Defines how requests that crash the replicas which run them are found: by
/// their content, over replicas, callers' attempts and daemons.
#ifndef SAPPHIREREEL_RELAY_CRASH_WATCH_HPP
#define SAPPHIREREEL_RELAY_CRASH_WATCH_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/lethal_request.hpp"
#include "sapphirereel/relay/replica_table.hpp"
#include "sapphirereel/relay/request_gate.hpp"

#include <map>
#include <optional>
#include <vector>

namespace sapphirereel::relay {

/// Replicas that a request must have crashed before it is refused. An ordinary
/// request loses a replica now and then; three in a row, and never an answer,
/// is no chance.
inline constexpr auto crashes_of_lethal_request = 3U;

/// What daemons tell each other of crashes.
struct crash_news
{
    std::vector<death_message> deaths;
    std::vector<cleared_message> cleared;
    auto operator<=>(crash_news const&) const = default;
};

/// What makes two attempts the same request: its caller, target and body.
auto content_of(
    caller_request const& request, std::optional<customer_id> const& customer)
    -> digest;

/// Remembers what ran on replicas that crashed, by this daemon and its peers.
class crash_watch
{
public:
    crash_watch();

    /// Whether anything is held against any request. Where nothing is, callers
    /// need not compute the digest of a content.
    [[nodiscard]] auto suspects_any() const -> bool;

    /// Whether a request with this content would crash the next replica too.
    [[nodiscard]] auto is_lethal(digest const& content) const -> bool;

    /// A replica broke off while it ran a request with this content.
    auto crashed(replica const& which, digest const& content, time_point now)
        -> void;

    /// A replica answered a request with this content.
    auto answered(digest const& content, time_point now) -> void;

    /// Takes in a peer's news; passes nothing on, as each daemon tells all.
    auto heard(crash_news const& news, time_point now) -> void;

    /// This daemon's own news that is new enough to be told.
    [[nodiscard]] auto to_tell() const -> crash_news;

    /// Forgets what is old.
    auto expire(time_point now) -> void;

private:
    template <class Message>
    struct told_message
    {
        Message message;
        time_point at;
    };

    lethal_requests known_;
    std::vector<told_message<death_message>> own_deaths_;
    std::vector<told_message<cleared_message>> own_cleared_;
};

} // namespace sapphirereel::relay

#endif
