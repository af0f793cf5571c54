/// \file
/// Defines how a daemon takes connections from callers, peers and the platform:
/// their bytes and their descriptors count together on all ports.
#ifndef SAPPHIREREEL_RELAY_CALLER_INTAKE_HPP
#define SAPPHIREREEL_RELAY_CALLER_INTAKE_HPP

#include "sapphirereel/relay/process_log.hpp"
#include "sapphirereel/relay/relay_metrics.hpp"
#include "sapphirereel/relay/session_registry.hpp"

#include <cstddef>
#include <memory>
#include <optional>

namespace sapphirereel::relay {

/// Least interval between log lines about requests that were refused before
/// they had arrived whole.
inline constexpr auto rejection_log_interval = std::chrono::seconds{1};

/// What a daemon may take.
struct intake_limits
{
    /// Memory of the daemon; 0 if its limit is not known.
    double memory_bytes = 0;
    /// Descriptors that the daemon may have open; 0 if that is not known.
    std::size_t descriptors = 0;
    auto operator<=>(intake_limits const&) const = default;
};

/// The connections of one daemon that others have opened.
class caller_intake
{
public:
    /// `log` and `metrics` outlive this.
    caller_intake(
        intake_limits const& limits, process_log& log, relay_metrics& metrics);

    /// Serves a connection. Where there are too many, another one ends.
    auto accept(
        asio::ip::tcp::socket socket,
        caller_session::limits_source limits,
        caller_session::request_handler on_request)
        -> std::shared_ptr<caller_session>;

    /// Forgets the connections that have been closed.
    auto remove_closed() -> void;

    /// The connections that are open.
    [[nodiscard]] auto open_sessions() const
        -> std::vector<std::shared_ptr<caller_session>>;

private:
    /// Records a request that was refused before it had arrived whole. Logs
    /// them together, as a crowd of callers may send many.
    auto record_rejected(int status, time_point now) -> void;

    process_log& log_;
    relay_metrics& metrics_;
    session_registry sessions_;
    std::shared_ptr<intake_account> account_ =
        std::make_shared<intake_account>();
    std::optional<time_point> logged_at_;
    std::size_t unlogged_rejections_ = 0;
};

} // namespace sapphirereel::relay

#endif
