/// \file
/// Defines the stand-in of the platform's rate-limited weight store.
#ifndef SAPPHIREREEL_STANDINS_WEIGHT_STAND_IN_HPP
#define SAPPHIREREEL_STANDINS_WEIGHT_STAND_IN_HPP

#include "sapphirereel/standins/http_server.hpp"
#include "sapphirereel/standins/token_bucket.hpp"

#include <mutex>

namespace sapphirereel::standins {

/// How the weight store stand-in behaves.
struct weight_settings
{
    server_settings server;
    /// For all engines together; beyond it a fetch is answered with 429.
    std::uint32_t loads_per_minute = 6;
    auto operator<=>(weight_settings const&) const = default;
};

/// A running weight store.
class weight_stand_in
{
public:
    static auto start(weight_settings const& settings)
        -> result<std::unique_ptr<weight_stand_in>>;

    [[nodiscard]] auto address() const -> socket_address;

private:
    explicit weight_stand_in(weight_settings const& settings);
    auto define_routes(httplib::Server& server) -> void;
    auto fetch(httplib::Request const& request, httplib::Response& response)
        -> void;

    std::mutex mutex_;
    std::uint32_t loads_per_minute_;
    token_bucket loads_;
    bool down_ = false;
    std::uint64_t served_ = 0;
    std::uint64_t refused_ = 0;
    std::unique_ptr<http_server> server_;
};

} // namespace sapphirereel::standins

#endif
