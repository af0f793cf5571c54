#include "support/relay/freezable_fleet.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <gtest/gtest.h>

// Guards against changes that wait for a peer which says that it has them and
// does not hand them out, as one that is frozen, or whose link carries one
// direction only.

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

constexpr auto bound = duration{milliseconds{1'000}};
constexpr auto daemons = std::size_t{5};

/// A peer that reports copies ahead of all others. Connections to it are
/// established, and carry nothing.
class silent_holder
{
public:
    explicit silent_holder(freezable_fleet const& fleet)
        : port_(fleet.peer_port())
        , queue_(loop_, {asio::ip::make_address(ip()), port_})
        , socket_(loop_, {asio::ip::make_address(ip()), 0})
    {}

    auto report_to(std::size_t daemon) -> void
    {
        auto report = peer_report{};
        report.ip = ip();
        report.incarnation = 1;
        report.sequence = ++sequence_;
        report.zone = zone_name{"z"};
        report.is_log_reachable = true;
        report.configuration_next = 1'000;
        report.age.since_read = duration{0};
        socket_.send_to(
            asio::buffer(write_peer_report(report)),
            {asio::ip::make_address(relay_fleet::ip_of(daemon)), port_});
    }

private:
    static auto ip() -> std::string
    {
        return relay_fleet::ip_of(daemons);
    }

    asio::io_context loop_;
    std::uint16_t port_;
    asio::ip::tcp::acceptor queue_;
    asio::ip::udp::socket socket_;
    std::uint64_t sequence_ = 0;
};

TEST(silent_holders, delay_a_version_by_less_than_its_bound)
{
    auto fleet = freezable_fleet{{daemons, bound}};
    auto holder = silent_holder{fleet};
    ASSERT_TRUE(fleet.start());
    // The last one reads the log for nobody; it has the holder alone.
    auto const last = daemons - 1;
    for (auto at = std::size_t{0}; at < last; ++at)
    {
        fleet.freeze(at);
    }
    fleet.publish(2);
    auto const began = telemetry::monotonic_now();
    auto const end = began + bound;
    while (!fleet.all_have_version(2) && telemetry::monotonic_now() < end)
    {
        holder.report_to(last);
        fleet.run_for(milliseconds{10});
    }
    EXPECT_TRUE(fleet.all_have_version(2));
}

} // namespace
} // namespace sapphirereel::relay::test
