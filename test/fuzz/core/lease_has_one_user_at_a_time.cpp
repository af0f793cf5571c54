#include "sapphirereel/core/lease_holder.hpp"

#include <array>
#include <gtest/gtest.h>
#include <random>

namespace sapphirereel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto const name = lease_name{"orders/engine-1"};

struct daemon
{
    lease_table table;
    lease_holder holder;
    std::size_t reads_up_to = 0;
};

struct in_flight_append
{
    std::vector<lease_entry> entries;
    time_point appended_at;
};

/// Simulates three daemons with delayed and lost appends and long pauses.
/// Records the largest number of daemons that could use the lease at the same
/// time, and the number of times that its holder changed.
struct lease_simulation
{
    std::uint64_t seed;
    std::size_t most_users = 0;
    std::size_t changes = 0;

    auto run(lease_settings const& settings) -> void
    {
        std::mt19937_64 random{seed};
        std::vector<daemon> daemons;
        for (auto const* id : {"d1", "d2", "d3"})
        {
            daemons.push_back(
                {lease_table{settings.term},
                 lease_holder::create(daemon_id{id}, settings).value(), 0});
            daemons.back().holder.request(name, true);
        }
        std::vector<lease_log_record> log;
        std::vector<in_flight_append> appends;
        std::array<time_point, 3> paused_until{};
        std::optional<log_offset> last_fence;
        constexpr auto step = milliseconds{200};
        for (time_point now{}; now < time_point{} + seconds{600}; now += step)
        {
            auto const apply_if_due = [&log,
                                       now](in_flight_append const& append) {
                if (append.appended_at > now)
                {
                    return false;
                }
                auto const ms = std::chrono::duration_cast<milliseconds>(
                    now.time_since_epoch());
                log.push_back({{log.size() + 1}, {ms.count()}, append.entries});
                return true;
            };
            std::erase_if(appends, apply_if_due);
            std::size_t users = 0;
            for (std::size_t i = 0; i < daemons.size(); ++i)
            {
                auto& one = daemons.at(i);
                auto const fence = one.holder.valid_fence(name, now);
                users += fence ? 1 : 0;
                if (fence && fence != last_fence)
                {
                    last_fence = fence;
                    ++changes;
                }
                if (now < paused_until.at(i))
                {
                    continue;
                }
                if (random() % 150 == 0)
                {
                    paused_until.at(i) = now + seconds{random() % 60};
                }
                // Each reader lags half of the time.
                auto const lags =
                    (now.time_since_epoch() / seconds{20} + i) % 2;
                if (lags == 0)
                {
                    one.reads_up_to = log.size();
                }
                auto const end = static_cast<std::ptrdiff_t>(one.reads_up_to);
                one.table.apply(
                    {{1}, {log.size() + 1}, {log.begin(), log.begin() + end}},
                    now);
                auto entries = one.holder.step(one.table, now);
                // One append in four is lost and one in four is delayed.
                auto const append_fate = random() % 4;
                auto const delay =
                    append_fate == 0 ? seconds{random() % 40} : seconds{0};
                if (!entries.empty() && append_fate != 1)
                {
                    appends.push_back({std::move(entries), now + delay});
                }
            }
            most_users = std::max(most_users, users);
        }
    }
};

auto run_simulations(lease_settings const& settings) -> lease_simulation
{
    lease_simulation all{0};
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        lease_simulation simulation{seed};
        simulation.run(settings);
        all.most_users = std::max(all.most_users, simulation.most_users);
        all.changes += simulation.changes;
    }
    return all;
}

} // namespace

TEST(lease, has_one_user_at_a_time_through_pauses_and_late_appends)
{
    auto const seen = run_simulations(lease_settings{});
    EXPECT_EQ(seen.most_users, 1U);
    EXPECT_GT(seen.changes, 100U);
}

// Shows that the safety margin is needed: a holder that uses its lease past
// the end of its term overlaps with the next one.
TEST(lease, needs_the_holder_to_stop_in_time)
{
    auto settings = lease_settings{};
    settings.safety_margin = -seconds{20};
    EXPECT_GT(run_simulations(settings).most_users, 1U);
}

} // namespace sapphirereel
