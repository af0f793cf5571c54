#include "sapphirereel/daemon/settings.hpp"
#include "support/settings_text.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

using sapphirereel::findings;
using sapphirereel::place;
using sapphirereel::daemon::settings;
using sapphirereel::test::minimal_settings;

namespace {

auto errors_of(std::string const& text) -> findings
{
    auto const loaded = settings::parse(text, "test.ini");
    return loaded ? findings{} : loaded.error();
}

auto places_of(findings const& errors) -> std::vector<place>
{
    auto places = std::vector<place>{};
    for (auto const& error : errors)
    {
        places.push_back(error.where);
    }
    return places;
}

} // namespace

TEST(settings_errors, are_reported_together_with_their_lines)
{
    auto const errors = errors_of(
        minimal_settings + // 11 lines
        "[callers]\n"
        "max_conections = 5\n" // 13: unknown key
        "read_timeout = 5\n"   // 14: no unit
        "no equal sign\n"      // 15: form
        "[memberships]\n"      // 16: unknown section
        "[placement\n"         // 17: form
        "probes = 17\n"        // 18: out of range
        "margin = 1\n"
        "margin = 2\n"); // 20: twice
    EXPECT_THAT(
        places_of(errors),
        testing::ElementsAre(
            place{"test.ini", 13, "callers.max_conections"},
            place{"test.ini", 14, "callers.read_timeout"},
            place{"test.ini", 15, ""}, place{"test.ini", 16, "memberships"},
            place{"test.ini", 17, ""},
            place{"test.ini", 18, "placement.probes"},
            place{"test.ini", 20, "placement.margin"}));
    EXPECT_EQ(errors[0].mend, "did you mean max_connections?");
    EXPECT_EQ(errors[3].mend, "did you mean [membership]?");
}

TEST(settings_errors, name_each_missing_key)
{
    auto const errors = errors_of("");
    EXPECT_EQ(errors.size(), 9U);
    EXPECT_EQ(errors.front().message, "daemon.name is missing");
}

TEST(settings_errors, name_clashing_settings)
{
    auto const errors =
        errors_of(minimal_settings + "[limits]\nclaim_window = 24h\n");
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].where, (place{"test.ini", 13, "limits.claim_window"}));
}

TEST(settings_errors, name_a_bound_of_all_bodies_that_one_would_pass)
{
    auto const errors =
        errors_of(minimal_settings + "[callers]\nmax_bodies_bytes = 7MiB\n");
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(
        errors[0].where, (place{"test.ini", 13, "callers.max_bodies_bytes"}));
}

TEST(settings_errors, refuse_host_names_and_bad_ports)
{
    for (auto const* const address :
         {"localhost:1", "127.0.0.1", "127.0.0.1:65536", "::1:80",
          "[127.0.0.1]:1", "127.0.0.1:", ":1"})
    {
        auto const errors = errors_of(
            minimal_settings + "[daemon]\nadvertised_address = " + address);
        EXPECT_EQ(errors.size(), 1U) << address;
    }
}

TEST(settings_errors, do_not_repeat_the_secret)
{
    auto text = minimal_settings;
    text.replace(text.find("0001"), 2, "x");
    auto const errors = errors_of(text);
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].message.find("0405"), std::string::npos);
}

TEST(settings_errors, name_a_file_that_cannot_be_opened)
{
    auto const loaded = settings::load("/nonexistent/sapphirereel.ini");
    ASSERT_FALSE(loaded.has_value());
    EXPECT_EQ(loaded.error()[0].where.source, "/nonexistent/sapphirereel.ini");
}

TEST(settings_errors, survive_binary_text)
{
    auto text = minimal_settings + "[log]\nlevel = \xff\x01\n";
    text += '\0';
    auto const errors = errors_of(text);
    ASSERT_EQ(errors.size(), 2U);
    EXPECT_EQ(errors[0].where.line, 13);
}
