#include "sapphirereel/wire/peer_codec.hpp"
#include "support/mutation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sapphirereel;
using sapphirereel::test::nearly_valid;

namespace {

auto envelopes() -> std::vector<std::string>
{
    auto const from = daemon_id{"entry-1/1"};
    auto piggybacked = gossip{};
    piggybacked.members.push_back(member{});
    return {
        encode_peer({from, configuration_query{{7}}}),
        encode_peer({from, endpoint_leaving{endpoint_id{"e"}}}),
        encode_peer({from, membership_message{{}, probe{3}, piggybacked}}),
        encode_peer({from, configuration_snapshot{}}),
        encode_peer({from, poison_part_reports{{}, {}, {{digest{"p"}, 1}}}})};
}

} // namespace

RC_GTEST_PROP(peer_codec_fuzz, bytes_are_rejected_or_round_trip, ())
{
    auto const read = decode_peer(nearly_valid(envelopes()));
    RC_CLASSIFY(read.has_value());
    if (read)
    {
        auto const again = decode_peer(encode_peer(*read));
        RC_ASSERT(again.has_value());
        RC_ASSERT((*again == *read));
    }
}
