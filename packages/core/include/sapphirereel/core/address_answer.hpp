/// \file
/// Defines the selection of entry addresses for a caller, spread over
/// availability zones and valid for a limited time.
#ifndef SAPPHIREREEL_CORE_ADDRESS_ANSWER_HPP
#define SAPPHIREREEL_CORE_ADDRESS_ANSWER_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/membership_event.hpp"

#include <chrono>
#include <cstddef>
#include <random>
#include <vector>

namespace sapphirereel {

/// Limits of an address answer.
struct address_answer_settings
{
    /// Time for which a caller may use the answer.
    duration validity = std::chrono::seconds{10};
    /// Most addresses in one answer.
    std::size_t addresses = 4;
    /// Addresses from other availability zones in an answer, if there are that
    /// many.
    std::size_t other_zones = 2;
    auto operator<=>(address_answer_settings const&) const = default;
};

/// Addresses in the order in which a caller should try them.
struct address_answer
{
    std::vector<socket_address> addresses;
    duration validity{0};
    auto operator<=>(address_answer const&) const = default;
};

/// Chooses addresses of daemons that are alive: first those in the caller's
/// availability zone, then in other zones of the region, then in other regions,
/// each part in random order so that callers are spread. When none is alive,
/// suspected daemons are returned. `zone` and `region` are those of the
/// answering daemon and are assumed to be the caller's.
auto choose_addresses(
    std::vector<member> const& members,
    zone_name const& zone,
    region_name const& region,
    address_answer_settings const& settings,
    std::mt19937_64& random) -> address_answer;

} // namespace sapphirereel

#endif
