#include "sapphirereel/core/lease_table.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {

TEST(lease, is_acquired_after_a_release_only_by_a_reader_of_the_release)
{
    constexpr duration term = std::chrono::seconds{30};
    auto const name = lease_name{"orders/e1"};
    auto const d1 = daemon_id{"d1"};
    auto const d2 = daemon_id{"d2"};
    lease_table table{term};
    auto const deliver = [&table](std::uint64_t offset, lease_entry entry) {
        table.apply(
            {{1}, {offset + 1}, {{{offset}, {}, {std::move(entry)}}}}, {});
    };
    deliver(1, {lease_kind::acquire, name, d1, term, {0}, 1});
    deliver(2, {lease_kind::release, name, d1, {}, {1}, 2});
    deliver(3, {lease_kind::acquire, name, d2, term, {0}, 1});
    EXPECT_EQ(table.find(name)->holder, d1);
    deliver(4, {lease_kind::acquire, name, d2, term, {2}, 2});
    EXPECT_EQ(table.find(name)->holder, d2);
    EXPECT_EQ(table.find(name)->fence, log_offset{4});
}

} // namespace sapphirereel
