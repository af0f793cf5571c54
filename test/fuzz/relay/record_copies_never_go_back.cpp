#include "sapphirereel/relay/record_cache.hpp"
#include "sapphirereel/relay/record_exchange.hpp"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace sapphirereel::relay {
namespace {

/// The newest records of a log's first `size` records.
auto newest_of(std::vector<keyed_record> const& log, std::size_t size)
    -> std::vector<keyed_record>
{
    auto newest = std::map<std::string, keyed_record>{};
    for (auto at = std::size_t{0}; at < size; ++at)
    {
        newest[log[at].key] = log[at];
    }
    auto listed = std::vector<keyed_record>{};
    for (auto const& [key, record] : newest)
    {
        if (record.value)
        {
            listed.push_back(record);
        }
    }
    return listed;
}

RC_GTEST_PROP(
    record_cache, stands_at_the_furthest_point_that_it_has_been_told_of, ())
{
    auto log = std::vector<keyed_record>{};
    auto const count = *rc::gen::inRange<std::size_t>(1, 30);
    for (auto at = std::size_t{0}; at < count; ++at)
    {
        auto const key = std::string(1, *rc::gen::inRange<char>('a', 'e'));
        auto const removes = *rc::gen::inRange(0, 4) == 0;
        log.push_back(
            {key, at,
             removes ? std::nullopt : std::optional{"v" + std::to_string(at)}});
    }
    auto cache = record_cache{};
    auto furthest = std::size_t{0};
    auto const steps = *rc::gen::inRange(1, 12);
    for (auto step = 0; step < steps; ++step)
    {
        auto const upto = *rc::gen::inRange<std::size_t>(0, count + 1);
        auto const from = cache.next();
        if (*rc::gen::arbitrary<bool>() && upto >= from)
        {
            cache.follow(
                {log.begin() + static_cast<std::ptrdiff_t>(from),
                 log.begin() + static_cast<std::ptrdiff_t>(upto)},
                upto);
        }
        else
        {
            // A peer's copy or an answer that comes late, of any age.
            cache.replace(newest_of(log, upto), upto);
        }
        furthest = std::max(furthest, upto);
        RC_ASSERT(cache.next() == furthest);
        RC_ASSERT(cache.newest() == newest_of(log, furthest));
    }
    auto const copy = read_copy(write_copy(cache));
    RC_ASSERT(copy.has_value());
    RC_ASSERT(copy->records == cache.newest());
    RC_ASSERT(copy->next == cache.next());
}

} // namespace
} // namespace sapphirereel::relay
