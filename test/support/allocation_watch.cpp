#include "support/allocation_watch.hpp"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <new>

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
