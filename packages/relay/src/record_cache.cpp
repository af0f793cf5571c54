#include "sapphirereel/relay/record_cache.hpp"

#include <algorithm>
#include <set>

namespace sapphirereel::relay {

auto record_cache::take(keyed_record const& record) -> bool
{
    auto const [held, is_new] = records_.try_emplace(record.key, record);
    if (is_new)
    {
        return record.value.has_value();
    }
    if (record.offset <= held->second.offset)
    {
        return false;
    }
    held->second = record;
    return true;
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
