/// \file
/// Defines the stand-in of the platform's log service.
#ifndef SAPPHIREREEL_STANDINS_LOG_STAND_IN_HPP
#define SAPPHIREREEL_STANDINS_LOG_STAND_IN_HPP

#include "sapphirereel/standins/http_server.hpp"
#include "sapphirereel/standins/log_store.hpp"
#include "sapphirereel/standins/token_bucket.hpp"

#include <condition_variable>
#include <mutex>

namespace sapphirereel::standins {

/// How the log stand-in behaves.
struct log_settings
{
    server_settings server;
    log_retention retention;
    /// Over all streams together; beyond it an append is answered with 429.
    double appends_per_second = 500;
    auto operator<=>(log_settings const&) const = default;
};

/// What goes wrong at the log stand-in.
struct log_faults
{
    /// Connections are closed without an answer, nothing is appended.
    bool down = false;
    /// Every call is answered with 503, nothing is appended.
    bool unavailable = false;
    /// Before each call takes effect.
    std::int64_t delay_ms = 0;
    /// Appends to come that take effect and get no answer.
    std::int64_t lose_answers = 0;
    auto operator<=>(log_faults const&) const = default;
};

/// A running log service.
class log_stand_in
{
public:
    static auto start(log_settings const& settings)
        -> result<std::unique_ptr<log_stand_in>>;

    log_stand_in(log_stand_in const&) = delete;
    auto operator=(log_stand_in const&) -> log_stand_in& = delete;
    ~log_stand_in();

    [[nodiscard]] auto address() const -> socket_address;

    auto set_faults(log_faults const& faults) -> void;
    auto set_retention(log_retention const& retention) -> void;

    /// Everything that a stream still holds.
    auto records(stream_name const& stream) -> std::vector<log_record>;

private:
    explicit log_stand_in(log_settings const& settings);
    auto define_routes(httplib::Server& server) -> void;
    auto append(httplib::Request const& request, httplib::Response& response)
        -> void;
    auto read(httplib::Request const& request, httplib::Response& response)
        -> void;
    auto change_faults(nlohmann::json const& change) -> void;
    auto delay() -> void;
    auto fails(httplib::Request const& request, httplib::Response& response)
        -> bool;

    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    log_faults faults_;
    log_retention retention_;
    log_store store_;
    token_bucket appends_;
    std::unique_ptr<http_server> server_;
};

} // namespace sapphirereel::standins

#endif
