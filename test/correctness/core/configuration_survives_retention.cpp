#include "sapphirereel/core/configuration_log.hpp"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace sapphirereel {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr auto retention = duration{hours{24}};
constexpr auto tick = std::chrono::milliseconds{minutes{10}};
constexpr auto ticks = 1000;
constexpr auto daemons = std::size_t{4};

/// A log that expires records by age, with daemons of which all but one stop
/// and start at random. Without republished snapshots a new daemon could not
/// derive the configuration once the edits have expired.
class expiring_log
{
public:
    explicit expiring_log(bool republishes)
        : republishes_(republishes)
    {}

    auto advance(std::size_t random) -> void
    {
        now_.milliseconds += tick.count();
        auto const expired =
            now_.milliseconds -
            std::chrono::duration_cast<std::chrono::milliseconds>(retention)
                .count();
        while (first_ < records_.size() &&
               records_[first_].appended.milliseconds < expired)
        {
            ++first_;
        }
        if (random % 100 == 0)
        {
            edit();
        }
        if (random % 7 == 1)
        {
            alive_ = 1 + random / 7 % daemons;
        }
        republish();
    }

    /// Whether an empty daemon reaches the latest state from the log alone.
    [[nodiscard]] auto bootstraps() const -> bool
    {
        auto reader = configuration_log{};
        reader.note_first_retained({first_ + 1});
        for (auto at = first_; at < records_.size(); ++at)
        {
            reader.apply(records_[at], {});
        }
        return reader.state() == permanent_replica_.state();
    }

    [[nodiscard]] auto records() const -> std::size_t
    {
        return records_.size();
    }

private:
    auto edit() -> void
    {
        auto const serial = static_cast<std::uint32_t>(records_.size() + 1);
        append(configuration_edit{
            edit_id{std::to_string(serial)},
            permanent_replica_.state().offset,
            "operator",
            {put_share{{customer_id{"c"}, serial}}}});
    }

    /// Gives the live daemons the last ranks, the case in which all daemons of
    /// the first ranks have failed.
    auto republish() -> void
    {
        for (auto rank = daemons - alive_; rank < daemons; ++rank)
        {
            if (republishes_ &&
                permanent_replica_.snapshot_due(now_, retention, rank))
            {
                append(permanent_replica_.snapshot());
            }
        }
    }

    auto append(configuration_record record) -> void
    {
        auto entry = configuration_entry{};
        entry.offset = {records_.size() + 1};
        entry.appended = now_;
        entry.record = std::move(record);
        records_.push_back(std::move(entry));
        permanent_replica_.apply(records_.back(), {});
    }

    bool republishes_;
    wall_time now_{1};
    std::size_t first_ = 0;
    std::size_t alive_ = daemons;
    std::vector<configuration_entry> records_;
    configuration_log permanent_replica_;
};

/// Number of ticks after which an empty daemon could not derive the latest
/// state from the log.
auto failed_bootstraps(expiring_log& log) -> int
{
    auto random = std::mt19937_64{*rc::gen::arbitrary<std::uint64_t>()};
    auto failed = 0;
    for (auto i = 0; i < ticks; ++i)
    {
        log.advance(random());
        failed += log.bootstraps() ? 0 : 1;
    }
    return failed;
}

RC_GTEST_PROP(configuration_retention, never_loses_the_state, ())
{
    auto log = expiring_log{true};
    RC_ASSERT(failed_bootstraps(log) == 0);
    RC_ASSERT(log.records() < 60U);
}

TEST(configuration_retention, loses_the_state_if_nobody_republishes)
{
    auto const holds = rc::check([] {
        auto log = expiring_log{false};
        RC_ASSERT(failed_bootstraps(log) == 0);
    });
    EXPECT_FALSE(holds);
}

TEST(configuration_retention, each_further_rank_waits_longer)
{
    auto log = configuration_log{};
    EXPECT_FALSE(log.snapshot_due({1'000'000'000}, retention, 0));
    log.apply({{1}, {0}, malformed_record{}}, {});
    auto const at = [](duration since) {
        return wall_time{
            std::chrono::duration_cast<std::chrono::milliseconds>(since)
                .count()};
    };
    EXPECT_FALSE(log.snapshot_due(at(hours{7}), retention, 0));
    EXPECT_TRUE(log.snapshot_due(at(hours{8}), retention, 0));
    EXPECT_FALSE(log.snapshot_due(at(hours{8}), retention, 1));
    EXPECT_TRUE(log.snapshot_due(at(hours{9}), retention, 1));
    EXPECT_TRUE(log.snapshot_due(at(hours{16}), retention, 300));
}

} // namespace
} // namespace sapphirereel
