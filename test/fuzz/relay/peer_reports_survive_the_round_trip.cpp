#include "sapphirereel/relay/peer_report.hpp"
#include "sapphirereel/relay/record_transfer.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sapphirereel::relay {
namespace {

TEST(peer_report, is_read_as_it_was_written)
{
    auto report = peer_report{};
    report.ip = "10.0.0.1";
    report.incarnation = 77;
    report.sequence = 5;
    report.caller_address = "10.0.0.1:80";
    report.zone = zone_name{"z"};
    report.accepts_callers = true;
    report.is_log_reachable = true;
    report.configuration_next = 9;
    report.replicas_next = 12;
    report.leaving = {{endpoint_id{"a"}, 11}};
    report.load = {{endpoint_id{"b"}, {2, 300, 100, 50}}};
    report.crashes = {
        {{digest{"d"}, {digest{"c1"}, digest{"c2"}}}},
        {{digest{"c1"}, {digest{"d"}}}}};
    report.parts = {
        {{digest{"r@1#1"}, {digest{"5c1e07a2"}}}},
        {{digest{"91bd3f06"}, {digest{"r@1#1"}}}},
        {{digest{"e4402b7d"}, 3}}};
    report.limits = {
        {endpoint_id{"one"}, 1'000, 3, {1.6, std::nullopt}},
        {endpoint_id{"two"}, 2'000, 1, {std::nullopt, 4.0}}};
    report.lost_services = {service_name{"plain"}};
    report.cold = {{endpoint_id{"one"}, 1'000, std::chrono::seconds{2}}};
    report.paces = {{endpoint_id{"two"}, 2'000, 55}};
    report.waiting = {{service_name{"model"}, 2, 3, 9'000}};
    report.age.since_read = std::chrono::milliseconds{730};
    report.age.since_attempt = std::chrono::milliseconds{2'520};
    report.known_addresses = {{"10.0.0.2", zone_name{"y"}}};
    auto const read = read_peer_report(write_peer_report(report));
    // Ages are rounded up to 10 ms.
    report.age.since_read += std::chrono::milliseconds{10};
    report.age.since_attempt += std::chrono::milliseconds{10};
    EXPECT_EQ(read, report);
}

RC_GTEST_PROP(peer_bytes, of_any_kind_are_dropped, (std::string const& bytes))
{
    RC_ASSERT(!read_peer_report(bytes));
    auto const copy = read_copy(bytes);
    RC_ASSERT(!copy || copy->page.records.empty());
}

RC_GTEST_PROP(peer_bytes, that_were_changed_are_read_or_dropped, ())
{
    auto report = peer_report{};
    report.ip = "10.0.0.1";
    report.leaving = {{endpoint_id{"a"}, 11}};
    report.parts.rulings = {{digest{"e4402b7d"}, 3}};
    auto bytes = write_peer_report(report);
    auto const at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    // Must not throw; the content of the result does not matter.
    std::ignore = read_peer_report(bytes);
}

} // namespace
} // namespace sapphirereel::relay
