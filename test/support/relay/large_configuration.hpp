/// \file
/// Defines configurations of a chosen size for tests.
#ifndef SAPPHIREREEL_TEST_SUPPORT_RELAY_LARGE_CONFIGURATION_HPP
#define SAPPHIREREEL_TEST_SUPPORT_RELAY_LARGE_CONFIGURATION_HPP

#include <cstddef>
#include <cstdint>
#include <fmt/format.h>
#include <random>
#include <string>

namespace sapphirereel::relay::test {

/// A configuration of at least `bytes` bytes, with routes whose names repeat
/// nothing. Those of two seeds have no route in common.
inline auto large_configuration(
    std::uint64_t version, std::size_t bytes, std::uint64_t seed = 1)
    -> std::string
{
    auto random = std::mt19937_64{seed};
    auto routes = std::string{};
    while (routes.size() < bytes)
    {
        routes += fmt::format(
            R"({}{{"name":"r-{:x}","host":"{:x}.example",)"
            R"("path-prefix":"/{:x}/","kind":"safe","service":"plain",)"
            R"("max-attempts":2,"timeout-ms":1500,"target-latency-ms":150}})",
            routes.empty() ? "" : ",", random(), random(), random());
    }
    return fmt::format(
        R"({{"version":{},"routes":[{}],"services":[{{"name":"plain"}}]}})",
        version, routes);
}

} // namespace sapphirereel::relay::test

#endif
