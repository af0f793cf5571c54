/// \file
/// Defines a watch over the sizes of allocations: what a parser takes must
/// follow from what has arrived, not from what the other side states.
#ifndef SAPPHIREREEL_TEST_SUPPORT_ALLOCATION_WATCH_HPP
#define SAPPHIREREEL_TEST_SUPPORT_ALLOCATION_WATCH_HPP

#include <cstddef>

namespace sapphirereel::test {

/// Watches the allocations of its thread while it exists. A larger one than
/// `most_bytes` throws `std::bad_alloc`, as memory that is not there would;
/// under the thread sanitizer it ends the program. Watches do not nest.
class allocation_watch
{
public:
    explicit allocation_watch(std::size_t most_bytes);
    ~allocation_watch();
    allocation_watch(allocation_watch const&) = delete;
    auto operator=(allocation_watch const&) -> allocation_watch& = delete;

    /// Size of the largest allocation that was asked for, in bytes.
    [[nodiscard]] auto largest() const -> std::size_t;
};

} // namespace sapphirereel::test

#endif
