// Guards against a version that is in force too late because each version that
// it replaced is read before it: over a narrow link, versions of a large
// configuration were read more slowly than they were published (CONFIG).
#include "sapphirereel/deployment/store_client.hpp"
#include "sapphirereel/relay/log_follower.hpp"
#include "support/deployment/narrow_store.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::deployment::test {
namespace {

using relay::keyed_stream;
using relay::log_follower;
using std::chrono::milliseconds;

/// A narrow link, and versions that take it 160 ms each and follow each other
/// each 50 ms.
constexpr auto link_bytes_per_second = 1.25e6;
constexpr auto version_bytes = std::size_t{200'000};
constexpr auto pause_between_versions = duration{milliseconds{50}};
constexpr auto versions = 20;

/// Time for the last version: the rest of an answer that is on its way, the
/// newest record, which is a third longer in that answer, and one read more.
constexpr auto apply_limit = duration{milliseconds{1'100}};

/// A daemon that follows the configuration of a store over a narrow link.
class narrow_follower
{
public:
    explicit narrow_follower(double bytes_per_second)
        : store(loop, bytes_per_second)
        , client_(loop, store.address(), [](bool) {})
        , follower_(
              loop,
              client_,
              keyed_stream::configuration,
              {milliseconds{200}, milliseconds{10}},
              1,
              {},
              {[] {}, [](bool) {},
               [](auto, auto) {
               }})
    {
        store.write("config", "first");
        follower_.start(duration{0});
        run_until([&] { return follower_.is_log_reachable(); });
    }

    /// The value of a key in this daemon's copy; empty if it has none.
    [[nodiscard]] auto value(std::string const& key) const -> std::string
    {
        auto const* const held = follower_.cache().find(key);
        return held == nullptr ? std::string{} : *held->value;
    }

    auto run_for(duration length) -> void
    {
        loop.run_for(length);
        loop.restart();
    }

    template <class Condition>
    auto run_until(Condition const& is_met) -> duration
    {
        auto const began = telemetry::monotonic_now();
        auto const end = began + std::chrono::seconds{20};
        while (!is_met() && telemetry::monotonic_now() < end)
        {
            run_for(milliseconds{2});
        }
        return telemetry::monotonic_now() - began;
    }

    asio::io_context loop;
    narrow_store store;

private:
    store_client client_;
    log_follower<store_client> follower_;
};

auto version_text(int number) -> std::string
{
    return std::string(version_bytes, static_cast<char>('a' + number));
}

TEST(replaced_version, delays_no_newer_one)
{
    auto with = narrow_follower{link_bytes_per_second};
    for (auto number = 1; number <= versions; ++number)
    {
        with.store.write("config", version_text(number));
        with.run_for(pause_between_versions);
    }
    auto const took = with.run_until(
        [&] { return with.value("config") == version_text(versions); });
    EXPECT_LT(took, apply_limit);
}

TEST(replaced_version, delays_no_newer_record_of_another_key)
{
    auto with = narrow_follower{link_bytes_per_second};
    for (auto number = 1; number <= versions; ++number)
    {
        with.store.write("config", version_text(number));
        with.run_for(pause_between_versions);
    }
    with.store.write("evacuate/z1", "{}");
    auto const took =
        with.run_until([&] { return with.value("evacuate/z1") == "{}"; });
    EXPECT_LT(took, apply_limit);
}

// A key's only record may lie before those of another key that is written
// often.
TEST(replaced_version, hides_no_record_of_another_key)
{
    auto with = narrow_follower{link_bytes_per_second};
    with.store.write("config", version_text(1));
    with.run_for(milliseconds{20});
    with.store.write("evacuate/z1", "{}");
    with.store.write("evacuate/z2", "{}");
    with.store.write("evacuate/z2", std::nullopt);
    with.store.write("config", version_text(2));
    with.store.write("config", version_text(3));
    with.run_until([&] { return with.value("config") == version_text(3); });
    EXPECT_EQ(with.value("evacuate/z1"), "{}");
    EXPECT_EQ(with.value("evacuate/z2"), "");
}

// Reading the newest record of all keys costs more than a short rest.
TEST(replaced_version, that_is_short_is_read)
{
    auto with = narrow_follower{link_bytes_per_second};
    auto const before = with.store.reads_of_newest;
    for (auto number = 1; number <= versions; ++number)
    {
        with.store.write("config", fmt::format("version {}", number));
    }
    with.run_until([&] { return with.value("config") == "version 20"; });
    EXPECT_EQ(with.store.reads_of_newest, before);
}

// Versions that come one by one cost one read of each, and no other.
TEST(single_version, is_read_once)
{
    auto with = narrow_follower{link_bytes_per_second * 10};
    auto const before = with.store.reads_of_newest;
    for (auto number = 1; number <= 3; ++number)
    {
        with.store.write("config", version_text(number));
        with.run_until(
            [&] { return with.value("config") == version_text(number); });
    }
    EXPECT_EQ(with.store.reads_of_newest, before);
}

} // namespace
} // namespace sapphirereel::deployment::test
