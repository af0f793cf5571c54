#include "sapphirereel/core/poison_request.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

auto const request = digest{"request"};

TEST(poison_request_detector, request_common_to_two_crashes_is_poison)
{
    auto known = poison_request_detector::create({}).value();
    known.record_crash({digest{"first"}, {request, digest{"other"}}}, {});
    EXPECT_EQ(known.verdict(request), poison_verdict::isolate);
    EXPECT_EQ(known.verdict(digest{"other"}), poison_verdict::isolate);
    known.record_crash({digest{"second"}, {request}}, {});
    EXPECT_EQ(known.verdict(request), poison_verdict::poison);
    EXPECT_EQ(known.verdict(digest{"other"}), poison_verdict::isolate);
}

TEST(poison_request_detector, surviving_run_is_cleared_of_the_crash)
{
    auto known = poison_request_detector::create({}).value();
    known.record_crash({digest{"first"}, {request}}, {});
    auto const clearance = known.record_survival(request, {});
    ASSERT_TRUE(clearance);
    EXPECT_EQ(clearance->deaths, std::vector<digest>{digest{"first"}});
    known.record_crash({digest{"second"}, {request}}, {});
    EXPECT_EQ(known.verdict(request), poison_verdict::isolate);
}

TEST(poison_request_detector, clearance_applies_to_a_crash_reported_later)
{
    auto known = poison_request_detector::create({}).value();
    known.cleared({request, {digest{"first"}}}, {});
    known.record_crash({digest{"first"}, {request}}, {});
    EXPECT_EQ(known.verdict(request), poison_verdict::clear);
}

} // namespace
} // namespace sapphirereel
