// Load of a large fleet: each zone knows its own placements at once and those
// of the other zones as sums that are up to a second old. Guards against zones
// that all choose the replica which looked empty in the last sums: its prompts
// queue, while half of the fleet's prefill capacity would do.
#include "sapphirereel/relay/replica_table.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <queue>

namespace sapphirereel::relay {
namespace {

constexpr auto zones = std::size_t{5};
constexpr auto replicas_per_zone = std::size_t{26};
constexpr auto streams_per_second_in_zone = 33.0;
constexpr auto prefill_tokens_per_second = 7'500.0;
constexpr auto seconds_of_run = 6.0;
constexpr auto target_start_s = 1.5;
constexpr auto seconds_of_traffic = 20.0;
constexpr auto sum_interval_s = 1.0;
constexpr auto replacement_interval_s = 3.3;
constexpr auto replaced_share = 1.0 / 6;

auto const engine = engine_traits{33'623, 18'432, 2'700, true, true, 4};

auto at_second(double seconds) -> time_point
{
    return time_point{std::chrono::seconds{100}} +
           std::chrono::duration_cast<duration>(
               std::chrono::duration<double>(seconds));
}

/// A change of a zone's own count at a later time.
struct pending_change
{
    double at_s = 0;
    std::size_t zone = 0;
    endpoint_id replica;
    replica_load before;
    replica_load after;

    auto operator>(pending_change const& other) const -> bool
    {
        return at_s > other.at_s;
    }
};

class fleet
{
public:
    explicit fleet(std::uint64_t seed)
        : random_(seed)
    {
        for (auto at = std::size_t{0}; at < zones * replicas_per_zone; ++at)
        {
            auto each = replica{};
            each.id = endpoint_id{fmt::format("r{}", next_number_++)};
            each.service = service_name{"s"};
            each.zone = zone_name{fmt::format("z{}", at % zones)};
            each.slots = 24;
            listed_.push_back(each);
        }
        for (auto zone = std::size_t{0}; zone < zones; ++zone)
        {
            tables_.emplace_back(
                zone_name{fmt::format("z{}", zone)}, seed + zone);
            tables_.back().set_replicas(listed_);
        }
    }

    /// Share of streams that start later than the target.
    auto late_share() -> double
    {
        auto gap = std::exponential_distribution<double>{
            streams_per_second_in_zone * zones};
        auto prompt = std::uniform_real_distribution<double>{600, 4'800};
        auto zone = std::uniform_int_distribution<std::size_t>{0, zones - 1};
        auto streams = 0.0;
        auto late = 0.0;
        for (auto now = gap(random_); now < seconds_of_traffic;
             now += gap(random_))
        {
            apply_changes(now);
            exchange_sums(now);
            replace_some(now);
            ++streams;
            late += start(zone(random_), prompt(random_), now) > target_start_s
                        ? 1
                        : 0;
        }
        return late / streams;
    }

private:
    /// Places a stream and returns the time until its first event.
    auto start(std::size_t zone, double prompt, double now) -> double
    {
        auto& table = tables_[zone];
        auto const chosen = table.choose(
            {service_name{"s"}, prompt + 300, prompt, {}, {}}, engine,
            at_second(now));
        auto const& id = chosen->target.id;
        auto& busy_until = busy_until_[id];
        busy_until =
            std::max(busy_until, now) + prompt / prefill_tokens_per_second;
        auto const reading = replica_load{1, prompt + 300, prompt, 0};
        auto const running = replica_load{1, prompt + 300, 0, 0};
        table.add(id, reading);
        changes_.push({busy_until, zone, id, reading, running});
        changes_.push({busy_until + seconds_of_run, zone, id, running, {}});
        return busy_until - now;
    }

    auto apply_changes(double now) -> void
    {
        while (!changes_.empty() && changes_.top().at_s <= now)
        {
            auto const change = changes_.top();
            changes_.pop();
            tables_[change.zone].remove(change.replica, change.before);
            if (change.after.requests > 0)
            {
                tables_[change.zone].add(change.replica, change.after);
            }
        }
    }

    /// Replaces a share of the replicas by empty ones, as scaling does.
    auto replace_some(double now) -> void
    {
        if (now < next_replacement_at_)
        {
            return;
        }
        next_replacement_at_ = now + replacement_interval_s;
        auto replaced = std::bernoulli_distribution{replaced_share};
        for (auto& each : listed_)
        {
            if (replaced(random_))
            {
                each.id = endpoint_id{fmt::format("r{}", next_number_++)};
            }
        }
        for (auto& table : tables_)
        {
            table.set_replicas(listed_);
        }
    }

    auto exchange_sums(double now) -> void
    {
        if (now < next_sums_at_)
        {
            return;
        }
        next_sums_at_ = now + sum_interval_s;
        for (auto from = std::size_t{0}; from < zones; ++from)
        {
            auto const sum = tables_[from].load_of_own_zone();
            for (auto to = std::size_t{0}; to < zones; ++to)
            {
                if (to != from)
                {
                    tables_[to].set_zone_load(
                        zone_name{fmt::format("z{}", from)}, sum,
                        at_second(now));
                }
            }
        }
    }

    std::mt19937_64 random_;
    std::vector<replica> listed_;
    std::size_t next_number_ = 0;
    std::vector<replica_table> tables_;
    std::map<endpoint_id, double> busy_until_;
    std::priority_queue<
        pending_change,
        std::vector<pending_change>,
        std::greater<>>
        changes_;
    double next_sums_at_ = 0;
    double next_replacement_at_ = replacement_interval_s;
};

TEST(zones_of_a_large_fleet, do_not_choose_the_same_replicas)
{
    for (auto const seed : {1U, 2U, 3U})
    {
        auto const share = fleet{seed}.late_share();
        EXPECT_LT(share, 0.02);
    }
}

} // namespace
} // namespace sapphirereel::relay
