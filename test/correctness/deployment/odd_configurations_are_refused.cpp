// Guards against a configuration with an odd number that takes effect: a
// version that wraps is newer than all that follow, and a time out of range has
// no defined length.
#include "sapphirereel/deployment/record_reader.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

auto read(std::string const& text)
{
    return record_reader::read_configuration({"config", 4, text});
}

/// A configuration with one field more in its route.
auto with_route_field(std::string const& field) -> std::string
{
    return fmt::format(
        R"({{"version":7,"routes":[{{"name":"r","host":"h",)"
        R"("path-prefix":"/p/","kind":"safe","service":"a",{}}}],)"
        R"("services":[{{"name":"a"}}]}})",
        field);
}

TEST(odd_configuration, with_an_odd_version_is_refused)
{
    for (auto const* const version :
         {"-1", "1e30", "-1e30", "1e400", "2.5", "18446744073709551615",
          "18446744073709551616", "\"7\"", "true", "null", "[]"})
    {
        EXPECT_FALSE(read(fmt::format(
            R"({{"version":{},"routes":[],"services":[]}})", version)))
            << version;
    }
}

TEST(odd_configuration, with_an_odd_figure_is_refused)
{
    for (auto const* const field :
         {R"("max-attempts":-1)", R"("max-attempts":1e30)",
          R"("max-attempts":1.5)", R"("max-attempts":"2")",
          R"("priority":1e30)", R"("priority":-1)", R"("timeout-ms":-1)",
          R"("timeout-ms":"x")", R"("target-latency-ms":-1e30)",
          R"("gap-aim-ms":1e400)", R"("auth-exempt":1)"})
    {
        EXPECT_FALSE(read(with_route_field(field))) << field;
    }
}

TEST(odd_configuration, with_a_very_long_time_waits_long)
{
    auto const whole = read(with_route_field(R"("timeout-ms":1e30)"));
    ASSERT_TRUE(whole && *whole);
    EXPECT_GE((**whole).routes.at(0).timeout, std::chrono::hours{24});
    EXPECT_LE((**whole).routes.at(0).timeout, std::chrono::hours{24 * 366});
}

TEST(odd_configuration, with_fields_of_another_type_is_refused)
{
    for (auto const* const text :
         {R"({"version":7,"routes":null,"services":[]})",
          R"({"version":7,"routes":{},"services":[]})",
          R"({"version":7,"routes":[],"services":null})",
          R"({"version":7,"routes":[],"services":{}})",
          R"({"version":7,"routes":[1],"services":[]})",
          R"({"version":7,"routes":"x","services":[]})",
          R"({"version":7,"routes":[],"services":[],"limits":3})",
          R"({"version":7,"routes":[],"services":[],)"
          R"("limits":{"max-body-bytes":-1}})",
          R"({"version":7,"routes":[],"services":[],)"
          R"("limits":{"max-header-bytes":1e30}})",
          R"({"version":7,"routes":[],"services":[{"name":"a",)"
          R"("max-connections":-1}]})",
          R"({"version":7,"routes":[],"services":[{"name":"a",)"
          R"("cold-per-s":-1}]})",
          R"([])", R"(7)", R"()", "\xff\xfe", "{"})
    {
        EXPECT_FALSE(read(text)) << text;
    }
    EXPECT_FALSE(read(std::string(300'000, '[')));
}

TEST(evacuation_key, names_one_zone)
{
    auto const zone_of = [](std::string key, std::string value) {
        return record_reader::read_evacuation(
            {std::move(key), 4, std::move(value)});
    };
    EXPECT_EQ(zone_of("evacuate/z", std::string(300'000, '[')), zone_name{"z"});
    EXPECT_FALSE(zone_of("evacuate/", "1e400"));
    EXPECT_FALSE(zone_of("evacuate/a/b", "{}"));
    EXPECT_FALSE(zone_of("evacuate", ""));
}

} // namespace
} // namespace sapphirereel::deployment
