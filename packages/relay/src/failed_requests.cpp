#include "sapphirereel/relay/failed_requests.hpp"

#include <algorithm>
#include <functional>

namespace sapphirereel::relay {
namespace {

auto hash_of(std::string_view request_id) -> std::size_t
{
    return std::hash<std::string_view>{}(request_id);
}

} // namespace

auto failed_requests::add(std::string_view request_id) -> void
{
    hashes_.push_back(hash_of(request_id));
}

auto failed_requests::contains(std::string_view request_id) const -> bool
{
    return std::find(hashes_.begin(), hashes_.end(), hash_of(request_id)) !=
           hashes_.end();
}

} // namespace sapphirereel::relay
