#include "sapphirereel/core/configuration_log.hpp"

#include "correctness/core/configuration_samples.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

/// A replica that holds the sample configuration as of offset 10.
auto sample_log() -> configuration_log
{
    auto log = configuration_log{};
    log.catch_up({{{10}, sample_configuration(), {}, {}}, {1}}, {});
    return log;
}

auto edit_at(
    configuration_log& log,
    std::uint64_t based_on,
    std::vector<configuration_change> changes) -> edit_verdict
{
    auto const offset = log.read_from();
    auto const id = edit_id{"edit-" + std::to_string(offset.value)};
    auto const entry = configuration_entry{
        offset,
        {1},
        configuration_edit{id, {based_on}, "ana", std::move(changes)}};
    return log.apply(entry, {}).verdict.value_or(edit_verdict{});
}

auto const fast = group_name{"fast"};

TEST(edit_verdict, two_added_endpoints_of_one_group_do_not_conflict)
{
    auto log = sample_log();
    auto const first =
        edit_at(log, 10, {add_endpoint{fast, sample_endpoint("n-1", 9101)}});
    auto const second =
        edit_at(log, 10, {add_endpoint{fast, sample_endpoint("n-2", 9102)}});
    EXPECT_EQ(first.kind, verdict_kind::accepted);
    EXPECT_EQ(second.kind, verdict_kind::accepted);
    EXPECT_EQ(log.config().groups.at(fast).endpoints.size(), 4U);
}

TEST(edit_verdict, replacing_a_group_conflicts_with_an_endpoint_added_since)
{
    auto log = sample_log();
    auto const old_group = log.config().groups.at(fast);
    edit_at(log, 10, {add_endpoint{fast, sample_endpoint("n-1", 9101)}});
    auto const replaced = edit_at(log, 10, {put_group{old_group}});
    ASSERT_EQ(replaced.kind, verdict_kind::rejected);
    EXPECT_EQ(replaced.reasons.at(0).where.source, "endpoint n-1");
    EXPECT_EQ(log.config().groups.at(fast).endpoints.size(), 3U);
}

TEST(edit_verdict, an_older_edit_does_not_restore_a_removed_object)
{
    auto log = sample_log();
    edit_at(log, 10, {put_selector{pool_selector("s", 1, "fast")}});
    edit_at(log, 11, {remove_selector{selector_name{"s"}}});
    auto const late =
        edit_at(log, 11, {put_selector{pool_selector("s", 2, "fast")}});
    EXPECT_EQ(late.kind, verdict_kind::rejected);
    EXPECT_TRUE(log.config().selectors.empty());
}

TEST(edit_verdict, an_edit_is_accepted_whole_or_not_at_all)
{
    auto log = sample_log();
    auto const before = log.config();
    auto const mixed = edit_at(
        log, 10,
        {put_share{{customer_id{"c"}, 2}},
         remove_service{service_name{"registru"}}});
    EXPECT_EQ(mixed.kind, verdict_kind::rejected);
    EXPECT_EQ(log.config(), before);
}

TEST(edit_verdict, an_accepted_edit_reports_only_the_warnings_it_introduced)
{
    auto log = sample_log();
    auto const none = pool_selector("none", 1, "none");
    EXPECT_EQ(edit_at(log, 10, {put_selector{none}}).reasons.size(), 1U);
    auto const other = edit_at(log, 11, {put_share{{customer_id{"c"}, 2}}});
    EXPECT_EQ(other.kind, verdict_kind::accepted);
    EXPECT_TRUE(other.reasons.empty());
}

TEST(edit_verdict, an_edit_based_before_the_kept_history_is_rejected)
{
    auto log = sample_log();
    while (log.state().offset.value < 10 + history_records)
    {
        log.apply({log.read_from(), {1}, malformed_record{}}, {});
    }
    auto const change = put_share{{customer_id{"c"}, 2}};
    EXPECT_EQ(edit_at(log, 10, {change}).kind, verdict_kind::rejected);
    EXPECT_EQ(edit_at(log, 12, {change}).kind, verdict_kind::accepted);
    EXPECT_EQ(log.malformed().count, history_records);
}

TEST(edit_verdict, findings_beyond_the_limit_are_counted)
{
    auto log = sample_log();
    auto changes = std::vector<configuration_change>{};
    for (auto i = std::size_t{0}; i < verdict_findings_max + 10; ++i)
    {
        changes.emplace_back(remove_endpoint{endpoint_id{"x"}});
    }
    auto const verdict = edit_at(log, 10, changes);
    ASSERT_EQ(verdict.reasons.size(), verdict_findings_max);
    EXPECT_EQ(verdict.reasons.back().message.substr(0, 3), "11 ");
}

TEST(edit_verdict, a_preview_is_the_verdict_of_the_next_record)
{
    auto log = sample_log();
    auto const edit = configuration_edit{
        edit_id{"edit-11"}, {10}, "ana", {put_share{{customer_id{"c"}, 0}}}};
    auto const preview = preview_edit(log.state(), edit);
    EXPECT_EQ(preview, edit_at(log, 10, edit.changes));
}

} // namespace
} // namespace sapphirereel
