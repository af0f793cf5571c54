/// \file
/// Defines the engine stand-in's continuous batching: runs share one memory,
/// and when it is full the youngest run is paused and recomputed later.
#ifndef SAPPHIREREEL_STANDINS_ENGINE_BATCH_HPP
#define SAPPHIREREEL_STANDINS_ENGINE_BATCH_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/standins/generation.hpp"

#include <map>
#include <string>
#include <vector>

namespace sapphirereel::standins {

/// Size of an engine.
struct batch_settings
{
    /// Memory for prompts and output of running runs, in tokens.
    std::uint64_t memory_tokens = 65'536;
    std::uint32_t max_running = 256;
    /// Tokens of prompts and paused output that one step computes.
    std::uint64_t prefill_tokens = 2'048;
    auto operator<=>(batch_settings const&) const = default;
};

/// What a run is to generate.
struct run_submission
{
    run_id run;
    std::string model;
    /// Whether the answer is written as a chat's.
    bool chat = false;
    std::string prompt;
    /// Output that the run goes on from.
    std::string resume_text;
    std::uint64_t resume_tokens = 0;
    /// Tokens of the whole generation, resumed ones included.
    std::uint64_t length = 1;
    /// `stop` or `length`.
    std::string finish_reason = "stop";
    /// Higher values run first.
    std::int32_t priority = 0;
};

/// What a run is doing.
enum class run_state
{
    waiting,
    running,
    /// Put out of memory in the middle; it is recomputed later.
    paused,
    finished,
    cancelled
};

/// A run of the engine.
struct engine_run
{
    run_submission submission;
    generation_chain chain;
    /// Position in order of arrival.
    std::uint64_t arrival = 0;
    run_state state = run_state::waiting;
    /// Tokens still to compute before the next output token.
    std::uint64_t prefill_left = 0;
    /// Output tokens made here; the first has the index `resume_tokens`.
    std::vector<std::string> tokens = {};
    time_point ended = {};

    [[nodiscard]] auto has_ended() const -> bool;
    [[nodiscard]] auto memory_tokens() const -> std::uint64_t;
};

/// Sums over all runs.
struct batch_load
{
    std::uint64_t memory_tokens_used = 0;
    std::uint64_t memory_tokens_total = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t preemptions = 0;
    auto operator<=>(batch_load const&) const = default;
};

/// All runs of an engine, those that ended included until they are forgotten.
class engine_batch
{
public:
    explicit engine_batch(batch_settings settings);

    /// Queues a run; false if one of that name exists.
    auto submit(run_submission submission) -> bool;

    /// Cancels a run; false if there is none of that name.
    auto cancel(run_id const& run, time_point now) -> bool;

    /// Makes one token of every run that is ready, and answers the runs that
    /// entered the memory in this step.
    auto step(time_point now) -> std::vector<run_id>;

    /// Forgets runs that ended before a moment.
    auto forget_ended(time_point before) -> void;

    [[nodiscard]] auto find(run_id const& run) const -> engine_run const*;
    [[nodiscard]] auto load() const -> batch_load;
    [[nodiscard]] auto runs() const -> std::map<run_id, engine_run> const&;

private:
    auto admit() -> std::vector<run_id>;
    auto make_room(time_point now) -> void;
    auto prefill() -> void;
    auto decode(time_point now) -> void;
    [[nodiscard]] auto in_state(run_state state) -> std::vector<engine_run*>;
    [[nodiscard]] auto fits(engine_run const& run) const -> bool;

    batch_settings settings_;
    std::map<run_id, engine_run> runs_;
    std::uint64_t arrivals_ = 0;
    std::uint64_t preemptions_ = 0;
};

} // namespace sapphirereel::standins

#endif
