/// \file
/// Defines the operators' edits that wait for their verdict, each on its own
/// server thread.
#ifndef SAPPHIREREEL_DAEMON_OPERATOR_DESK_HPP
#define SAPPHIREREEL_DAEMON_OPERATOR_DESK_HPP

#include "sapphirereel/composition/action.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace sapphirereel::daemon {

/// Verdicts by query. Used from the core's thread and the servers'.
class operator_desk
{
public:
    /// A new query, to be waited for.
    auto open() -> operator_query;

    /// Takes in a verdict.
    auto decide(edit_decided const& decided) -> void;

    /// Waits for a query's verdict; nothing if none came in time. Ends the
    /// query.
    auto wait(operator_query query, duration limit)
        -> std::optional<edit_verdict>;

private:
    std::mutex mutex_;
    std::condition_variable wake_;
    std::uint64_t last_ = 0;
    std::map<operator_query, std::optional<edit_verdict>> queries_;
};

} // namespace sapphirereel::daemon

#endif
