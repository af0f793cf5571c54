/// \file
/// Defines one HTTP exchange that another thread can break off, and that
/// tells a request that never left from one that may have arrived.
#ifndef SAPPHIREREEL_ENDPOINT_EXCHANGE_HPP
#define SAPPHIREREEL_ENDPOINT_EXCHANGE_HPP

#include "sapphirereel/calls/blocking_call.hpp"
#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/request.hpp"
#include "sapphirereel/endpoint/timeouts.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace sapphirereel::endpoints::internal {

/// How far an exchange came.
enum class exchange_end
{
    /// The whole answer arrived.
    answered,
    /// No byte of the request left.
    not_sent,
    /// The request may have arrived, the answer did not, or not whole.
    broken,
    /// The receiver or stop() ended it.
    stopped
};

/// An exchange's end. A status of 0 means that no answer began; one that began
/// is to be believed only if the exchange ended as answered.
struct exchange_outcome
{
    exchange_end end = exchange_end::broken;
    call_answer answer;
    std::string detail;
    /// Whether the address refused the connection: no process listens there.
    bool refused = false;
};

/// Takes a piece of an answer's body with the answer's status. Answering
/// false ends the exchange.
using body_receiver = std::function<bool(int status, std::string_view piece)>;

/// Largest answer that is gathered, in bytes.
inline constexpr auto max_answer_bytes = std::size_t{64} << 20;

/// Exchanges with one address; each opens a connection of its own.
class exchange
{
public:
    exchange(socket_address address, timeouts limits);

    /// Sends a request and gathers its answer. The path goes out as it stands,
    /// so it is percent-encoded already. Fields that belong to one connection
    /// are left out both ways.
    auto perform(call_content const& content) -> exchange_outcome;

    /// Sends a request and hands the answer's body on as it arrives.
    auto perform(call_content const& content, body_receiver const& receiver)
        -> exchange_outcome;

    /// Ends the present and every later exchange. Any thread may call it. One
    /// that is about to connect ends after the idle limit at the latest.
    auto stop() -> void;
    [[nodiscard]] auto stopped() -> bool;

private:
    calls::blocking_call call_;
};

} // namespace sapphirereel::endpoints::internal

#endif
