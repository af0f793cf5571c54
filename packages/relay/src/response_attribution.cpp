#include "sapphirereel/relay/response_attribution.hpp"

namespace sapphirereel::relay {

auto subject_of(replica_response const& response, std::string_view request_id)
    -> response_subject
{
    if (response.request_id.empty())
    {
        return response_subject::unnamed;
    }
    return response.request_id == request_id
               ? response_subject::this_request
               : response_subject::another_request;
}

auto name_of(response_subject subject) -> std::string_view
{
    switch (subject)
    {
    case response_subject::this_request:
        return "this request";
    case response_subject::another_request:
        return "another request";
    case response_subject::unnamed:
        break;
    }
    return "no request";
}

} // namespace sapphirereel::relay
