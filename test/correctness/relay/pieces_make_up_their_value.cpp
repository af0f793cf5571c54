// Guards against a configuration that is collected in pieces and is not the one
// that was published, and against pieces that are sent again although the
// receiver has them.
#include "sapphirereel/relay/piece_message.hpp"
#include "sapphirereel/relay/record_transfer.hpp"
#include "support/relay/large_configuration.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sapphirereel::relay::test {
namespace {

auto random_text(std::size_t bytes, std::uint64_t seed) -> std::string
{
    auto random = std::mt19937_64{seed};
    auto text = std::string(bytes, '\0');
    for (auto& each : text)
    {
        each = static_cast<char>(random());
    }
    return text;
}

/// Copies to a library the pieces that it lacks; returns their bytes.
auto collect(
    piece_library& to, piece_library const& from, value_outline const& outline)
    -> std::size_t
{
    auto bytes = std::size_t{0};
    to.expect(outline);
    for (auto const& each : to.missing(outline))
    {
        bytes += each.bytes;
        to.add(*from.find(each.digest));
    }
    return bytes;
}

RC_GTEST_PROP(pieces, joined_are_the_value, ())
{
    auto const bytes = *rc::gen::inRange<std::size_t>(0, 200'000);
    auto const value = random_text(bytes, *rc::gen::arbitrary<std::uint64_t>());
    auto joined = std::string{};
    for (auto const piece : cut_into_pieces(value))
    {
        RC_ASSERT(!piece.empty());
        RC_ASSERT(piece.size() <= max_piece_bytes);
        joined += piece;
    }
    RC_ASSERT(joined == value);
    RC_ASSERT(outline_of(value).bytes() == bytes);
}

// Any series of versions ends with the newest value at a receiver that skips
// some of them and holds pieces of the others.
RC_GTEST_PROP(pieces, of_any_series_of_versions_end_with_the_newest, ())
{
    auto sender = piece_library{};
    auto receiver = piece_library{};
    auto value = random_text(120'000, 1);
    auto const versions = *rc::gen::inRange(1, 8);
    for (auto version = 0; version < versions; ++version)
    {
        auto const at = *rc::gen::inRange<std::size_t>(0, value.size());
        auto const removed = *rc::gen::inRange<std::size_t>(0, 40'000);
        auto const added = *rc::gen::inRange<std::size_t>(0, 40'000);
        value = value.substr(0, at) +
                random_text(added, static_cast<std::uint64_t>(version)) +
                value.substr(std::min(value.size(), at + removed));
        auto const outline = sender.hold(value);
        auto const is_last = version + 1 == versions;
        if (is_last || *rc::gen::arbitrary<bool>())
        {
            collect(receiver, sender, outline);
            RC_ASSERT(receiver.value_of(outline) == value);
        }
    }
}

TEST(pieces_of_a_changed_value, are_those_of_the_value_but_for_a_few)
{
    auto sender = piece_library{};
    auto receiver = piece_library{};
    auto value = large_configuration(1, 900'000);
    collect(receiver, sender, sender.hold(value));
    value.insert(450'000, "one route more");
    EXPECT_LT(collect(receiver, sender, sender.hold(value)), 100'000U);
}

TEST(pieces_of_a_dropped_value, are_dropped_unless_another_one_has_them)
{
    auto library = piece_library{};
    auto const value = random_text(100'000, 1);
    auto const first = library.hold(value);
    for (auto seed = std::uint64_t{2}; seed < 2 + max_held_values; ++seed)
    {
        library.hold(random_text(100'000, seed));
    }
    EXPECT_EQ(bytes_of(library.missing(first)), 100'000U);
    EXPECT_FALSE(library.value_of(first));
}

TEST(piece, that_nobody_expects_is_dropped)
{
    auto library = piece_library{};
    EXPECT_FALSE(library.add("x"));
    EXPECT_EQ(library.find(digest_of("x")), nullptr);
    library.expect(outline_of("x"));
    EXPECT_TRUE(library.add("x"));
    // A piece that arrives twice is no progress.
    EXPECT_FALSE(library.add("x"));
}

TEST(outlined_value, whose_pieces_make_up_another_one_is_not_used)
{
    auto library = piece_library{};
    auto outline = library.hold(random_text(100'000, 1));
    std::swap(outline.pieces.front(), outline.pieces.back());
    EXPECT_FALSE(library.value_of(outline));
}

TEST(copy_with_outlines, is_read_as_it_was_written)
{
    auto sender = piece_library{};
    auto receiver = piece_library{};
    auto const large = random_text(100'000, 1);
    auto const copy = peer_copy{
        {{{"config", 4, large}, {"evacuate/z", 5, "{}"}, {"gone", 6, {}}}, 7},
        false};
    auto const read = read_copy(write_copy(with_outlines(copy, sender)));
    ASSERT_TRUE(read);
    ASSERT_EQ(read->outlined.size(), 1U);
    EXPECT_EQ(read->page.records.size(), 2U);
    EXPECT_EQ(bytes_of(missing_pieces(*read, receiver)), 100'000U);
    EXPECT_FALSE(with_values(*read, receiver));
    collect(receiver, sender, read->outlined.front().outline);
    auto const whole = with_values(*read, receiver);
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->page.next, copy.page.next);
    ASSERT_EQ(whole->page.records.size(), 3U);
    EXPECT_EQ(whole->page.records.back().value, large);
}

TEST(outline, that_contradicts_itself_is_refused)
{
    auto const digest = digest_of("x").raw();
    EXPECT_TRUE(read_outline(digest, digest, {1}));
    EXPECT_FALSE(read_outline("short", digest, {1}));
    EXPECT_FALSE(read_outline(digest, digest, {1, 2}));
    EXPECT_FALSE(read_outline(digest, digest, {0}));
    EXPECT_FALSE(read_outline(digest, digest, {max_piece_bytes + 1}));
}

TEST(piece_request, is_read_as_it_was_written)
{
    auto const request =
        piece_request{"10.1.0.1", {digest_of("a"), digest_of("b")}};
    EXPECT_EQ(read_piece_path(piece_path(request)), request);
    EXPECT_FALSE(read_piece_path("/pieces?by=10.1.0.1"));
    EXPECT_FALSE(read_piece_path("/pieces?by=10.1.0.1&ids=xyz"));
    auto const many = piece_request{
        "10.1.0.1", std::vector<content_digest>(max_requested_pieces + 1)};
    EXPECT_FALSE(read_piece_path(piece_path(many)));
}

TEST(piece_response, is_read_as_it_was_written)
{
    auto const response =
        piece_response{{"ab", std::string(3, '\0')}, {"10.1.0.1"}};
    EXPECT_EQ(read_pieces(write_pieces(response)), response);
    EXPECT_FALSE(read_pieces("no message"));
}

} // namespace
} // namespace sapphirereel::relay::test
