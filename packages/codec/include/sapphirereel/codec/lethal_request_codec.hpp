/// \file
/// Defines how the gossip on lethal requests and prompt parts stands in JSON
/// and MessagePack.
#ifndef SAPPHIREREEL_CODEC_LETHAL_REQUEST_CODEC_HPP
#define SAPPHIREREEL_CODEC_LETHAL_REQUEST_CODEC_HPP

#include "sapphirereel/codec/basic_codec.hpp"
#include "sapphirereel/core/poison_part.hpp"
#include "sapphirereel/core/poison_request.hpp"

namespace sapphirereel {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(crash_message, death, in_flight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cleared_message, content, deaths)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(part_ruling, part, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    poison_part_reports, crashes, cleared, rulings)

} // namespace sapphirereel

#endif
