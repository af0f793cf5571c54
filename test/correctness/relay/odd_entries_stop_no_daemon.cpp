// Guards against a daemon that ends, or takes up no later entries, because
// another writer left an odd entry among the replicas' or the configuration's.
#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

constexpr auto nested_levels = std::size_t{300'000};

/// An entry with one field's value given and the others proper. Its address is
/// that of a replica, so that the entry would be used if it were taken.
auto entry_with(
    std::string const& field, std::string const& value, std::uint16_t port)
    -> std::string
{
    auto fields = std::map<std::string, std::string>{
        {"service", "\"plain\""},
        {"address", fmt::format("\"{}:{}\"", process_loopback_ip(), port)},
        {"zone", "\"z\""},
        {"slots", "4"},
        {"state", "\"ready\""}};
    fields[field] = value;
    auto text = std::string{};
    for (auto const& [name, written] : fields)
    {
        text +=
            fmt::format("{}\"{}\":{}", text.empty() ? "{" : ",", name, written);
    }
    return text + "}";
}

/// Writes an entry of each odd kind. The keys of all begin with `odd`.
auto write_odd_entries(fake_log& log, std::uint16_t port) -> void
{
    auto count = 0;
    auto const write = [&](std::string value) {
        log.write(
            keyed_stream::replicas, fmt::format("odd{}", ++count),
            std::move(value));
    };
    write("");
    write("\x01\xff\xfe");
    write("[]");
    write("1e400");
    write(std::string(nested_levels, '['));
    write(std::string(nested_levels, '[') + std::string(nested_levels, ']'));
    write(entry_with(
        "models",
        std::string(nested_levels, '[') + std::string(nested_levels, ']'),
        port));
    for (auto const* const number : {"1e400", "1e30", "-1", "2.5", "[]", "{}"})
    {
        write(entry_with("slots", number, port));
        write(entry_with("born", number, port));
        write(entry_with("sequence", number, port));
    }
    for (auto const* const other : {"0", "65536", "99999", "-1", "http"})
    {
        write(entry_with(
            "address", fmt::format("\"{}:{}\"", process_loopback_ip(), other),
            port));
    }
    for (auto const* const field : {"service", "address", "zone", "state"})
    {
        write(entry_with(field, "7", port));
        write(entry_with(field, "null", port));
    }
    log.write(
        keyed_stream::replicas, "odd\r\nX-Field: 1",
        entry_with("slots", "4", port));
    log.write(
        keyed_stream::replicas, "odd\xff", entry_with("slots", "4", port));
}

/// Writes odd records among those of the configuration.
auto write_odd_configurations(fake_log& log) -> void
{
    auto const stream = keyed_stream::configuration;
    log.write(stream, "odd\xff", std::string(nested_levels, '['));
    log.write(stream, "evacuate/", "1e400");
    log.write(stream, "evacuate/elsewhere", std::string(nested_levels, '['));
    log.write(stream, "evacuate/odd\xff\r\n", "");
    log.write(stream, "evacuate/a/b", "{}");
    for (auto const& value :
         {std::string{}, std::string{"\xff"}, std::string(nested_levels, '{'),
          std::string{R"({"version":-1,"routes":[],"services":[]})"},
          std::string{R"({"version":1e30,"routes":[],"services":[]})"},
          std::string{R"({"version":1e400,"routes":[],"services":[]})"},
          std::string{R"({"version":9,"routes":null,"services":[]})"}})
    {
        log.write(stream, "config", value);
    }
}

template <class Node>
auto listed(Node& node) -> std::vector<std::string>
{
    auto ids = std::vector<std::string>{};
    for (auto const& [id, each] : node.state().replicas.replicas())
    {
        ids.push_back(id.str());
    }
    return ids;
}

template <class Node>
auto version_of(Node& node) -> std::uint64_t
{
    return node.state().table ? node.state().table->configuration().version : 0;
}

using ids = std::vector<std::string>;

TEST(odd_entries, that_come_while_a_daemon_runs_stop_nothing)
{
    auto world = relay_fixture{};
    auto replica = fake_replica{world.loop, serve_normally};
    world.configure(1);
    world.add("before", "plain", replica);
    ASSERT_TRUE(world.start());
    write_odd_entries(world.log, replica.port);
    write_odd_configurations(world.log);
    ASSERT_TRUE(world.run_until(
        [&] { return world.logged("ignored an invalid replica record"); }));
    EXPECT_EQ(listed(world.node()), ids{"before"});
    EXPECT_EQ(version_of(world.node()), 1U);
    world.add("after", "plain", replica);
    world.configure(2);
    EXPECT_TRUE(world.run_until([&] {
        return listed(world.node()).size() == 2 &&
               version_of(world.node()) == 2;
    }));
    EXPECT_EQ(listed(world.node()), (ids{"after", "before"}));
    EXPECT_EQ(world.send_request("GET", "/safe/a")->head.status, 200);
}

// Each kind of odd record of the configuration is the newest one for a while.
TEST(odd_entries, of_the_configuration_leave_the_one_in_force)
{
    for (auto const* const value :
         {"", "\xff", "{", R"({"version":-1,"routes":[],"services":[]})",
          R"({"version":1e30,"routes":[],"services":[]})",
          R"({"version":9,"routes":null,"services":[]})"})
    {
        auto world = relay_fixture{};
        auto replica = fake_replica{world.loop, serve_normally};
        world.configure(1);
        world.add("before", "plain", replica);
        ASSERT_TRUE(world.start());
        world.log.write(keyed_stream::configuration, "config", value);
        EXPECT_TRUE(world.run_until([&] {
            return world.logged("ignored an invalid configuration record") ||
                   version_of(world.node()) != 1;
        }));
        EXPECT_EQ(version_of(world.node()), 1U) << value;
        world.configure(2);
        EXPECT_TRUE(world.run_until([&] {
            return version_of(world.node()) == 2;
        })) << value;
        EXPECT_EQ(world.send_request("GET", "/safe/a")->head.status, 200);
    }
}

TEST(odd_entries, that_a_daemon_finds_when_it_starts_stop_nothing)
{
    auto world = relay_fixture{};
    auto replica = fake_replica{world.loop, serve_normally};
    write_odd_entries(world.log, replica.port);
    write_odd_configurations(world.log);
    world.configure(1);
    world.add("before", "plain", replica);
    ASSERT_TRUE(world.start());
    EXPECT_EQ(listed(world.node()), ids{"before"});
    world.add("after", "plain", replica);
    world.configure(2);
    EXPECT_TRUE(world.run_until([&] {
        return listed(world.node()).size() == 2 &&
               version_of(world.node()) == 2;
    }));
    EXPECT_EQ(world.send_request("GET", "/safe/a")->head.status, 200);
}

// A daemon that does not reach the log has its peer's copy of the entries.
TEST(odd_entries, in_the_copy_of_a_peer_stop_nothing)
{
    auto fleet = relay_fleet{2};
    auto replica = fake_replica{fleet.loop, serve_normally};
    write_odd_entries(*fleet.logs[0], replica.port);
    add_replica(*fleet.logs[0], "before", "plain", replica.port);
    write_odd_configurations(*fleet.logs[0]);
    write_configuration(*fleet.logs[0]);
    fleet.logs[1]->is_reachable = false;
    ASSERT_TRUE(fleet.start());
    EXPECT_EQ(listed(*fleet.nodes[1]), ids{"before"});
    write_odd_entries(*fleet.logs[0], replica.port);
    add_replica(*fleet.logs[0], "after", "plain", replica.port);
    EXPECT_TRUE(
        fleet.run_until([&] { return listed(*fleet.nodes[1]).size() == 2; }));
    EXPECT_EQ(listed(*fleet.nodes[1]), (ids{"after", "before"}));
    fleet.send_request(1, "/safe/a");
    EXPECT_TRUE(fleet.run_until([&] { return fleet.responses.size() == 1; }));
    EXPECT_EQ(fleet.count_of(200), 1U);
}

} // namespace
} // namespace sapphirereel::relay::test
