#include "sapphirereel/relay/record_cache.hpp"

#include <algorithm>
#include <set>

namespace sapphirereel::relay {

auto record_cache::apply_record(keyed_record const& record) -> bool
{
    auto const held = records_.find(record.key);
    // Records before `next_` have been applied or superseded, also those of
    // keys that had no value there.
    auto const is_held = held != records_.end();
    auto const first_new_offset =
        std::max(next_, is_held ? held->second.offset + 1 : 0);
    if (record.offset < first_new_offset)
    {
        return false;
    }
    auto const is_change = is_held || record.value.has_value();
    records_[record.key] = record;
    return is_change;
}

auto record_cache::apply_changes(
    std::vector<keyed_record> const& records, std::uint64_t next) -> bool
{
    auto changed = false;
    for (auto const& each : records)
    {
        changed = apply_record(each) || changed;
    }
    next_ = std::max(next_, next);
    return changed;
}

auto record_cache::apply_snapshot(
    std::vector<keyed_record> const& newest, std::uint64_t next) -> bool
{
    if (next > next_)
    {
        // A key that was added and removed since `next_` is in neither the copy
        // nor the snapshot.
        removals_known_from_ = next;
    }
    auto changed = false;
    auto present = std::set<std::string>{};
    for (auto const& each : newest)
    {
        present.insert(each.key);
        changed = apply_record(each) || changed;
    }
    for (auto& [key, held] : records_)
    {
        auto const removed =
            held.value && held.offset < next && !present.contains(key);
        if (removed)
        {
            // The removal's own offset is unknown; it lies between that of the
            // held record and `next`.
            held.value.reset();
            held.offset = next - 1;
            changed = true;
        }
    }
    next_ = std::max(next_, next);
    return changed;
}

auto record_cache::newest() const -> std::vector<keyed_record>
{
    auto listed = std::vector<keyed_record>{};
    for (auto const& [key, held] : records_)
    {
        if (held.value)
        {
            listed.push_back(held);
        }
    }
    return listed;
}

auto record_cache::changed_since(std::uint64_t offset) const
    -> std::optional<std::vector<keyed_record>>
{
    if (offset < removals_known_from_)
    {
        return std::nullopt;
    }
    auto listed = std::vector<keyed_record>{};
    for (auto const& [key, held] : records_)
    {
        if (held.offset >= offset)
        {
            listed.push_back(held);
        }
    }
    return listed;
}

auto record_cache::find(std::string const& key) const -> keyed_record const*
{
    auto const found = records_.find(key);
    return found == records_.end() || !found->second.value ? nullptr
                                                           : &found->second;
}

auto record_cache::offset_of(std::string const& key) const
    -> std::optional<std::uint64_t>
{
    auto const found = records_.find(key);
    return found == records_.end() ? std::nullopt
                                   : std::optional{found->second.offset};
}

} // namespace sapphirereel::relay
