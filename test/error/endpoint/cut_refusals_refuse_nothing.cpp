// Guards against a part of a refusal that is believed: a refusal states that
// nothing ran, a part of one states nothing.
#include "sapphirereel/endpoint/engine_stream.hpp"
#include "support/endpoint/engine_fixture.hpp"
#include "support/endpoint/raw_endpoint.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

using namespace testing;

TEST(cut_refusal, leaves_a_run_lost)
{
    for (auto const* const status : {"400", "404", "429", "503"})
    {
        auto const endpoint = raw_endpoint{
            {std::string{"HTTP/1.1 "} + status +
             " Status\r\nContent-Length: 9\r\n\r\npart"}};
        auto got = collector{};
        auto run = endpoints::engine_stream{endpoint.address()};
        EXPECT_EQ(
            run.run(run_of("r", "prompt", 5), got.sink()).end,
            endpoints::stream_end::lost)
            << status;
        auto attached = endpoints::engine_stream{endpoint.address()};
        EXPECT_EQ(
            attached.attach({run_id{"r"}, 0, 2}, got.sink()).end,
            endpoints::stream_end::lost)
            << status;
    }
}

} // namespace
} // namespace sapphirereel
