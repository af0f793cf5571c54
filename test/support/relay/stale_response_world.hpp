/// \file
/// Defines a relay before one replica that executes each request and writes a
/// stale response before each but the first on a connection.
#ifndef SAPPHIREREEL_TEST_SUPPORT_RELAY_STALE_RESPONSE_WORLD_HPP
#define SAPPHIREREEL_TEST_SUPPORT_RELAY_STALE_RESPONSE_WORLD_HPP

#include "support/relay/stale_response_replica.hpp"

#include <gtest/gtest.h>
#include <string>
#include <utility>

namespace sapphirereel::relay::test {

/// The relay and the replica, which serves both services.
struct stale_response_world
{
    explicit stale_response_world(stale_response_replica::stale_response stale)
        : replica(world.loop, std::move(stale))
    {
        replica.executes_first = true;
        world.configure(1);
        world.add_at("p", "plain", replica.port());
        world.add_at("e", "engine", replica.port());
    }

    /// Starts the relay and sends two requests; returns the second response.
    auto second_response(std::string const& target) -> buffered_response
    {
        EXPECT_TRUE(world.start());
        EXPECT_TRUE(world.send_request_as("r1", "POST", target));
        return world.send_request_as("r2", "POST", target);
    }

    relay_fixture world;
    stale_response_replica replica;
};

} // namespace sapphirereel::relay::test

#endif
