/// \file
/// Defines the stand-in of a plain service, which counts effects and doesn't
/// deduplicate.
#ifndef SAPPHIREREEL_STANDINS_PLAIN_STAND_IN_HPP
#define SAPPHIREREEL_STANDINS_PLAIN_STAND_IN_HPP

#include "sapphirereel/standins/http_server.hpp"

#include <condition_variable>
#include <map>
#include <mutex>

namespace sapphirereel::standins {

/// How the plain stand-in behaves.
struct plain_settings
{
    server_settings server;
    /// The name that it puts into its answers.
    std::string name = "plain";
    /// A request whose body holds this text kills the process; empty: none.
    std::string crash_marker;
    /// Called instead of ending the process; for tests inside a process.
    std::function<void()> on_crash;
};

/// What goes wrong at the plain stand-in.
struct plain_faults
{
    /// Before each call takes effect.
    std::int64_t delay_ms = 0;
    /// Calls to come that take effect and get no answer.
    std::int64_t drop_answers = 0;
    /// Calls to come that are answered with 503 before any effect.
    std::int64_t refuse = 0;
    /// Requests are accepted and never answered; nothing takes effect.
    bool silent = false;
    auto operator<=>(plain_faults const&) const = default;
};

/// How often a named call took effect.
struct plain_effect
{
    std::string name;
    std::string path;
    std::uint64_t count = 0;
    auto operator<=>(plain_effect const&) const = default;
};

/// A running plain service.
class plain_stand_in
{
public:
    static auto start(plain_settings const& settings)
        -> result<std::unique_ptr<plain_stand_in>>;

    plain_stand_in(plain_stand_in const&) = delete;
    auto operator=(plain_stand_in const&) -> plain_stand_in& = delete;
    ~plain_stand_in();

    [[nodiscard]] auto address() const -> socket_address;
    auto set_faults(plain_faults const& faults) -> void;

    /// Effects so far, by the idempotency key and path of their calls.
    auto effects() -> std::vector<plain_effect>;

private:
    struct effect_key
    {
        std::string name;
        std::string path;
        auto operator<=>(effect_key const&) const = default;
    };

    explicit plain_stand_in(plain_settings const& settings);
    auto define_routes(httplib::Server& server) -> void;
    auto call(httplib::Request const& request, httplib::Response& response)
        -> void;
    auto change_faults(nlohmann::json const& change) -> void;
    auto wait_for_fault(std::unique_lock<std::mutex>& lock) -> void;

    plain_settings settings_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    plain_faults faults_;
    std::map<effect_key, std::uint64_t> effects_;
    std::unique_ptr<http_server> server_;
};

} // namespace sapphirereel::standins

#endif
