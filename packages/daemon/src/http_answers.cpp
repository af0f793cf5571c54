#include "sapphirereel/daemon/http_answers.hpp"

#include "sapphirereel/codec/openai_answer_body.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace sapphirereel::daemon {

namespace {

constexpr auto json_type = "application/json";

/// Shortest time to come back that a refusal names.
constexpr auto shortest_wait = duration{std::chrono::seconds{1}};

/// Header fields that belong to one connection and are not passed on.
constexpr auto connection_fields = std::array{
    "connection", "keep-alive", "transfer-encoding", "content-length",
    "content-type"};

auto lower(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

auto belongs_to_connection(std::string const& name) -> bool
{
    auto const wanted = lower(name);
    return std::any_of(
        connection_fields.begin(), connection_fields.end(),
        [&](char const* one) { return wanted == one; });
}

auto content_type_of(call_answer const& answer) -> std::string
{
    for (auto const& field : answer.headers)
    {
        if (lower(field.name) == "content-type")
        {
            return field.value;
        }
    }
    return "application/octet-stream";
}

} // namespace

auto write_refusal(refusal const& reason, httplib::Response& response) -> void
{
    response.status = codec::refusal_status(reason.cause);
    response.set_header(
        disposition_header,
        std::string{codec::disposition_text(reason.outcome)});
    auto const wait = std::max(reason.retry_after, shortest_wait);
    response.set_header("Retry-After", codec::retry_after_text(wait));
    response.set_content(codec::refusal_body(reason), json_type);
}

auto write_answer(call_answer const& answer, httplib::Response& response)
    -> void
{
    response.status = answer.status;
    for (auto const& field : answer.headers)
    {
        if (!belongs_to_connection(field.name))
        {
            response.set_header(field.name, field.value);
        }
    }
    response.set_content(answer.body, content_type_of(answer));
}

auto write_findings(findings const& problems, httplib::Response& response)
    -> void
{
    response.status = codec::refusal_status(refusal_cause::malformed);
    response.set_header(
        disposition_header,
        std::string{codec::disposition_text(disposition::not_run)});
    response.set_content(codec::findings_body(problems), json_type);
}

auto write_json(std::string const& text, httplib::Response& response) -> void
{
    response.set_content(text, json_type);
}

} // namespace sapphirereel::daemon
