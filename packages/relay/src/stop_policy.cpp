#include "sapphirereel/relay/stop_policy.hpp"

namespace sapphirereel::relay {

auto accepts_while_stopping(
    stop_times const& stop,
    request_kind kind,
    time_point deadline,
    time_point now) -> bool
{
    if (now - stop.began < accept_all_for)
    {
        return true;
    }
    return kind != request_kind::stream &&
           stop.cut_at - now >= min_time_for_request && stop.cut_at >= deadline;
}

} // namespace sapphirereel::relay
