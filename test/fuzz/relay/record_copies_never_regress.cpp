#include "sapphirereel/relay/record_cache.hpp"
#include "sapphirereel/relay/record_transfer.hpp"

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
    record_cache, holds_the_newest_records_up_to_the_highest_offset_applied, ())
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
        auto const from = cache.next().offset;
        if (*rc::gen::arbitrary<bool>() && upto >= from)
        {
            cache.apply_changes(
                {log.begin() + static_cast<std::ptrdiff_t>(from),
                 log.begin() + static_cast<std::ptrdiff_t>(upto)},
                upto);
        }
        else
        {
            // A snapshot of any age: a peer's copy or a delayed answer.
            cache.apply_snapshot(newest_of(log, upto), upto);
        }
        furthest = std::max(furthest, upto);
        RC_ASSERT(cache.next() == log_position{furthest});
        RC_ASSERT(cache.newest() == newest_of(log, furthest));
    }
    auto const copy = read_copy(write_copy(copy_of(cache, 0)));
    RC_ASSERT(copy.has_value());
    RC_ASSERT(copy->page.next == cache.next());
    if (copy->is_snapshot)
    {
        RC_ASSERT(copy->page.records == cache.newest());
    }
}

RC_GTEST_PROP(record_cache, brings_a_peer_up_to_its_own_offset, ())
{
    auto log = std::vector<keyed_record>{};
    auto const count = *rc::gen::inRange<std::size_t>(1, 30);
    for (auto at = std::size_t{0}; at < count; ++at)
    {
        auto const key = std::string(1, *rc::gen::inRange<char>('a', 'e'));
        auto const removes = *rc::gen::inRange(0, 3) == 0;
        log.push_back(
            {key, at,
             removes ? std::nullopt : std::optional{"v" + std::to_string(at)}});
    }
    auto const peer_offset = *rc::gen::inRange<std::size_t>(1, count + 1);
    auto peer = record_cache{};
    peer.apply_snapshot(newest_of(log, peer_offset), peer_offset);
    // The other daemon's copy starts with a snapshot at any offset, and reaches
    // the end of the log by another snapshot or by changes.
    auto cache = record_cache{};
    auto const first_snapshot = *rc::gen::inRange<std::size_t>(1, count + 1);
    cache.apply_snapshot(newest_of(log, first_snapshot), first_snapshot);
    auto const is_replaced = *rc::gen::arbitrary<bool>();
    if (is_replaced)
    {
        cache.apply_snapshot(newest_of(log, count), count);
    }
    else
    {
        cache.apply_changes(
            {log.begin() + static_cast<std::ptrdiff_t>(first_snapshot),
             log.end()},
            count);
    }
    auto const copy = read_copy(write_copy(copy_of(cache, peer.next())));
    RC_ASSERT(copy.has_value());
    auto const complete_from = is_replaced ? count : first_snapshot;
    RC_ASSERT(copy->is_snapshot == (peer_offset < complete_from));
    if (copy->is_snapshot)
    {
        peer.apply_snapshot(copy->page.records, copy->page.next);
    }
    else
    {
        peer.apply_changes(copy->page.records, copy->page.next);
    }
    RC_ASSERT(peer.next() == log_position{count});
    RC_ASSERT(peer.newest() == newest_of(log, count));
}

TEST(copy_path, is_read_as_it_was_written)
{
    auto const asked = copy_request{keyed_stream::replicas, 17};
    EXPECT_EQ(read_copy_path(copy_path(asked)), asked);
    EXPECT_FALSE(read_copy_path("/copies/replicas"));
    EXPECT_FALSE(read_copy_path("/copies/replicas?from=x"));
    EXPECT_FALSE(read_copy_path("/metrics"));
}

} // namespace
} // namespace sapphirereel::relay
