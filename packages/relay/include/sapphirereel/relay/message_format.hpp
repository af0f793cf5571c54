/// \file
/// Defines what the relay needs from the message format of a deployment: the
/// reading and writing of typed values, which a deployment's own folder gives.
#ifndef SAPPHIREREEL_RELAY_MESSAGE_FORMAT_HPP
#define SAPPHIREREEL_RELAY_MESSAGE_FORMAT_HPP

#include "sapphirereel/http/message.hpp"
#include "sapphirereel/http/request_parser.hpp"
#include "sapphirereel/relay/replica_table.hpp"
#include "sapphirereel/relay/request_admission.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace sapphirereel::relay {

/// How a run goes on from memory that another replica kept of it.
struct continuation
{
    /// Where that memory lies: an address and a handle.
    std::string memory;
    /// Number of the last event that the caller has.
    std::uint64_t last_event = 0;
    auto operator<=>(continuation const&) const = default;
};

/// What is sent to one replica besides the caller's request.
struct replica_call
{
    endpoint_id replica;
    /// Time that the replica may take.
    duration remaining{0};
    std::optional<customer_id> customer;
    std::optional<continuation> resumed;
    /// Address of the replica to which the run's memory is copied as it grows.
    std::optional<std::string> backup;
    auto operator<=>(replica_call const&) const = default;
};

/// What the head of a replica's answer says.
struct replica_response
{
    /// Whether it carries the replica's signature.
    bool is_signed = false;
    /// Whether the replica says that it has not run the request.
    bool not_run = false;
    /// Id of the request that is answered; empty if it is not named.
    std::string request_id;
    std::optional<reported_load> load;
    auto operator<=>(replica_response const&) const = default;
};

/// Asks a replica to copy a run's memory to another one.
struct migration_request
{
    std::string request_id;
    /// Address of the replica that takes the memory.
    std::string to;
    /// Whether the run stops, so that it can go on elsewhere.
    bool stop = false;
    auto operator<=>(migration_request const&) const = default;
};

/// How an order to copy ended.
enum class migration_outcome
{
    /// The memory has been copied.
    copied,
    /// The replica does not run such a request.
    unknown_run,
    /// A copy of this run is under way.
    in_progress,
    /// The target has no room or can't be reached.
    no_room,
    /// Anything else.
    failed
};

/// The answer to an order to copy.
struct migration_response
{
    migration_outcome outcome = migration_outcome::failed;
    /// Names the copy; empty if there is none.
    std::string handle;
    /// Events made so far.
    std::uint64_t events_made = 0;
    auto operator<=>(migration_response const&) const = default;
};

/// The message format of a deployment.
template <class Format>
concept message_format = requires(
    http::request const& request,
    http::response_head const& head,
    http::response const& answer,
    caller_request const& asked,
    replica_call const& call,
    migration_request const& order)
{
    {
        Format::read_request(request)
        } -> std::same_as<tl::expected<caller_request, http::request_error>>;
    {
        Format::write_call(asked, call)
        } -> std::same_as<std::string>;
    {
        Format::read_response(head)
        } -> std::same_as<replica_response>;
    {
        Format::response_fields(head)
        } -> std::same_as<http::field_list>;
    {
        Format::write_migration_request(order)
        } -> std::same_as<std::string>;
    {
        Format::read_migration_response(answer)
        } -> std::same_as<migration_response>;
};

} // namespace sapphirereel::relay

#endif
