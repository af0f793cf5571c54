/// \file
/// Defines the concept of a deployment's message format, which parses callers'
/// requests and replicas' responses and writes calls to replicas.
#ifndef SAPPHIREREEL_RELAY_MESSAGE_FORMAT_HPP
#define SAPPHIREREEL_RELAY_MESSAGE_FORMAT_HPP

#include "sapphirereel/http/message.hpp"
#include "sapphirereel/http/request_parser.hpp"
#include "sapphirereel/relay/replica_table.hpp"
#include "sapphirereel/relay/request_admission.hpp"
#include "sapphirereel/relay/stated_limits.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace sapphirereel::relay {

/// Where a run resumes from a copy of its KV cache.
struct continuation
{
    /// Location of the copy: an address and a handle.
    std::string memory;
    /// Number of the last event that the caller has received.
    std::uint64_t last_event = 0;
    auto operator<=>(continuation const&) const = default;
};

/// Parameters of a call to a replica besides the caller's request.
struct replica_call
{
    endpoint_id replica;
    /// Time until the deadline.
    duration remaining{0};
    std::optional<customer_id> customer;
    std::optional<continuation> resumed;
    /// Address of the replica to which the run's KV cache is copied as it
    /// grows.
    std::optional<std::string> backup;
    /// Number of the event after which the stream begins, if it is not resumed
    /// from a copy.
    std::optional<std::uint64_t> last_event = std::nullopt;
    auto operator<=>(replica_call const&) const = default;
};

/// Contents of the head of a replica's response.
struct replica_response
{
    /// Whether it carries the replica's signature.
    bool is_signed = false;
    /// Whether the replica states that it has not executed the request.
    bool not_run = false;
    /// Id of the request that is answered; empty if the response names none.
    std::string request_id;
    std::optional<reported_load> load;
    /// Whether the replica says that it leaves.
    bool leaves = false;
    /// Time for which the replica wants no more requests from this daemon.
    std::optional<duration> backoff;
    /// What the replica states about the requests that it takes.
    stated_limits limits;
    /// The replica that answers; empty if the response names none.
    endpoint_id replica;
    /// Time until the replica is warm, 0 if it is; none if it does not say.
    std::optional<duration> cold;
    /// Whether it states that time in a form that can't be read.
    bool has_invalid_cold = false;
    auto operator<=>(replica_response const&) const = default;
};

/// Asks a replica to copy a run's KV cache to another replica.
struct migration_request
{
    std::string request_id;
    /// Address of the replica that receives the copy.
    std::string to;
    /// Whether the run is stopped, so that it can resume elsewhere.
    bool stop = false;
    auto operator<=>(migration_request const&) const = default;
};

/// Outcome of a migration request.
enum class migration_outcome
{
    /// The KV cache has been copied.
    copied,
    /// The replica has no such run.
    unknown_run,
    /// A copy of this run is in progress.
    in_progress,
    /// The destination has not enough memory or can't be reached.
    no_room,
    /// Any other failure.
    failed
};

/// Response to a migration request.
struct migration_response
{
    migration_outcome outcome = migration_outcome::failed;
    /// Identifies the copy; empty if there is none.
    std::string handle;
    /// Number of events that the run has produced so far.
    std::uint64_t events_made = 0;
    auto operator<=>(migration_response const&) const = default;
};

/// What a replica reports about its requests, as of some hundred milliseconds
/// before.
struct run_report
{
    /// Ids of the requests that run.
    std::set<std::string> running;
    /// Number of requests that wait; a preempted run is among them.
    std::uint64_t waiting = 0;
    auto operator<=>(run_report const&) const = default;
};

/// A deployment's message format.
template <class Format>
concept message_format = requires(
    http::request const& request,
    http::response_head const& head,
    http::response const& answer,
    caller_request const& asked,
    replica_call const& call,
    migration_request const& migration,
    duration remaining,
    http::field_list const& added)
{
    {
        Format::read_request(request)
        } -> std::same_as<tl::expected<caller_request, http::request_error>>;
    {
        Format::write_call(asked, call)
        } -> std::same_as<std::string>;
    {
        Format::write_forwarded_request(asked, remaining, added)
        } -> std::same_as<std::string>;
    {
        Format::read_response(head)
        } -> std::same_as<replica_response>;
    {
        Format::response_fields(head)
        } -> std::same_as<http::field_list>;
    {
        Format::write_migration_request(migration)
        } -> std::same_as<std::string>;
    {
        Format::read_migration_response(answer)
        } -> std::same_as<migration_response>;
    {
        Format::write_run_report_request()
        } -> std::same_as<std::string>;
    {
        Format::read_run_report(answer)
        } -> std::same_as<std::optional<run_report>>;
};

} // namespace sapphirereel::relay

#endif
