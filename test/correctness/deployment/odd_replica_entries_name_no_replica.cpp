// Guards against a replica's entry of another writer that is used: a number
// that wraps or is cut off, an address that none can connect to, or a field of
// another type makes up a replica.
#include "sapphirereel/deployment/record_reader.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>

namespace sapphirereel::deployment {
namespace {

/// Reads an entry whose fields are proper but for one.
auto read_with(std::string const& field, std::string const& value)
    -> tl::expected<relay::replica, std::string>
{
    auto fields = std::map<std::string, std::string>{
        {"service", "\"a\""},   {"address", "\"10.0.0.9:8080\""},
        {"zone", "\"z\""},      {"slots", "24"},
        {"state", "\"ready\""}, {"born", "1700000000000"},
        {"sequence", "4"}};
    fields[field] = value;
    auto text = std::string{};
    for (auto const& [name, written] : fields)
    {
        text +=
            fmt::format("{}\"{}\":{}", text.empty() ? "" : ",", name, written);
    }
    return record_reader::read_replica({"i-1", 3, "{" + text + "}"});
}

/// Values that are no number of slots, orders or milliseconds.
auto const no_whole_numbers = std::vector<std::string>{
    "-1",  "1e30",  "-1e30", "1e400",      "2.5",  "18446744073709551616",
    "[]",  "\"4\"", "true",  "4294967296", "null", "{}",
    "-0.5"};

/// Values of other types than a text.
auto const no_texts =
    std::vector<std::string>{"1", "1e30", "[]", "{}", "null", "true"};

TEST(replica_entry, with_an_odd_number_names_no_replica)
{
    for (auto const& value : no_whole_numbers)
    {
        EXPECT_FALSE(read_with("slots", value)) << value;
        // The start and the sequence may exceed 32 bits.
        if (value != "4294967296")
        {
            EXPECT_FALSE(read_with("born", value)) << value;
            EXPECT_FALSE(read_with("sequence", value)) << value;
        }
    }
}

TEST(replica_entry, with_a_whole_number_names_one)
{
    EXPECT_EQ(read_with("slots", "24.0")->slots, 24U);
    EXPECT_EQ(read_with("born", "1.7e12")->started_at_ms, 1'700'000'000'000U);
    EXPECT_EQ(read_with("sequence", "4294967296")->renewal, 4'294'967'296U);
}

TEST(replica_entry, with_a_field_of_another_type_names_no_replica)
{
    for (auto const& value : no_texts)
    {
        for (auto const* const field : {"service", "address", "zone", "state"})
        {
            EXPECT_FALSE(read_with(field, value)) << field << " " << value;
        }
    }
}

TEST(replica_entry, with_an_odd_address_names_no_replica)
{
    for (auto const* const address :
         {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999", "10.0.0.9:-1",
          "10.0.0.9:http", "10.0.0.9:", "10.0.0.9:80x", "10.0.0.9: 80",
          "10.0.0.9", ":80", "", "300.0.0.1:80", "0.0.0.0:80", "224.0.0.1:80",
          "a\\u0000b:80"})
    {
        EXPECT_FALSE(read_with("address", fmt::format("\"{}\"", address)))
            << address;
    }
    EXPECT_TRUE(read_with("address", "\"10.0.0.9:65535\""));
}

// An invalid time until the replica is warm is marked; the entry holds.
TEST(replica_entry, with_an_odd_cold_time_is_marked)
{
    for (auto const* const value : {"-1", "1e30", "\"x\"", "[]", "null", "{}"})
    {
        auto const read = read_with("cold-remaining-ms", value);
        ASSERT_TRUE(read) << value;
        EXPECT_TRUE(read->has_invalid_cold) << value;
        EXPECT_EQ(read->cold_remaining, duration{0}) << value;
    }
    EXPECT_FALSE(read_with("cold-remaining-ms", "1e400"));
}

TEST(replica_entry, that_cannot_be_read_names_no_replica)
{
    auto const deep = std::size_t{300'000};
    for (auto const& value :
         {std::string{}, std::string{"\0\xff\xfe", 3}, std::string{"{\"a\":"},
          std::string(deep, '['),
          std::string(deep, '[') + std::string(deep, ']'),
          std::string{"\"\xc3\x28\""}, std::string{"1e400"}})
    {
        EXPECT_FALSE(record_reader::read_replica({"i-1", 3, value}));
    }
    auto nested = std::string{};
    for (auto level = std::size_t{0}; level < deep; ++level)
    {
        nested += R"({"a":)";
    }
    EXPECT_FALSE(record_reader::read_replica({"i-1", 3, nested}));
    EXPECT_FALSE(
        read_with("models", std::string(deep, '[') + std::string(deep, ']')));
}

} // namespace
} // namespace sapphirereel::deployment
