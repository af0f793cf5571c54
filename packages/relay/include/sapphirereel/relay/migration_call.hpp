/// \file
/// Defines the call of a migration request at the replica that runs a request.
#ifndef SAPPHIREREEL_RELAY_MIGRATION_CALL_HPP
#define SAPPHIREREEL_RELAY_MIGRATION_CALL_HPP

#include "sapphirereel/relay/buffered_call.hpp"
#include "sapphirereel/relay/exchange.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace sapphirereel::relay {

/// What came of a migration request.
struct migration_result
{
    migration_response response;
    /// Why there is no response; none if there is one.
    std::optional<call_failure> failure;
    auto operator<=>(migration_result const&) const = default;
};

/// Sends a migration request to the replica that runs the request and passes
/// the result to `done`, at the latest after `limit`.
template <message_format Format>
auto send_migration_request(
    relay_state& state,
    replica const& source,
    migration_request const& request,
    duration limit,
    std::function<void(migration_result const&)> done)
    -> std::shared_ptr<buffered_call>
{
    auto options = call_options{};
    // The response bears no id, so that on a kept connection one to another
    // request could be taken for it.
    options.has_own_connection = true;
    auto const sent_at = telemetry::monotonic_now();
    return buffered_call::start(
        state.loop, state.pool, *address_of(source),
        Format::write_migration_request(request), limit,
        [&state, source, request, sent_at,
         done = std::move(done)](buffered_response const& answer) {
            auto result = migration_result{};
            if (answer)
            {
                result.response = Format::read_migration_response(*answer);
                record_replica_state(
                    state, replica{source}, Format::read_response(answer->head),
                    sent_at, telemetry::monotonic_now());
            }
            else
            {
                result.failure = answer.error();
            }
            if (result.response.outcome != migration_outcome::copied)
            {
                state.log.request(
                    request.request_id, "migration request failed",
                    {{"replica", source.id},
                     {"to", request.to},
                     {"outcome", static_cast<int>(result.response.outcome)},
                     {"stop", request.stop},
                     {"why", answer ? std::string{} : answer.error().detail}});
            }
            done(result);
        },
        options);
}

} // namespace sapphirereel::relay

#endif
