#include "sapphirereel/core/admission.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace sapphirereel {
namespace {

auto request_of(int number, char const* customer) -> admission_request
{
    return {run_id{std::to_string(number)}, customer_id{customer}, {}};
}

TEST(admission, refuses_a_request_that_cannot_meet_its_deadline)
{
    auto entry = admission::create({}, 1).value();
    auto request = request_of(1, "c");
    request.deadline = time_point{} + std::chrono::milliseconds(100);
    auto const reply = entry.admit(request, {});
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error().cause, admission_cause::deadline);
    request.deadline = time_point{} + std::chrono::seconds(1);
    EXPECT_EQ(entry.admit(request, {})->wait, std::chrono::milliseconds(800));
}

TEST(admission, one_customer_cannot_fill_the_queue)
{
    auto settings = admission_settings{};
    settings.limit.free_requests = 1e6;
    auto entry = admission::create(settings, 1).value();
    auto admitted_count = 0;
    for (auto i = 0; i < 1000; ++i)
    {
        admitted_count += entry.admit(request_of(i, "large"), {}) ? 1 : 0;
    }
    EXPECT_EQ(admitted_count, 128);
    EXPECT_TRUE(entry.admit(request_of(1000, "small"), {}));
}

TEST(admission, limits_only_the_customer_that_is_refused)
{
    auto entry = admission::create({}, 1).value();
    auto tried = 0;
    for (auto i = 0; i < 1000; i += 2)
    {
        auto const large = request_of(i, "large");
        if (entry.admit(large, {}))
        {
            ++tried;
            entry.not_placed(large.run);
        }
        auto const small = request_of(i + 1, "small");
        ASSERT_TRUE(entry.admit(small, {}));
        entry.placed(small.run, {});
    }
    EXPECT_LT(tried, 100);
    EXPECT_EQ(entry.waiting(), 0U);
}

RC_GTEST_PROP(admission, refused_callers_do_not_return_together, ())
{
    auto const seed = *rc::gen::arbitrary<std::uint64_t>();
    auto entry = admission::create({}, seed).value();
    auto times = std::set<duration>{};
    for (auto i = 0; i < 100; ++i)
    {
        auto const after = entry.spread_retry_after();
        RC_ASSERT(after >= admission_settings{}.least_retry_after);
        RC_ASSERT(after <= admission_settings{}.most_retry_after);
        times.insert(after);
    }
    RC_ASSERT(times.size() > 90U);
    RC_ASSERT(*times.rbegin() - *times.begin() > std::chrono::seconds(4));
}

} // namespace
} // namespace sapphirereel
