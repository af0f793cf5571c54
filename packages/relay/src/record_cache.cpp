#include "sapphirereel/relay/record_cache.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace sapphirereel::relay {

record_cache::record_cache(renewal_test is_renewal, std::size_t max_value_bytes)
    : is_renewal_(std::move(is_renewal))
    , max_value_bytes_(max_value_bytes)
{}

auto record_cache::cut_to_limit(keyed_record record) const -> keyed_record
{
    if (record.value && record.value->size() > max_value_bytes_)
    {
        record.value->resize(max_value_bytes_);
        record.value->shrink_to_fit();
    }
    return record;
}

auto record_cache::apply_record(keyed_record const& record) -> bool
{
    auto const held = records_.find(record.key);
    // Records before `next_` have been applied or superseded, also those of
    // keys that had no value there.
    auto const is_held = held != records_.end();
    auto const first_new_position = std::max(
        next_,
        is_held ? held->second.newest.position.following() : log_position{});
    if (record.position < first_new_position)
    {
        return false;
    }
    auto kept = cut_to_limit(record);
    auto const renews = is_held && is_renewal_ && kept.value &&
                        held->second.newest.value &&
                        is_renewal_(held->second.newest, kept);
    if (renews)
    {
        held->second.newest = std::move(kept);
        return false;
    }
    auto const is_change = is_held || kept.value.has_value();
    records_[record.key] = {std::move(kept), record.position};
    changed_until_ = std::max(changed_until_, record.position.following());
    return is_change;
}

auto record_cache::apply_changes(
    std::vector<keyed_record> const& records, log_position next) -> bool
{
    auto changed = false;
    for (auto const& each : records)
    {
        changed = apply_record(each) || changed;
        auto const held = records_.find(each.key);
        if (held != records_.end() && held->second.changed_at == each.position)
        {
            // Also if the record was applied early.
            changed_until_ =
                std::max(changed_until_, each.position.following());
        }
    }
    next_ = std::max(next_, next);
    return changed;
}

auto record_cache::apply_early(std::vector<keyed_record> const& records) -> bool
{
    auto const reached = changed_until_;
    auto changed = false;
    for (auto const& each : records)
    {
        changed = apply_record(each) || changed;
    }
    changed_until_ = reached;
    return changed;
}

auto record_cache::apply_snapshot(
    std::vector<keyed_record> const& newest, log_position next) -> bool
{
    if (next.era < next_.era)
    {
        return false;
    }
    if (next > next_)
    {
        // A key that was added and removed since `next_` is in neither the copy
        // nor the snapshot.
        removals_known_from_ = next;
    }
    auto changed = next.era > next_.era;
    auto present = std::set<std::string>{};
    for (auto const& each : newest)
    {
        present.insert(each.key);
        changed = apply_record(each) || changed;
    }
    for (auto& [key, held] : records_)
    {
        auto const removed = held.newest.value && held.newest.position < next &&
                             !present.contains(key);
        if (removed)
        {
            // The removal's own position is unknown; it lies between that of
            // the held record and `next`.
            held.newest.value.reset();
            held.newest.position = next.offset == 0 ? next : next.preceding();
            held.changed_at = held.newest.position;
            changed = true;
        }
    }
    if (next.offset == 0)
    {
        // A log restored to its start has no position for a removal, and the
        // first record of a key follows at offset 0.
        std::erase_if(records_, [](auto const& each) {
            return !each.second.newest.value.has_value();
        });
    }
    if (changed)
    {
        changed_until_ = std::max(changed_until_, next);
    }
    next_ = std::max(next_, next);
    return changed;
}

auto record_cache::newest() const -> std::vector<keyed_record>
{
    auto listed = std::vector<keyed_record>{};
    for (auto const& [key, held] : records_)
    {
        if (held.newest.value)
        {
            listed.push_back(held.newest);
        }
    }
    return listed;
}

auto record_cache::changed_since(log_position from) const
    -> std::optional<std::vector<keyed_record>>
{
    if (from < removals_known_from_)
    {
        return std::nullopt;
    }
    auto listed = std::vector<keyed_record>{};
    for (auto const& [key, held] : records_)
    {
        if (held.changed_at >= from)
        {
            listed.push_back(held.newest);
        }
    }
    return listed;
}

auto record_cache::find(std::string const& key) const -> keyed_record const*
{
    auto const found = records_.find(key);
    return found == records_.end() || !found->second.newest.value
               ? nullptr
               : &found->second.newest;
}

auto record_cache::position_of(std::string const& key) const
    -> std::optional<log_position>
{
    auto const found = records_.find(key);
    return found == records_.end()
               ? std::nullopt
               : std::optional{found->second.newest.position};
}

} // namespace sapphirereel::relay
