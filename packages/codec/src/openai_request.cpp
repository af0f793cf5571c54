#include "sapphirereel/codec/openai_request.hpp"

#include "openai_prompt.hpp"
#include "sapphirereel/codec/bounded_json.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphirereel::codec {
namespace {

using nlohmann::json;

/// Reads the fields of one body and collects what is wrong with them.
class request_reader
{
public:
    request_reader(openai_kind kind, json body)
    {
        request_.kind = kind;
        request_.body = std::move(body);
    }

    auto read() -> result<openai_request>
    {
        if (!request_.body.is_object())
        {
            report("", "the body is not a JSON object", "send an object");
            return tl::unexpected{errors_};
        }
        read_model();
        read_user();
        request_.stream = read_flag(request_.body, "", "stream");
        read_stream_options();
        read_max_tokens();
        read_choices();
        read_prompt();
        if (!errors_.empty())
        {
            return tl::unexpected{errors_};
        }
        return request_;
    }

private:
    auto report(std::string pointer, std::string message, std::string mend)
        -> void
    {
        errors_.push_back(internal::body_finding(
            std::move(pointer), std::move(message), std::move(mend)));
    }

    auto read_model() -> void
    {
        auto const* const model = internal::find_field(request_.body, "model");
        if (model == nullptr || !model->is_string() ||
            model->get_ref<std::string const&>().empty())
        {
            report(
                "/model", "the model is missing or not a string",
                "name a model of GET /v1/models");
            return;
        }
        request_.model = model_name{model->get<std::string>()};
    }

    auto read_user() -> void
    {
        auto const* const user = internal::find_field(request_.body, "user");
        if (user == nullptr)
        {
            return;
        }
        if (!user->is_string())
        {
            report("/user", "the user is not a string", "write a string");
            return;
        }
        request_.user = user->get<std::string>();
    }

    auto read_flag(
        json const& object, std::string const& parent, char const* name) -> bool
    {
        auto const* const flag = internal::find_field(object, name);
        if (flag == nullptr)
        {
            return false;
        }
        if (!flag->is_boolean())
        {
            report(
                parent + "/" + name, std::string{name} + " is not a boolean",
                "write true or false");
            return false;
        }
        return flag->get<bool>();
    }

    auto read_stream_options() -> void
    {
        auto const* const options =
            internal::find_field(request_.body, "stream_options");
        if (options == nullptr)
        {
            return;
        }
        if (!options->is_object())
        {
            report(
                "/stream_options", "stream_options is not an object",
                "write an object");
            return;
        }
        request_.include_usage =
            read_flag(*options, "/stream_options", "include_usage");
    }

    auto read_max_tokens() -> void
    {
        // The newer name of the field goes first.
        for (auto const* const name : {"max_completion_tokens", "max_tokens"})
        {
            auto const* const limit = internal::find_field(request_.body, name);
            if (limit == nullptr)
            {
                continue;
            }
            if (!limit->is_number_unsigned() || *limit == 0U)
            {
                report(
                    std::string{"/"} + name,
                    std::string{name} + " is not a positive whole number",
                    "write a whole number from 1");
                continue;
            }
            request_.max_tokens =
                request_.max_tokens.value_or(limit->get<std::uint64_t>());
        }
    }

    auto read_choices() -> void
    {
        for (auto const* const name : {"n", "best_of"})
        {
            auto const* const count = internal::find_field(request_.body, name);
            if (count != nullptr && *count != 1)
            {
                report(
                    std::string{"/"} + name, "only one choice is generated",
                    std::string{"leave out "} + name + " or write 1");
            }
        }
    }

    auto read_prompt() -> void
    {
        auto prompt = internal::read_prompt(request_.kind, request_.body);
        request_.prompt_tokens = prompt.tokens;
        request_.prompt_parts = std::move(prompt.parts);
        std::move(
            prompt.errors.begin(), prompt.errors.end(),
            std::back_inserter(errors_));
    }

    openai_request request_;
    findings errors_;
};

auto body_error(std::string message, std::string mend)
    -> tl::unexpected<findings>
{
    return tl::unexpected{findings{
        internal::body_finding("", std::move(message), std::move(mend))}};
}

auto to_json(engine_extension const& extension) -> json
{
    auto out = json{
        {"run", extension.run.str()},
        {"priority", extension.priority},
        {"attachment", extension.attachment_number}};
    if (extension.resume)
    {
        out["resume"] = {
            {"text", extension.resume->text},
            {"tokens", extension.resume->tokens}};
    }
    return out;
}

} // namespace

auto parse_openai_request(openai_kind kind, std::string_view body)
    -> result<openai_request>
{
    if (!json_depth_is_bounded(body))
    {
        return body_error("the body is nested too deeply", "nest it less");
    }
    auto parsed = parse_bounded_json(body);
    if (!parsed)
    {
        return body_error(
            "the body is not JSON in UTF-8", "send one JSON object in UTF-8");
    }
    return request_reader{kind, std::move(*parsed)}.read();
}

auto engine_request_body(
    openai_request const& request, engine_extension const& extension)
    -> std::string
{
    auto body = request.body;
    body["stream"] = true;
    if (!body.contains("stream_options") || !body["stream_options"].is_object())
    {
        body["stream_options"] = json::object();
    }
    body["stream_options"]["include_usage"] = true;
    body["sapphirereel"] = to_json(extension);
    return body.dump();
}

auto openai_path(openai_kind kind) -> std::string_view
{
    return kind == openai_kind::chat ? "/v1/chat/completions"
                                     : "/v1/completions";
}

} // namespace sapphirereel::codec
