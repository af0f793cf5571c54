/// \file
/// Defines what is said to a model engine and what it says back.
#ifndef SAPPHIREREEL_ENDPOINT_ENGINE_PROTOCOL_HPP
#define SAPPHIREREEL_ENDPOINT_ENGINE_PROTOCOL_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/log_record.hpp"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace sapphirereel::endpoints {

/// Output that a generation already has, for an engine to go on from.
struct output_prefix
{
    std::string text;
    std::uint64_t tokens = 0;
    auto operator<=>(output_prefix const&) const = default;
};

/// A generation to run on an engine.
struct run_request
{
    run_id run;
    /// `/v1/completions` or `/v1/chat/completions`.
    std::string path;
    /// The caller's JSON object. The client sets `stream` in it and adds the
    /// `sapphirereel` object.
    std::string body;
    /// Higher values run first.
    std::int32_t priority = 0;
    /// Of two streams of a run the one with the higher number stands.
    std::uint64_t attachment = 1;
    std::optional<output_prefix> resume;
    auto operator<=>(run_request const&) const = default;
};

/// A run to attach to, and from which token.
struct attach_request
{
    run_id run;
    std::uint64_t from = 0;
    std::uint64_t attachment = 1;
    auto operator<=>(attach_request const&) const = default;
};

/// Tokens that a generation was accounted for.
struct token_usage
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
    auto operator<=>(token_usage const&) const = default;
};

/// One chunk of a generation. The usage chunk carries no token: its delta is
/// empty and its index is the number of tokens of the whole generation.
struct token_event
{
    std::uint64_t index = 0;
    /// The chunk as the engine wrote it.
    std::string chunk_json;
    std::string delta;
    /// `stop` or `length` on the last token, else empty.
    std::string finish_reason;
    std::optional<token_usage> usage;
    auto operator<=>(token_event const&) const = default;
};

/// Takes each event in order. Answering false ends the stream as cancelled.
using token_sink = std::function<bool(token_event const&)>;

/// How a stream ended.
enum class stream_end
{
    /// The whole generation was delivered.
    finished,
    /// The run was surely not started: no connection, or 429 or 503.
    refused_not_run,
    /// The engine refused the request itself; any other engine would too.
    rejected,
    /// The stream broke or went silent; the run may be going on.
    lost,
    /// A later attachment took the run over.
    superseded,
    /// The engine knows no such run.
    unknown_run,
    /// The stream was stopped from this side or its run was cancelled.
    cancelled
};

/// A stream's end. `next_index` is the first token not delivered.
struct stream_outcome
{
    stream_end end = stream_end::lost;
    std::uint64_t next_index = 0;
    /// HTTP status and body of a refusal; 0 and text of a broken exchange.
    int status = 0;
    std::string detail;
    auto operator<=>(stream_outcome const&) const = default;
};

/// An engine's report of its load, which lags by `age`.
struct load_report
{
    std::uint64_t memory_tokens_used = 0;
    std::uint64_t memory_tokens_total = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t preemptions = 0;
    std::vector<model_name> models;
    duration age{0};
    auto operator<=>(load_report const&) const = default;
};

/// What happened to a cached prefix.
enum class cache_event_kind
{
    stored,
    evicted
};

/// One event of an engine's prefix cache. A skipped number is a gap.
struct cache_event
{
    std::uint64_t number = 0;
    cache_event_kind kind = cache_event_kind::stored;
    digest prefix;
    auto operator<=>(cache_event const&) const = default;
};

/// Cache events from a number on, and the number to ask for next.
struct cache_event_page
{
    std::uint64_t next = 0;
    std::vector<cache_event> events;
    auto operator<=>(cache_event_page const&) const = default;
};

/// What an engine is ordered to do.
enum class order_kind
{
    load_model,
    unload_model,
    load_adapter,
    unload_adapter,
    set_role
};

/// An order to an engine; repeating one is safe.
struct engine_order
{
    log_offset fence;
    order_kind kind = order_kind::load_model;
    /// The model, adapter or role.
    std::string subject;
    std::string version;
    auto operator<=>(engine_order const&) const = default;
};

/// How an order ended.
enum class order_status
{
    done,
    /// The engine has seen the higher fencing number of the outcome.
    fenced,
    /// Surely not carried out.
    refused,
    /// It may have been carried out: read the load report back.
    unanswered
};

struct order_outcome
{
    order_status status = order_status::unanswered;
    log_offset fence;
    std::string detail;
    auto operator<=>(order_outcome const&) const = default;
};

/// A failed question to an engine.
struct engine_error
{
    std::string detail;
    auto operator<=>(engine_error const&) const = default;
};

/// One stream of a run. Used by one thread, but for stop(), which any thread
/// may call at any time.
template <class Stream>
concept engine_stream_protocol = requires(
    Stream& stream,
    run_request const& request,
    attach_request const& attachment,
    token_sink const& sink)
{
    {
        stream.run(request, sink)
        } -> std::same_as<stream_outcome>;
    {
        stream.attach(attachment, sink)
        } -> std::same_as<stream_outcome>;
    {
        stream.stop()
        } -> std::same_as<void>;
};

/// Short calls of an engine. May be made from several threads.
template <class Engine>
concept engine_protocol = requires(
    Engine const& engine,
    run_id const& run,
    std::uint64_t from,
    engine_order const& order)
{
    {
        engine.cancel(run)
        } -> std::same_as<bool>;
    {
        engine.load()
        } -> std::same_as<tl::expected<load_report, engine_error>>;
    {
        engine.cache_events(from)
        } -> std::same_as<tl::expected<cache_event_page, engine_error>>;
    {
        engine.order(order)
        } -> std::same_as<order_outcome>;
};

} // namespace sapphirereel::endpoints

#endif
