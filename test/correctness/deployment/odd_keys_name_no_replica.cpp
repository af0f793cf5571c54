// Guards against a replica's id that ends a line: it is written into requests,
// and what follows it would be a field, or a request, that no caller sent.
#include "sapphirereel/deployment/record_reader.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

auto names_replica(std::string key) -> bool
{
    return record_reader::read_replica(
               {std::move(key), 3,
                R"({"service":"a","address":"10.0.0.9:8080","zone":"z",)"
                R"("slots":24,"state":"ready"})"})
        .has_value();
}

TEST(replica_key, that_is_no_word_names_no_replica)
{
    EXPECT_TRUE(names_replica("i-7f3a91c2"));
    EXPECT_FALSE(names_replica(""));
    EXPECT_FALSE(names_replica("i-1\r\nX-Sapphirereel-Tenant: t"));
    EXPECT_FALSE(names_replica("i-1\n"));
    EXPECT_FALSE(names_replica("i 1"));
    EXPECT_FALSE(names_replica(std::string{"i\0", 2}));
    EXPECT_FALSE(names_replica("i\xff"));
}

} // namespace
} // namespace sapphirereel::deployment
