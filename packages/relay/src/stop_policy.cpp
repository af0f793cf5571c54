#include "sapphirereel/relay/stop_policy.hpp"

namespace sapphirereel::relay {

auto accepts_while_stopping(request_kind kind, stop_moment const& at) -> bool
{
    if (at.stopping_for < accept_all_for)
    {
        return true;
    }
    return kind != request_kind::stream &&
           at.until_cut >= min_time_for_request &&
           at.until_cut >= at.until_deadline;
}

} // namespace sapphirereel::relay
