/// \file
/// Defines the stand-in of a model engine.
#ifndef SAPPHIREREEL_STANDINS_ENGINE_STAND_IN_HPP
#define SAPPHIREREEL_STANDINS_ENGINE_STAND_IN_HPP

#include "sapphirereel/standins/engine_batch.hpp"
#include "sapphirereel/standins/engine_messages.hpp"
#include "sapphirereel/standins/engine_orders.hpp"
#include "sapphirereel/standins/http_server.hpp"
#include "sapphirereel/standins/lagging.hpp"
#include "sapphirereel/standins/prefix_cache.hpp"
#include "sapphirereel/standins/run_attachments.hpp"

#include <condition_variable>
#include <mutex>

namespace sapphirereel::standins {

/// How the engine stand-in behaves.
struct engine_settings
{
    server_settings server;
    batch_settings batch;
    prefix_cache_settings cache;
    order_settings orders;
    /// Time of one step, in which each running run gets a token.
    duration token_time{std::chrono::milliseconds{20}};
    /// Longest natural length of an answer, in tokens.
    std::uint64_t max_length = 4'096;
    /// How long a run goes on when its reader is gone.
    duration orphan_grace{std::chrono::seconds{10}};
    /// How long a run that ended can still be read.
    duration keep_ended{std::chrono::minutes{2}};
    /// How late the load report is.
    duration load_lag{std::chrono::milliseconds{500}};
    /// Time without a token after which a stream gets a comment.
    duration heartbeat{std::chrono::seconds{1}};
    /// A prompt that holds this text ends the process; empty: none does.
    std::string crash_marker;
    /// Called instead of ending the process; for tests inside a process.
    std::function<void()> on_crash;
};

/// What goes wrong at the engine stand-in.
struct engine_faults
{
    /// Every request is accepted and never answered, open streams stall.
    bool silent = false;
    /// Completion requests are answered with 503.
    bool refuse = false;
    auto operator<=>(engine_faults const&) const = default;
};

/// A running engine.
class engine_stand_in
{
public:
    static auto start(engine_settings const& settings)
        -> result<std::unique_ptr<engine_stand_in>>;

    engine_stand_in(engine_stand_in const&) = delete;
    auto operator=(engine_stand_in const&) -> engine_stand_in& = delete;
    ~engine_stand_in();

    [[nodiscard]] auto address() const -> socket_address;

    auto set_faults(engine_faults const& faults) -> void;

    /// Stalls everything for a time.
    auto freeze(duration time) -> void;

    /// Makes the streams that are open now go silent for good. New ones work.
    auto silence_open_streams() -> void;

    /// What a run is doing, or nothing if there is none of that name.
    auto state_of(run_id const& run) -> std::optional<run_state>;

    /// The present load, without lag.
    auto load() -> batch_load;

private:
    struct open_stream;

    explicit engine_stand_in(engine_settings const& settings);
    auto define_routes(httplib::Server& server) -> void;
    auto define_run_routes(httplib::Server& server) -> void;
    auto define_inspection_routes(httplib::Server& server) -> void;
    auto complete(
        httplib::Request const& request, httplib::Response& response, bool chat)
        -> void;
    auto attach(httplib::Request const& request, httplib::Response& response)
        -> void;
    auto cancel(httplib::Request const& request, httplib::Response& response)
        -> void;
    auto order(httplib::Request const& request, httplib::Response& response)
        -> void;
    auto change_faults(nlohmann::json const& change) -> void;
    auto report_load() -> nlohmann::json;
    auto report_cache_events(std::uint64_t from) -> nlohmann::json;
    auto list_runs() -> nlohmann::json;
    auto open(httplib::Response& response, open_stream stream) -> void;
    auto answer_whole(
        httplib::Response& response, attachment_ticket const& ticket) -> void;
    auto write_next(open_stream& stream, httplib::DataSink& sink) -> bool;
    auto text_ready(open_stream& stream) -> std::string;
    [[nodiscard]] auto has_news(open_stream const& stream) const -> bool;
    [[nodiscard]] auto stalls(time_point now) const -> bool;
    auto wait_while_silent() -> bool;
    auto run_steps() -> void;
    auto step(time_point now) -> void;

    engine_settings settings_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    engine_faults faults_;
    time_point frozen_until_;
    std::uint64_t streams_opened_ = 0;
    std::uint64_t silenced_streams_ = 0;
    std::uint64_t unnamed_runs_ = 0;
    engine_batch batch_;
    run_attachments attachments_;
    prefix_cache cache_;
    engine_orders orders_;
    lagging<batch_load> load_;
    std::unique_ptr<http_server> server_;
    std::thread steps_;
};

} // namespace sapphirereel::standins

#endif
