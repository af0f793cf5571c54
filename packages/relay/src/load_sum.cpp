#include "load_sum.hpp"

#include <algorithm>

namespace sapphirereel::relay {

auto add_load(replica_load& sum, replica_load const& load) -> void
{
    sum.requests += load.requests;
    sum.memory_tokens += load.memory_tokens;
    sum.pending_prefill_tokens += load.pending_prefill_tokens;
    sum.movable_tokens += load.movable_tokens;
}

auto subtract_load(
    load_report& report, endpoint_id const& id, replica_load const& load)
    -> void
{
    auto const found = report.find(id);
    if (found == report.end())
    {
        return;
    }
    auto& sum = found->second;
    sum.requests -= std::min(sum.requests, load.requests);
    sum.memory_tokens = std::max(0.0, sum.memory_tokens - load.memory_tokens);
    sum.pending_prefill_tokens =
        std::max(0.0, sum.pending_prefill_tokens - load.pending_prefill_tokens);
    sum.movable_tokens =
        std::max(0.0, sum.movable_tokens - load.movable_tokens);
    if (sum.requests == 0)
    {
        report.erase(found);
    }
}

auto load_in(load_report const& report, endpoint_id const& id) -> replica_load
{
    auto const found = report.find(id);
    return found == report.end() ? replica_load{} : found->second;
}

} // namespace sapphirereel::relay
