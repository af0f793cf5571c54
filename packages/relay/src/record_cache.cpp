#include "sapphirereel/relay/record_cache.hpp"

#include <algorithm>
#include <set>

namespace sapphirereel::relay {

auto record_cache::take(keyed_record const& record) -> bool
{
    auto const held = records_.find(record.key);
    // All records before the point that the copy stands at have been taken in
    // or overtaken, also those of keys that had no value there.
    auto const is_held = held != records_.end();
    auto const known_up_to =
        std::max(next_, is_held ? held->second.offset + 1 : 0);
    if (record.offset < known_up_to)
    {
        return false;
    }
    auto const is_news = is_held || record.value.has_value();
    records_[record.key] = record;
    return is_news;
}

auto record_cache::follow(
    std::vector<keyed_record> const& records, std::uint64_t next) -> bool
{
    auto news = false;
    for (auto const& each : records)
    {
        news = take(each) || news;
    }
    next_ = std::max(next_, next);
    return news;
}

auto record_cache::replace(
    std::vector<keyed_record> const& newest, std::uint64_t next) -> bool
{
    if (next > next_)
    {
        // A key that came and went since the last point was never seen here.
        removals_known_from_ = next;
    }
    auto news = false;
    auto present = std::set<std::string>{};
    for (auto const& each : newest)
    {
        present.insert(each.key);
        news = take(each) || news;
    }
    for (auto& [key, held] : records_)
    {
        auto const removed =
            held.value && held.offset < next && !present.contains(key);
        if (removed)
        {
            // The removal lies somewhere after the record that was held.
            held.value.reset();
            held.offset = next - 1;
            news = true;
        }
    }
    next_ = std::max(next_, next);
    return news;
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
