/// \file
/// Defines which request a response is about. A replica may write a response to
/// an earlier request late or twice, at the point where the next one is
/// expected.
#ifndef SAPPHIREREEL_RELAY_RESPONSE_ATTRIBUTION_HPP
#define SAPPHIREREEL_RELAY_RESPONSE_ATTRIBUTION_HPP

#include "sapphirereel/relay/message_format.hpp"

#include <string_view>

namespace sapphirereel::relay {

/// The request that a response names.
enum class response_subject
{
    /// The request that is answered.
    this_request,
    /// Another one.
    another_request,
    /// None: the response bears no id.
    unnamed
};

/// The request that a response names, where `request_id` is expected.
auto subject_of(replica_response const& response, std::string_view request_id)
    -> response_subject;

/// Name in log lines.
auto name_of(response_subject subject) -> std::string_view;

} // namespace sapphirereel::relay

#endif
