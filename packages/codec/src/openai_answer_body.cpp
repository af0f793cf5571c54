#include "sapphirereel/codec/openai_answer_body.hpp"

#include "sapphirereel/codec/basic_codec.hpp"

#include <nlohmann/json.hpp>

namespace sapphirereel::codec {
namespace {

using nlohmann::json;

/// The API's word for the kind of an error.
auto error_type(int status) -> std::string_view
{
    constexpr auto too_many_requests = 429;
    constexpr auto first_server_error = 500;
    if (status == too_many_requests)
    {
        return "rate_limit_error";
    }
    return status < first_server_error ? "invalid_request_error"
                                       : "server_error";
}

/// Invalid UTF-8, which a message may quote, is replaced.
auto dump(json const& value) -> std::string
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

auto refusal_status(refusal_cause cause) -> int
{
    switch (cause)
    {
    case refusal_cause::malformed:
    case refusal_cause::name_expired:
        return 400;
    case refusal_cause::unknown_service:
        return 404;
    case refusal_cause::name_reused:
    case refusal_cause::superseded:
        return 409;
    case refusal_cause::poison:
        return 422;
    case refusal_cause::overloaded:
    case refusal_cause::share_exceeded:
        return 429;
    case refusal_cause::endpoint_lost:
        return 502;
    case refusal_cause::no_endpoint:
    case refusal_cause::log_unavailable:
    case refusal_cause::draining:
        return 503;
    case refusal_cause::deadline:
        return 504;
    }
    return 500;
}

auto disposition_text(disposition outcome) -> std::string_view
{
    return name_of(outcome);
}

auto retry_after_text(duration wait) -> std::string
{
    return std::to_string(
        std::chrono::ceil<std::chrono::seconds>(wait).count());
}

auto refusal_body(refusal const& refused) -> std::string
{
    return dump(
        {{"error",
          {{"message", refused.message},
           {"type", error_type(refusal_status(refused.cause))},
           {"param", nullptr},
           {"code", name_of(refused.cause)},
           {"disposition", name_of(refused.outcome)}}}});
}

auto findings_body(findings const& errors) -> std::string
{
    auto first = errors.empty() ? finding{} : errors.front();
    return dump(
        {{"error",
          {{"message", first.message + "; " + first.mend},
           {"type", "invalid_request_error"},
           {"param", first.where.field},
           {"code", name_of(refusal_cause::malformed)},
           {"disposition", name_of(disposition::not_run)},
           {"findings", errors}}}});
}

auto models_body(std::vector<model_name> const& models) -> std::string
{
    auto data = json::array();
    for (auto const& model : models)
    {
        data.push_back(
            {{"id", model.str()},
             {"object", "model"},
             {"created", 0},
             {"owned_by", "sapphirereel"}});
    }
    return dump({{"object", "list"}, {"data", data}});
}

} // namespace sapphirereel::codec
