/// \file
/// Defines the call that asks a replica which requests it runs.
#ifndef SAPPHIREREEL_RELAY_RUN_REPORT_CALL_HPP
#define SAPPHIREREEL_RELAY_RUN_REPORT_CALL_HPP

#include "sapphirereel/relay/buffered_call.hpp"
#include "sapphirereel/relay/exchange.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <tl/expected.hpp>

namespace sapphirereel::relay {

/// A replica's report, none if it answered something else; or why there is no
/// answer.
using run_report_result = tl::expected<std::optional<run_report>, call_failure>;

/// Asks a replica which requests it runs, and passes the result to `done`, at
/// the latest after `limit`. The connection is a new one, so that the result
/// also shows whether the replica is within reach.
template <message_format Format>
auto send_run_report_request(
    relay_state& state,
    replica const& asked,
    duration limit,
    std::function<void(run_report_result const&)> done)
    -> std::shared_ptr<buffered_call>
{
    auto options = call_options{};
    options.has_own_connection = true;
    return buffered_call::start(
        state.loop, state.pool, *address_of(asked),
        Format::write_run_report_request(), limit,
        [done = std::move(done)](buffered_response const& answer) {
            done(
                answer ? run_report_result{Format::read_run_report(*answer)}
                       : tl::unexpected(answer.error()));
        },
        options);
}

} // namespace sapphirereel::relay

#endif
