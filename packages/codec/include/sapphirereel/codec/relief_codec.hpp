/// \file
/// Defines how a home's request for a move stands in JSON and MessagePack.
#ifndef SAPPHIREREEL_CODEC_RELIEF_CODEC_HPP
#define SAPPHIREREEL_CODEC_RELIEF_CODEC_HPP

#include "sapphirereel/codec/basic_codec.hpp"
#include "sapphirereel/core/migration_policy.hpp"

namespace sapphirereel {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(migrate_message, replica, run)

} // namespace sapphirereel

#endif
