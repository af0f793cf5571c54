/// \file
/// Defines a caller's request as the core handles it, and the refusals and
/// answers by which its outcome is reported.
#ifndef SAPPHIREREEL_CORE_REQUEST_HPP
#define SAPPHIREREEL_CORE_REQUEST_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphirereel {

/// The properties of a request that selectors match.
struct request_facts
{
    service_name service;
    model_name model;
    customer_id customer;
    auto operator<=>(request_facts const&) const = default;
};

/// Outcome reported for a request that has no ordinary answer.
enum class disposition
{
    /// The request was not run and will not be. Sending it again is safe; a
    /// non-idempotent one needs a new name.
    not_run,
    /// Whether the request ran is not known here. Ask again by its name.
    outcome_unknown,
    /// The request ended with this answer; asking again changes nothing.
    final_answer
};

/// Why a request is refused or failed.
enum class refusal_cause
{
    malformed,
    unknown_service,
    no_endpoint,
    overloaded,
    share_exceeded,
    deadline,
    name_reused,
    name_expired,
    endpoint_lost,
    poison,
    log_unavailable,
    superseded,
    draining
};

/// A refusal, with a hint when to retry.
struct refusal
{
    refusal_cause cause = refusal_cause::overloaded;
    disposition outcome = disposition::not_run;
    std::string message;
    duration retry_after{0};
    auto operator<=>(refusal const&) const = default;
};

/// An HTTP header field.
struct header_field
{
    std::string name;
    std::string value;
    auto operator<=>(header_field const&) const = default;
};

/// A call of a plain service, or its content for an engine.
struct call_content
{
    std::string method;
    std::string path;
    std::vector<header_field> headers;
    std::string body;
    auto operator<=>(call_content const&) const = default;
};

/// A complete answer of an endpoint.
struct call_answer
{
    int status = 0;
    std::vector<header_field> headers;
    std::string body;
    auto operator<=>(call_answer const&) const = default;
};

} // namespace sapphirereel

#endif
