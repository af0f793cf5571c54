/// \file
/// Defines a generation at its entry daemon, a state machine that delivers each
/// token of a request to the caller once and in order, also when engines and
/// connections fail.
///
/// One generation is one sequence of tokens. A run on another engine that
/// resumes from exactly the tokens delivered so far continues it; a run that
/// starts from the prompt is another generation and is allowed only while the
/// caller has seen no token of the first.
#ifndef SAPPHIREREEL_CORE_GENERATION_HPP
#define SAPPHIREREEL_CORE_GENERATION_HPP

#include "sapphirereel/core/attachment.hpp"
#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/output_digest.hpp"
#include "sapphirereel/core/request.hpp"
#include "sapphirereel/core/run_stream.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sapphirereel {

/// Position at which a caller resumes, decoded from its last event id.
struct resume_point
{
    run_id run;
    run_place place;
    /// Index of the first token that the caller has not seen.
    std::uint64_t next_index = 0;
    /// Number of this connection of the caller to the run, a fencing token:
    /// higher than that of every earlier connection of the caller, also of one
    /// with the same event id.
    std::uint64_t attachment_number = 0;
    /// All output text before `next_index`, if the caller sent it along and it
    /// matches the id's digest; only then can another engine continue.
    std::optional<std::string> received;
    auto operator<=>(resume_point const&) const = default;
};

/// A caller's request for a generation.
struct generation_request
{
    attachment_id attachment;
    request_facts facts;
    /// Digest of path and body.
    digest content;
    std::string path;
    std::string body;
    std::int32_t priority = 0;
    std::uint32_t prompt_tokens = 0;
    /// Latest time for the first token.
    time_point deadline;
    /// Whether the caller gets the complete answer at the end only.
    bool buffered = false;
    std::optional<resume_point> resume;
    /// Parts of the prompt that other requests may share, in order.
    std::vector<digest> prompt_parts;
    auto operator<=>(generation_request const&) const = default;
};

/// Bounds on a generation's recovery.
struct generation_settings
{
    /// Connections tried to the engine of a run before another engine
    /// continues the generation.
    std::uint32_t attach_attempts = 2;
    /// Time after which a connection that carried nothing counts as silent.
    duration silent_attach = std::chrono::seconds{1};
    /// Wait before the next connection attempt.
    duration attach_backoff = std::chrono::milliseconds{200};
    /// Wait before a request whose engine has crashed runs again.
    duration crash_backoff = std::chrono::milliseconds{300};
    /// Wait before placement is tried again.
    duration place_backoff = std::chrono::milliseconds{200};
    /// Longest time that a generation may be without an engine once the
    /// caller has seen a token.
    duration recovery_limit = std::chrono::seconds{20};
    /// Engines that one generation may lose before it fails.
    std::uint32_t lost_engines = 4;
    auto operator<=>(generation_settings const&) const = default;
};

/// Find an engine for a run. The result is passed to `placed` or `not_placed`.
struct find_place
{
    run_id run;
    std::set<endpoint_id> excluded;
    std::uint64_t output_tokens = 0;
    auto operator<=>(find_place const&) const = default;
};

/// Start a run and read its tokens.
struct start_run
{
    stream_number stream;
    run_id run;
    run_place place;
    std::optional<output_text> resume;
    auto operator<=>(start_run const&) const = default;
};

/// Read the tokens of a run that exists.
struct attach_run
{
    stream_number stream;
    run_id run;
    run_place place;
    std::uint64_t from = 0;
    std::uint64_t attachment_number = 0;
    auto operator<=>(attach_run const&) const = default;
};

/// Stop reading; the run continues.
struct stop_stream
{
    stream_number stream;
    auto operator<=>(stop_stream const&) const = default;
};

/// End the run at its engine.
struct cancel_run
{
    run_id run;
    run_place place;
    auto operator<=>(cancel_run const&) const = default;
};

/// The engine has lost the run.
struct engine_lost
{
    run_id run;
    run_place place;
    /// Whether the engine's process has ended: the connection was refused, or
    /// the engine has no such run. Otherwise its VM or the link may have
    /// failed.
    bool crashed = false;
    auto operator<=>(engine_lost const&) const = default;
};

/// Release the run's place.
struct release_place
{
    run_id run;
    run_place place;
    std::uint64_t output_tokens = 0;
    bool completed = false;
    auto operator<=>(release_place const&) const = default;
};

/// Send a chunk to the caller with the position from which it can resume.
struct deliver_chunk
{
    attachment_id attachment;
    run_id run;
    run_place place;
    std::uint64_t attachment_number = 0;
    run_chunk chunk;
    /// Digest of all output text up to and including this chunk.
    std::uint64_t output = unknown_output;
    auto operator<=>(deliver_chunk const&) const = default;
};

/// Drop the output buffered for the caller, since the generation restarts.
struct discard_buffered
{
    attachment_id attachment;
    auto operator<=>(discard_buffered const&) const = default;
};

/// The answer is complete.
struct finish_generation
{
    attachment_id attachment;
    auto operator<=>(finish_generation const&) const = default;
};

/// Report a refusal to the caller, which gets no further output.
struct refuse_generation
{
    attachment_id attachment;
    refusal reason;
    auto operator<=>(refuse_generation const&) const = default;
};

using generation_action = std::variant<
    find_place,
    start_run,
    attach_run,
    stop_stream,
    cancel_run,
    engine_lost,
    release_place,
    deliver_chunk,
    discard_buffered,
    finish_generation,
    refuse_generation>;
using generation_actions = std::vector<generation_action>;

/// Generates ids of runs and numbers of streams. The run ids are unique over
/// all daemons if the prefix is.
class run_id_generator
{
public:
    explicit run_id_generator(std::string prefix);

    [[nodiscard]] auto next_run() -> run_id;
    [[nodiscard]] auto next_stream() -> stream_number;

private:
    std::string prefix_;
    std::uint64_t runs_ = 0;
    std::uint64_t streams_ = 0;
};

/// The state of one generation. Ended generations ignore every event.
/// Example: `auto [g, actions] = generation::begin(request, settings, names,
/// now)`, then feed `placed`, `chunk` and `ended`, and `tick` every 100 ms.
class generation
{
public:
    struct begun;

    /// Starts a generation, or resumes one at the caller's position.
    static auto begin(
        generation_request request,
        generation_settings const& settings,
        run_id_generator& run_ids,
        time_point now) -> begun;

    auto placed(
        run_id const& run,
        run_place const& place,
        run_id_generator& run_ids,
        time_point now) -> generation_actions;
    auto not_placed(run_id const& run, refusal const& reason, time_point now)
        -> generation_actions;
    auto chunk(
        stream_number stream,
        run_chunk const& chunk,
        run_id_generator& run_ids,
        time_point now) -> generation_actions;
    auto ended(
        stream_number stream,
        run_outcome const& outcome,
        run_id_generator& run_ids,
        time_point now) -> generation_actions;
    auto tick(run_id_generator& run_ids, time_point now) -> generation_actions;

    /// Ends the generation because the caller's connection is closed. A
    /// streaming caller may resume at another daemon, so its run is left to the
    /// engine, which keeps it for a grace time; a buffered one's is cancelled.
    auto caller_disconnected() -> generation_actions;

    /// Cancels the run and ends the generation with a refusal, also after
    /// tokens were delivered.
    auto give_up(refusal const& reason) -> generation_actions;

    /// Moves the run to another engine, which continues from the tokens
    /// delivered. Does nothing where that is not possible.
    auto migrate(run_id_generator& run_ids, time_point now)
        -> generation_actions;

    [[nodiscard]] auto request() const -> generation_request const&
    {
        return request_;
    }

    [[nodiscard]] auto run() const -> run_id const&
    {
        return run_;
    }

    [[nodiscard]] auto place() const -> std::optional<run_place> const&
    {
        return place_;
    }

    [[nodiscard]] auto next_index() const -> std::uint64_t
    {
        return next_index_;
    }

    [[nodiscard]] auto is_over() const -> bool
    {
        return phase_ == phase::over;
    }

    [[nodiscard]] auto is_streaming() const -> bool
    {
        return phase_ == phase::reading;
    }

    /// Whether the caller has seen output.
    [[nodiscard]] auto has_delivered() const -> bool
    {
        return next_index_ > 0;
    }

private:
    enum class phase
    {
        placing,
        waiting_to_place,
        reading,
        waiting_to_attach,
        over
    };

    generation(generation_request request, generation_settings const& settings);

    [[nodiscard]] auto has_complete_output() const -> bool;
    [[nodiscard]] auto can_resume_elsewhere() const -> bool;
    [[nodiscard]] auto can_restart() const -> bool;
    auto request_place(run_id_generator& run_ids, time_point now)
        -> generation_actions;
    auto attach(run_id_generator& run_ids, time_point now)
        -> generation_actions;
    auto reconnect_or_move(
        bool refused, run_id_generator& run_ids, time_point now)
        -> generation_actions;
    auto handle_engine_loss(
        bool crashed, run_id_generator& run_ids, time_point now)
        -> generation_actions;
    auto handle_refused_start(run_id_generator& run_ids, time_point now)
        -> generation_actions;
    auto restart() -> generation_actions;
    auto accept_token(run_chunk const& chunk) -> generation_actions;
    auto accept_non_token(run_chunk const& chunk) -> generation_actions;
    [[nodiscard]] auto deliver(run_chunk const& chunk) const -> deliver_chunk;
    auto finish() -> generation_actions;
    auto refuse(refusal_cause cause, std::string message) -> generation_actions;
    auto end_with(refusal reason) -> generation_actions;
    [[nodiscard]] auto make_release(bool completed) const -> release_place;
    [[nodiscard]] auto overdue(time_point now) const -> bool;

    generation_request request_;
    generation_settings settings_;
    phase phase_ = phase::placing;
    run_id run_;
    std::optional<run_place> place_;
    std::optional<stream_number> stream_;
    /// Index of the first token not yet delivered to the caller.
    std::uint64_t next_index_ = 0;
    /// Index of the first token not yet read from the engine.
    std::uint64_t read_index_ = 0;
    /// Output text from `text_start_` to `read_index_`.
    std::string text_;
    output_digest digest_;
    std::uint64_t text_start_ = 0;
    std::uint64_t attachment_number_ = 1;
    /// Whether the current stream attached to the run rather than started it.
    bool attaching_ = false;
    time_point attached_at_{};
    /// Whether any engine may have run a part of the request.
    bool may_have_run_ = false;
    bool usage_delivered_ = false;
    std::uint32_t failed_attaches_ = 0;
    std::uint32_t lost_engines_ = 0;
    std::set<endpoint_id> excluded_;
    std::optional<time_point> without_engine_since_;
    time_point retry_at_{};
    refusal last_refusal_;
};

/// A new generation and its first actions.
struct generation::begun
{
    generation value;
    generation_actions actions;
};

} // namespace sapphirereel

#endif
