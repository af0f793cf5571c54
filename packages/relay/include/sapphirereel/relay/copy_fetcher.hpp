/// \file
/// Defines how a daemon gets its peers' copies of the log's streams when their
/// reports show that it is behind.
#ifndef SAPPHIREREEL_RELAY_COPY_FETCHER_HPP
#define SAPPHIREREEL_RELAY_COPY_FETCHER_HPP

#include "sapphirereel/relay/buffered_call.hpp"
#include "sapphirereel/relay/peer_report.hpp"
#include "sapphirereel/relay/piece_transfer.hpp"
#include "sapphirereel/relay/record_transfer.hpp"
#include "sapphirereel/relay/relay_settings.hpp"
#include "sapphirereel/relay/relay_state.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace sapphirereel::relay {

/// Time until a fetch's answer must have begun, and the least time between two
/// fetches.
inline constexpr auto fetch_timeout = duration{std::chrono::milliseconds{800}};
inline constexpr auto fetch_interval = duration{std::chrono::milliseconds{50}};

/// Fetches copies, and collects large values of the configuration's stream in
/// pieces. Must outlive the event loop's run.
class copy_fetcher
{
public:
    struct handlers
    {
        /// Position before which every record of a stream is here.
        std::function<log_position(keyed_stream)> position;
        /// Applies a copy that holds all its values.
        std::function<void(keyed_stream, peer_copy const&)> apply;
        /// Applies the records of a copy whose other records are still to come.
        std::function<void(peer_copy const&)> apply_early;
        /// Called while values are being collected.
        std::function<void()> advanced;
    };

    copy_fetcher(
        relay_state& state,
        listen_address own,
        piece_library& library,
        handlers callbacks);

    /// Fetches a peer's copies of the streams if they are newer, and asks the
    /// peer for pieces that it has. Returns whether a fetch began.
    auto fetch_if_behind(peer_report const& report, time_point now) -> bool;

    /// Whether pieces of a large value arrive from peers.
    [[nodiscard]] auto is_collecting() const -> bool
    {
        return transfer_ != nullptr;
    }

private:
    [[nodiscard]] auto misses(keyed_stream stream, log_position next) const
        -> bool;
    auto fetch(std::string const& ip, keyed_stream stream, time_point now)
        -> void;
    auto receive(
        std::string const& ip,
        keyed_stream stream,
        buffered_response const& answer,
        duration took) -> void;
    auto report_failure(
        std::string const& ip,
        keyed_stream stream,
        buffered_response const& answer,
        duration took) -> void;

    /// Collects the values of a copy, at once or after those that are under
    /// way.
    auto collect(std::string const& ip, peer_copy copy) -> void;
    auto begin_transfer(peer_copy copy, std::set<std::string> const& sources)
        -> void;
    auto transfer_completed() -> void;
    /// Gives way to a newer copy, or to another fetch, if no peer has sent a
    /// piece for long: they may hold newer values only. What has arrived stays.
    auto end_stalled_transfer(time_point now) -> void;
    auto begin_waiting() -> void;

    /// A copy whose values are collected next.
    struct waiting_copy
    {
        peer_copy copy;
        std::set<std::string> sources;
    };

    relay_state* state_;
    listen_address own_;
    piece_library* library_;
    handlers handlers_;
    time_point next_fetch_at_{};
    /// Streams whose copy is being fetched from a peer.
    std::set<keyed_stream> fetching_;
    std::shared_ptr<piece_transfer> transfer_;
    time_point transfer_began_{};
    std::optional<waiting_copy> waiting_;
};

} // namespace sapphirereel::relay

#endif
