// A request that crashes replicas was forgotten by each daemon that was
// restarted: crashes were reported for six seconds, by the daemon that saw them
// (BUDGET). Now whoever remembers them tells a daemon that has started.
#include "sapphirereel/relay/crash_memory_message.hpp"
#include "sapphirereel/relay/crash_tracker.hpp"
#include "sapphirereel/relay/peer_report.hpp"
#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Time after which crashes are no longer reported regularly.
constexpr auto time_until_untold = report_lifetime + milliseconds{600};

/// Three daemons, of which the last is started late, and five replicas that
/// crash on one request.
class late_daemon_world
{
public:
    late_daemon_world()
        : fleet(3)
    {
        for (auto const* const id : {"a", "b", "c", "d", "e"})
        {
            replicas_.push_back(std::make_unique<fake_replica>(
                fleet.loop, [this](auto const& from, auto const& request) {
                    serve(from, request);
                }));
            fleet.add(id, "plain", replicas_.back()->port);
        }
    }

    auto start(std::size_t daemon) -> bool
    {
        return fleet.nodes[daemon]->start().has_value() && fleet.run_until([&] {
            return fleet.nodes[daemon]->is_ready() &&
                   !fleet.nodes[daemon]->state().replicas.replicas().empty();
        });
    }

    auto stop(std::size_t daemon) -> bool
    {
        auto is_stopped = false;
        fleet.nodes[daemon]->stop([&] { is_stopped = true; });
        return fleet.run_until([&] { return is_stopped; });
    }

    /// Sends the request that crashes replicas, or another one.
    auto send(std::size_t daemon, std::string const& target = "/once/lethal")
        -> int
    {
        auto const before = fleet.responses.size();
        fleet.send_request(daemon, target);
        fleet.run_until([&] { return fleet.responses.size() > before; });
        auto const& answer = fleet.responses.back();
        return answer ? answer->head.status : 0;
    }

    auto crash_three() -> void
    {
        for (auto at = 0; at < 3; ++at)
        {
            send(0);
            fleet.run_for(milliseconds{100});
        }
    }

    relay_fleet fleet;
    int crashes = 0;

private:
    auto serve(
        std::shared_ptr<caller_session> const& from,
        http::request const& request) -> void
    {
        if (request.target == "/once/lethal")
        {
            ++crashes;
            from->abort();
            return;
        }
        serve_normally(from, request);
    }

    std::vector<std::unique_ptr<fake_replica>> replicas_;
};

TEST(daemon_that_starts, learns_of_crashes_from_one_that_was_told_of_them)
{
    auto world = late_daemon_world{};
    ASSERT_TRUE(world.start(0) && world.start(1));
    world.fleet.run_for(milliseconds{800});
    world.crash_three();
    ASSERT_EQ(world.crashes, 3);
    world.fleet.run_for(time_until_untold);
    ASSERT_TRUE(world.stop(0));
    ASSERT_TRUE(world.start(2));
    world.fleet.run_for(milliseconds{600});
    EXPECT_EQ(world.send(2), 503);
    EXPECT_EQ(world.crashes, 3);
    EXPECT_EQ(world.send(2, "/once/b"), 200);
}

auto const lethal = digest{"lethal"};
auto const innocent = digest{"innocent"};

auto at(duration since_start) -> time_point
{
    return time_point{} + std::chrono::hours{1} + since_start;
}

/// Records crashes of replicas that ran a request, a second apart.
auto record_crashes(
    crash_tracker& by, digest const& content, int count, int first = 0) -> void
{
    for (auto number = first; number < first + count; ++number)
    {
        auto which = replica{};
        which.id = endpoint_id{fmt::format("{}{}", content.str(), number)};
        by.record_replica_crash(which, content, at(seconds{number}));
    }
}

/// A tracker of a daemon that has just started and was told what another one
/// remembers, over the wire.
auto told_by(crash_tracker const& other, time_point now) -> crash_tracker
{
    auto started = crash_tracker{};
    auto const message =
        read_crash_memory(write_crash_memory(other.memory(now)));
    EXPECT_TRUE(message);
    started.learn(*message, now);
    return started;
}

TEST(crash_memory, outlives_each_of_those_who_saw_the_crashes)
{
    auto first = crash_tracker{};
    record_crashes(first, lethal, 3);
    auto tracker = told_by(first, at(seconds{30}));
    for (auto round = 0; round < 6; ++round)
    {
        tracker = told_by(tracker, at(seconds{60 + 30 * round}));
        EXPECT_TRUE(tracker.is_poison(lethal));
        EXPECT_FALSE(tracker.is_poison(innocent));
    }
}

// Ages are told, so that restarts don't put the end of a suspicion off.
TEST(crash_memory, expires_when_it_would_have_without_restarts)
{
    auto first = crash_tracker{};
    record_crashes(first, lethal, 3);
    auto tracker = told_by(first, at(minutes{8}));
    tracker = told_by(tracker, at(minutes{9}));
    tracker.expire(at(minutes{9} + seconds{50}));
    EXPECT_TRUE(tracker.is_poison(lethal));
    tracker.expire(at(minutes{10} + seconds{5}));
    EXPECT_FALSE(tracker.has_suspects());
}

TEST(crash_memory, refuses_no_request_that_was_cleared)
{
    auto first = crash_tracker{};
    record_crashes(first, innocent, 3);
    auto const before = first.memory(at(seconds{4}));
    first.record_response(innocent, at(seconds{5}));
    auto tracker = told_by(first, at(seconds{6}));
    EXPECT_FALSE(tracker.is_poison(innocent));
    // Another daemon does not know of the clearance.
    tracker.learn(before, at(seconds{7}));
    EXPECT_FALSE(tracker.is_poison(innocent));
}

TEST(crash_memory, is_bounded_and_names_poison_requests_first)
{
    auto tracker = crash_tracker{};
    record_crashes(tracker, lethal, 3);
    for (auto number = 0; number < 200; ++number)
    {
        record_crashes(
            tracker, digest{fmt::format("suspect{}", number)}, 1, 20);
    }
    auto const memory = tracker.memory(at(seconds{60}));
    EXPECT_EQ(memory.crashes.size(), max_remembered);
    EXPECT_LT(write_crash_memory(memory).size(), 4'096U);
    EXPECT_TRUE(told_by(tracker, at(seconds{60})).is_poison(lethal));
}

TEST(crash_memory_message, is_dropped_where_it_can_not_be_read)
{
    auto tracker = crash_tracker{};
    record_crashes(tracker, lethal, 3);
    auto const bytes = write_crash_memory(tracker.memory(at(seconds{9})));
    EXPECT_FALSE(read_crash_memory(bytes.substr(0, bytes.size() - 1)));
    EXPECT_FALSE(read_crash_memory(bytes + "x"));
    EXPECT_FALSE(read_crash_memory(""));
    EXPECT_FALSE(read_crash_memory(write_peer_report({})));
    EXPECT_FALSE(read_peer_report(bytes));
    auto too_many = tracker.memory(at(seconds{9}));
    too_many.crashes.resize(max_remembered + 1, too_many.crashes.front());
    EXPECT_FALSE(read_crash_memory(write_crash_memory(too_many)));
}

} // namespace
} // namespace sapphirereel::relay::test
