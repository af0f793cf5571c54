// Guards against configurations that are accepted and then fail requests:
// routes that never match, services that are not listed, limits that contradict
// each other, versions that daemons ignore.
#include "sapphirereel/deployment/configuration_check.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

using testing::HasSubstr;
using testing::Not;

auto route(std::string const& name, std::string const& more) -> std::string
{
    return R"({"name":")" + name +
           R"(","host":"h","kind":"safe","max-attempts":2,"timeout-ms":1000,)"
           R"("target-latency-ms":150,)" +
           more + "}";
}

auto configuration(int version, std::string const& routes) -> std::string
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           routes +
           R"(],"services":[{"name":"a"}],"tenants":[{"name":"t",)"
           R"("api-keys":["secret-key"]}]})";
}

auto check(std::string const& proposed) -> configuration_report
{
    return check_configuration({"new.json", proposed}, std::nullopt);
}

auto const good = route("one", R"("path-prefix":"/p/","service":"a")");

TEST(configuration_check, of_a_sound_one_has_no_findings)
{
    auto const report = check(configuration(2, good));
    EXPECT_TRUE(report.is_usable) << report.text;
    EXPECT_EQ(report.text, "new.json: 0 errors, 0 warnings\n");
}

TEST(configuration_check, finds_routes_that_never_match)
{
    auto const report = check(configuration(
        2, good + "," + route("two", R"("path-prefix":"/p/","service":"a")") +
               "," + route("three", R"("path-prefix":"/q","service":"a")")));
    EXPECT_FALSE(report.is_usable);
    EXPECT_THAT(report.text, HasSubstr("route two: never matches: route one"));
    EXPECT_THAT(report.text, HasSubstr("'/q' does not begin and end"));
}

TEST(configuration_check, finds_services_that_are_not_listed)
{
    auto const report = check(
        configuration(2, route("one", R"("path-prefix":"/p/","service":"b")")));
    EXPECT_FALSE(report.is_usable);
    EXPECT_THAT(report.text, HasSubstr("service 'b' is not listed"));
    EXPECT_THAT(report.text, HasSubstr("service a: no route sends"));
}

TEST(configuration_check, warns_of_limits_that_contradict_each_other)
{
    auto const report = check(configuration(
        2, good + R"(,{"name":"late","host":"h","path-prefix":"/l/",)"
                  R"("kind":"unsafe","service":"a","timeout-ms":100,)"
                  R"("target-latency-ms":150,"max-attempts":3})"));
    EXPECT_TRUE(report.is_usable);
    EXPECT_THAT(report.text, HasSubstr("150 ms is longer than the timeout"));
    EXPECT_THAT(report.text, HasSubstr("3 attempts contradict its kind"));
}

TEST(configuration_check, lists_what_differs_from_the_version_in_force)
{
    auto const before = named_text{"old.json", configuration(2, good)};
    auto const after =
        route("one", R"("path-prefix":"/p/","service":"a","priority":1)") +
        "," + route("two", R"("path-prefix":"/q/","service":"a")");
    auto const report =
        check_configuration({"new.json", configuration(3, after)}, before);
    EXPECT_TRUE(report.is_usable) << report.text;
    EXPECT_THAT(report.text, HasSubstr("changed: route one: priority: 0 -> 1"));
    EXPECT_THAT(report.text, HasSubstr("added: route two"));
    EXPECT_THAT(report.text, Not(HasSubstr("secret-key")));
}

TEST(configuration_check, shows_changes_of_resumption_and_of_cold_replicas)
{
    auto const stream = [](std::string const& more) {
        return R"({"version":)" + more +
               R"(,"routes":[{"name":"s","host":"h","path-prefix":"/s/",)"
               R"("kind":"streaming","service":"m","max-attempts":2,)"
               R"("stream-resume":)";
    };
    auto const before = stream("2") + R"(false}],"services":[{"name":"m",)"
                                      R"("warmup-s":1,"cold-per-s":30}]})";
    auto const after = stream("3") + R"(true}],"services":[{"name":"m",)"
                                     R"("warmup-s":0,"cold-per-s":30}]})";
    auto const report = check_configuration(
        {"new.json", after}, named_text{"old.json", before});
    EXPECT_TRUE(report.is_usable) << report.text;
    EXPECT_THAT(report.text, HasSubstr("streams may resume: false -> true"));
    EXPECT_THAT(report.text, HasSubstr("warm-up ms: 1000 -> 0"));
    EXPECT_THAT(report.text, HasSubstr("limit nothing together"));
}

TEST(configuration_check, refuses_a_version_that_daemons_ignore)
{
    auto const text = configuration(2, good);
    auto const report =
        check_configuration({"new.json", text}, named_text{"old.json", text});
    EXPECT_FALSE(report.is_usable);
    EXPECT_THAT(report.text, HasSubstr("write a version above 2"));
}

TEST(configuration_check, says_why_a_file_cannot_be_read)
{
    auto const report = check("{");
    EXPECT_FALSE(report.is_usable);
    EXPECT_THAT(report.text, HasSubstr("error: new.json: configuration:"));
}

} // namespace
} // namespace sapphirereel::deployment
