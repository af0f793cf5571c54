/// \file
/// Defines how the core's events and actions become metrics.
#ifndef SAPPHIREREEL_DAEMON_ACTION_METER_HPP
#define SAPPHIREREEL_DAEMON_ACTION_METER_HPP

#include "sapphirereel/composition/daemon_core.hpp"
#include "sapphirereel/daemon/metrics.hpp"

#include <map>
#include <optional>

namespace sapphirereel::daemon {

/// Counts and times what a core takes and does. Used on the core's thread.
class action_meter
{
public:
    explicit action_meter(metrics& all)
        : all_(all)
    {}

    /// Takes in one step.
    auto count(event const& what, actions const& done, time_point now) -> void;

    /// Sets the values that are read off the core. Before a page is written.
    auto read(daemon_core const& core) -> void;

private:
    /// One caller's stream.
    struct stream_times
    {
        time_point arrived;
        std::optional<time_point> last_token;
    };

    template <class Other>
    auto take(Other const&, time_point) -> void
    {}

    auto take(generation_arrived const& arrived, time_point now) -> void;
    auto take(call_arrived const& arrived, time_point now) -> void;
    auto take(caller_closed const& closed, time_point now) -> void;
    auto take(append_result const& outcome, time_point now) -> void;
    auto take(deliver_chunk const& chunk, time_point now) -> void;
    auto take(finish_generation const& finished, time_point now) -> void;
    auto take(refuse_caller const& refused, time_point now) -> void;
    auto take(append_record const& record, time_point now) -> void;
    auto take(edit_decided const& decided, time_point now) -> void;
    auto raise(counter which, std::uint64_t total, std::uint64_t& seen) -> void;

    metrics& all_;
    std::map<attachment_id, stream_times> streams_;
    std::uint64_t resumed_ = 0;
    std::uint64_t lost_engines_ = 0;
    std::uint64_t moved_ = 0;
    std::uint64_t retried_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t claims_ = 0;
};

} // namespace sapphirereel::daemon

#endif
