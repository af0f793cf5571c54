// A daemon takes the path to a service for lost only if several replicas fail
// in a row; it finds its way back by one connection and one request, and does
// not hold a cut against the requests that it ended.
#include "sapphirereel/relay/forward_target.hpp"
#include "sapphirereel/relay/path_monitor.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

auto const service = service_name{"s"};
auto const one = endpoint_id{"one"};
auto const two = endpoint_id{"two"};

auto at(int ms) -> time_point
{
    return time_point{std::chrono::seconds{100}} + milliseconds{ms};
}

TEST(path, is_lost_after_failures_of_two_replicas_in_a_row)
{
    auto paths = path_monitor{};
    EXPECT_FALSE(paths.record_failure(service, one, 4, at(0)));
    EXPECT_FALSE(paths.record_failure(service, one, 4, at(10)));
    paths.record_response(service);
    EXPECT_FALSE(paths.record_failure(service, two, 4, at(20)));
    EXPECT_FALSE(paths.is_lost(service));
    EXPECT_TRUE(paths.record_failure(service, one, 4, at(30)));
    EXPECT_TRUE(paths.is_lost(service));
    EXPECT_TRUE(paths.must_avoid(service, at(40)));
    EXPECT_FALSE(paths.is_lost(service_name{"other"}));
}

TEST(path, to_a_service_of_one_replica_is_lost_with_its_failure)
{
    auto paths = path_monitor{};
    EXPECT_TRUE(paths.record_failure(service, one, 1, at(0)));
}

TEST(path, is_not_lost_by_failures_far_apart)
{
    auto paths = path_monitor{};
    EXPECT_FALSE(paths.record_failure(service, one, 4, at(0)));
    EXPECT_FALSE(paths.record_failure(service, two, 4, at(6'000)));
}

TEST(path, that_is_lost_is_tried_by_one_connection_and_one_request)
{
    auto paths = path_monitor{};
    paths.record_failure(service, one, 4, at(0));
    paths.record_failure(service, two, 4, at(0));
    EXPECT_TRUE(paths.due_trials(at(400)).empty());
    EXPECT_EQ(paths.due_trials(at(500)).size(), 1U);
    EXPECT_TRUE(paths.due_trials(at(510)).empty());
    paths.record_trial_connection(service, at(510));
    EXPECT_FALSE(paths.must_avoid(service, at(520)));
    // One that is held after all is no trial.
    EXPECT_FALSE(paths.must_avoid(service, at(520)));
    paths.record_attempt(service, at(520));
    EXPECT_TRUE(paths.must_avoid(service, at(521)));
    // Callers and peers are not told before a replica has responded.
    EXPECT_TRUE(paths.is_lost(service));
    paths.record_response(service);
    EXPECT_FALSE(paths.must_avoid(service, at(530)));
}

TEST(path, that_connects_but_carries_no_response_is_tried_less_often)
{
    auto paths = path_monitor{};
    paths.record_failure(service, one, 4, at(0));
    paths.record_failure(service, two, 4, at(0));
    paths.record_trial_connection(service, at(500));
    EXPECT_FALSE(paths.must_avoid(service, at(500)));
    EXPECT_TRUE(paths.record_failure(service, one, 4, at(800)));
    EXPECT_TRUE(paths.due_trials(at(1'700)).empty());
    EXPECT_EQ(paths.due_trials(at(1'800)).size(), 1U);
}

// Guards against a daemon without callers of its own that stays out for good:
// only a request can show that its path is back, and none comes while callers
// and peers are told that it has none.
TEST(path, that_no_request_has_tried_is_offered_to_callers_and_peers)
{
    auto paths = path_monitor{};
    paths.record_failure(service, one, 4, at(0));
    paths.record_failure(service, two, 4, at(0));
    EXPECT_EQ(paths.lost_services(at(499)).size(), 1U);
    paths.record_trial_connection(service, at(500));
    EXPECT_EQ(paths.lost_services(at(2'900)).size(), 1U);
    EXPECT_TRUE(paths.lost_services(at(3'000)).empty());
    // A trial request is out.
    EXPECT_FALSE(paths.must_avoid(service, at(3'100)));
    paths.record_attempt(service, at(3'100));
    EXPECT_EQ(paths.lost_services(at(3'200)).size(), 1U);
    EXPECT_TRUE(paths.record_failure(service, one, 4, at(3'300)));
    EXPECT_EQ(paths.lost_services(at(9'000)).size(), 1U);
}

// Resets of several connections at once are no sign that the requests on them
// crash replicas; those of one request one after the other are.
TEST(path, that_is_cut_ends_connections_of_several_requests_at_once)
{
    auto paths = path_monitor{};
    EXPECT_FALSE(paths.record_connection_end(one, "r1", at(0)));
    EXPECT_TRUE(paths.record_connection_end(two, "r2", at(2)));
    EXPECT_FALSE(paths.record_connection_end(one, "r2", at(4)));
    EXPECT_FALSE(paths.record_connection_end(two, "r3", at(400)));
}

auto peer_of(std::string const& ip, std::string const& zone) -> peer_report
{
    auto peer = peer_report{};
    peer.ip = ip;
    peer.zone = zone_name{zone};
    peer.accepts_callers = true;
    peer.configuration_next = 9;
    return peer;
}

class forward_target : public testing::Test
{
protected:
    auto choose() -> std::optional<std::string>
    {
        return choose_forward_target(peers, need, forwarded, random);
    }

    std::vector<peer_report> peers{peer_of("near", "z"), peer_of("far", "y")};
    forward_need need{service, zone_name{"z"}, 9, {}};
    std::map<std::string, std::size_t> forwarded;
    std::mt19937_64 random{1};
};

TEST_F(forward_target, is_near_unless_that_is_busier)
{
    EXPECT_EQ(choose(), "near");
    forwarded["near"] = 3;
    EXPECT_EQ(choose(), "near");
    forwarded["near"] = 6;
    EXPECT_EQ(choose(), "far");
}

TEST_F(forward_target, reaches_the_service_and_has_the_configuration)
{
    peers[0].lost_services = {service};
    EXPECT_EQ(choose(), "far");
    peers[1].configuration_next = 8;
    EXPECT_FALSE(choose());
    peers[0].lost_services = {service_name{"other"}};
    EXPECT_EQ(choose(), "near");
    peers[0].accepts_callers = false;
    EXPECT_FALSE(choose());
}

} // namespace
} // namespace sapphirereel::relay
