#include "support/allocation_watch.hpp"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <new>

#if defined(__has_feature)
#if __has_feature(thread_sanitizer)
#define SAPPHIREREEL_HAS_ALLOCATION_HOOKS
#endif
#endif

#ifdef SAPPHIREREEL_HAS_ALLOCATION_HOOKS
#include <cstdio>
#include <sanitizer/allocator_interface.h>
#endif

namespace sapphirereel::test {
namespace {

/// Largest allocation that is granted, and the largest that was asked for.
thread_local auto granted = std::numeric_limits<std::size_t>::max();
thread_local auto asked = std::size_t{0};

} // namespace

allocation_watch::allocation_watch(std::size_t most_bytes)
{
    asked = 0;
    granted = most_bytes;
}

allocation_watch::~allocation_watch()
{
    granted = std::numeric_limits<std::size_t>::max();
}

auto allocation_watch::largest() const -> std::size_t
{
    return asked;
}

#ifdef SAPPHIREREEL_HAS_ALLOCATION_HOOKS

// The thread sanitizer defines the operators itself, and calls a hook for each
// allocation. No exception may pass through it: what is too large ends the test
// program.

namespace {

auto check_allocation(void const volatile* /*memory*/, std::size_t size) -> void
{
    asked = std::max(asked, size);
    if (size > granted)
    {
        std::fprintf(
            stderr, "an allocation of %zu bytes where %zu are granted\n", size,
            granted);
        std::abort();
    }
}

[[maybe_unused]] auto const hooks_are_installed =
    __sanitizer_install_malloc_and_free_hooks(
        check_allocation, [](void const volatile* /*memory*/) {});

} // namespace
} // namespace sapphirereel::test

#else

namespace {

auto allocate(std::size_t size) -> void*
{
    asked = std::max(asked, size);
    auto* const memory =
        size > granted ? nullptr : std::malloc(std::max(size, std::size_t{1}));
    if (memory == nullptr)
    {
        throw std::bad_alloc{};
    }
    return memory;
}

} // namespace
} // namespace sapphirereel::test

auto operator new(std::size_t size) -> void*
{
    return sapphirereel::test::allocate(size);
}

auto operator new[](std::size_t size) -> void*
{
    return sapphirereel::test::allocate(size);
}

auto operator delete(void* memory) noexcept -> void
{
    std::free(memory);
}

auto operator delete[](void* memory) noexcept -> void
{
    std::free(memory);
}

auto operator delete(void* memory, std::size_t /*size*/) noexcept -> void
{
    std::free(memory);
}

auto operator delete[](void* memory, std::size_t /*size*/) noexcept -> void
{
    std::free(memory);
}

#endif
