/// \file
/// Defines the JSON that the engine stand-in reads and writes.
#ifndef SAPPHIREREEL_STANDINS_ENGINE_MESSAGES_HPP
#define SAPPHIREREEL_STANDINS_ENGINE_MESSAGES_HPP

#include "sapphirereel/standins/engine_batch.hpp"

#include <nlohmann/json.hpp>

namespace sapphirereel::standins {

/// What a completion request asks for beside its run.
struct completion_request
{
    run_submission submission;
    std::uint64_t attachment = 1;
    bool stream = false;
};

/// Reads a request body; throws a JSON exception if it is malformed.
/// `max_length` bounds the natural length of an answer.
auto read_completion_request(
    nlohmann::json const& body, bool chat, std::uint64_t max_length)
    -> completion_request;

/// One token as a server-sent event.
auto token_event_text(engine_run const& run, std::size_t position)
    -> std::string;

/// The usage chunk and the end of a stream.
auto closing_events_text(engine_run const& run) -> std::string;

/// A whole answer.
auto whole_answer(engine_run const& run) -> nlohmann::json;

} // namespace sapphirereel::standins

#endif
