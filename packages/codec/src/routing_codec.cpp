#include "sapphirereel/codec/routing_codec.hpp"

namespace sapphirereel {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(skipped_selector, name, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(skipped_endpoint, id, reason, label)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    eligible_endpoint,
    id,
    address,
    zone,
    service,
    kind,
    checks_fencing,
    resumes_prefix)

auto to_json(nlohmann::json& to, routing const& from) -> void
{
    to = {
        {"services", from.services},
        {"selector", from.selector},
        {"endpoints", from.endpoints},
        {"passed_over_selectors", from.skipped_selectors},
        {"passed_over_endpoints", from.skipped_endpoints},
        {"findings", from.problems}};
}

auto from_json(nlohmann::json const& from, routing& to) -> void
{
    from.at("services").get_to(to.services);
    from.at("selector").get_to(to.selector);
    from.at("endpoints").get_to(to.endpoints);
    from.at("passed_over_selectors").get_to(to.skipped_selectors);
    from.at("passed_over_endpoints").get_to(to.skipped_endpoints);
    from.at("findings").get_to(to.problems);
}

} // namespace sapphirereel
