/// \file
/// Defines the engine stand-in's prefix cache and the late, gappy record of
/// its events.
#ifndef SAPPHIREREEL_STANDINS_PREFIX_CACHE_HPP
#define SAPPHIREREEL_STANDINS_PREFIX_CACHE_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

namespace sapphirereel::standins {

/// How the cache behaves.
struct prefix_cache_settings
{
    std::size_t max_prefixes = 256;
    /// How late an event is published.
    duration event_lag{std::chrono::milliseconds{500}};
    /// Every so manyth event is never published; 0: all are.
    std::uint64_t gap_every = 17;
    auto operator<=>(prefix_cache_settings const&) const = default;
};

/// One published event.
struct prefix_event
{
    std::uint64_t number = 0;
    bool stored = true;
    digest prefix;
    time_point happened;
    auto operator<=>(prefix_event const&) const = default;
};

/// Published events from a number on, and the number to ask for next.
struct prefix_event_page
{
    std::uint64_t next = 0;
    std::vector<prefix_event> events;
    auto operator<=>(prefix_event_page const&) const = default;
};

/// The prefixes used last.
class prefix_cache
{
public:
    explicit prefix_cache(prefix_cache_settings settings);

    /// Stores a prefix or marks it as used.
    auto touch(digest const& prefix, time_point now) -> void;

    /// What is published of the events from a number on.
    [[nodiscard]] auto events(std::uint64_t from, time_point now) const
        -> prefix_event_page;

private:
    auto record(bool stored, digest const& prefix, time_point now) -> void;

    prefix_cache_settings settings_;
    std::list<digest> by_use_;
    std::vector<prefix_event> events_;
};

} // namespace sapphirereel::standins

#endif
