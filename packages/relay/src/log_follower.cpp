#include "sapphirereel/relay/log_follower.hpp"

namespace sapphirereel::relay {

auto name_of(keyed_stream stream) -> std::string_view
{
    return stream == keyed_stream::configuration ? "configuration" : "replicas";
}

} // namespace sapphirereel::relay
