#include "sapphirereel/daemon/request_intake.hpp"

#include "sapphirereel/codec/content_digest.hpp"
#include "sapphirereel/codec/resume_token.hpp"
#include "sapphirereel/codec/url_path.hpp"
#include "sapphirereel/core/output_digest.hpp"
#include "sapphirereel/core/request_name_timestamp.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>
#include <utility>

namespace sapphirereel::daemon {

namespace {

constexpr auto name_header = "Idempotency-Key";
constexpr auto customer_header = "Sapphirereel-Customer";
constexpr auto priority_header = "Sapphirereel-Priority";
constexpr auto deadline_header = "Sapphirereel-Deadline-Ms";
constexpr auto position_header = "Last-Event-ID";
constexpr auto default_customer = "anonymous";

/// Field of a resuming request's body with the text received so far.
constexpr auto received_field = "sapphirereel_received";

/// Longest name of a request or customer, in bytes.
constexpr auto max_name_bytes = std::size_t{256};

/// Header fields that belong to one connection and are not passed on.
constexpr auto connection_fields = std::array{"host",
                                              "connection",
                                              "content-length",
                                              "transfer-encoding",
                                              "keep-alive",
                                              "upgrade",
                                              "te",
                                              "remote_addr",
                                              "remote_port",
                                              "local_addr",
                                              "local_port"};

auto header_problem(
    std::string const& header, std::string message, std::string mend) -> finding
{
    return {{"request", 0, header}, std::move(message), std::move(mend)};
}

auto read_name(
    httplib::Request const& request, char const* header, findings& problems)
    -> std::string
{
    auto text = request.get_header_value(header);
    if (text.size() > max_name_bytes)
    {
        problems.push_back(header_problem(
            header, "the value is longer than 256 bytes",
            "send a shorter one"));
    }
    return text;
}

template <class Number>
auto read_number(
    httplib::Request const& request, char const* header, findings& problems)
    -> std::optional<Number>
{
    if (!request.has_header(header))
    {
        return std::nullopt;
    }
    auto const text = request.get_header_value(header);
    auto number = Number{};
    auto const end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, number);
    if (read.ec != std::errc{} || read.ptr != end)
    {
        problems.push_back(header_problem(
            header, "\"" + text + "\" is not a whole number",
            "send a decimal number"));
        return std::nullopt;
    }
    return number;
}

auto customer_of(std::string const& header, std::string const& user)
    -> customer_id
{
    if (!header.empty())
    {
        return customer_id{header};
    }
    return customer_id{user.empty() ? default_customer : user};
}

auto deadline_of(
    httplib::Request const& request,
    intake_context const& context,
    findings& problems) -> time_point
{
    auto wait = context.default_deadline;
    auto const asked =
        read_number<std::uint32_t>(request, deadline_header, problems);
    if (asked)
    {
        wait = std::min<duration>(wait, std::chrono::milliseconds{*asked});
    }
    return context.now + wait;
}

/// The text that a resuming caller sent along, if it is the one that its
/// event id stands for.
auto read_received(
    nlohmann::json const& body, std::uint64_t expected, findings& problems)
    -> std::optional<std::string>
{
    auto const found = body.find(received_field);
    if (found == body.end())
    {
        return std::nullopt;
    }
    auto digest = output_digest{};
    if (found->is_string())
    {
        digest.add(found->get_ref<std::string const&>());
    }
    if (expected == unknown_output || digest.value() != expected)
    {
        problems.push_back(
            {{"request", 0, std::string{"/"} + received_field},
             "not the text up to the event id",
             "send all output text up to that event, or leave the field out"});
        return std::nullopt;
    }
    return found->get<std::string>();
}

/// The caller's position if it resumes a stream.
auto read_position(
    httplib::Request const& request,
    nlohmann::json const& body,
    digest const& content,
    intake_context const& context,
    findings& problems) -> std::optional<resume_point>
{
    auto const text = request.get_header_value(position_header);
    if (text.empty())
    {
        return std::nullopt;
    }
    auto const token = codec::decode_resume_token(text, context.key);
    if (!token)
    {
        problems.push_back(header_problem(
            position_header, std::string{codec::describe(token.error())},
            "send the id of the last event as it came"));
        return std::nullopt;
    }
    if (token->request != content)
    {
        problems.push_back(header_problem(
            position_header, "the id belongs to another request",
            "send the body that the id's stream began with"));
        return std::nullopt;
    }
    // A caller may come twice with one id; the time of arrival tells which
    // connection is the later one.
    auto const arrived = static_cast<std::uint64_t>(context.civil.milliseconds);
    auto const number = std::max(token->attachment_number + 1, arrived);
    return resume_point{
        token->run, token->place, token->next_index, number,
        read_received(body, token->output, problems)};
}

/// The body for an engine: every engine is asked to stream and to count.
auto engine_body(nlohmann::json body) -> std::string
{
    body.erase(received_field);
    body["stream"] = true;
    body["stream_options"]["include_usage"] = true;
    return body.dump();
}

auto is_passed_on(std::string name) -> bool
{
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return std::find(
               connection_fields.begin(), connection_fields.end(), name) ==
           connection_fields.end();
}

auto passed_on_headers(
    httplib::Request const& request, request_name const& name)
    -> std::vector<header_field>
{
    auto fields = std::vector<header_field>{};
    for (auto const& [field, value] : request.headers)
    {
        if (is_passed_on(field))
        {
            fields.push_back({field, value});
        }
    }
    if (!request.has_header(name_header))
    {
        fields.push_back({name_header, name.str()});
    }
    return fields;
}

} // namespace

auto read_generation(
    codec::openai_kind kind,
    httplib::Request const& request,
    intake_context const& context) -> result<generation_intake>
{
    auto parsed = codec::parse_openai_request(kind, request.body);
    auto problems = parsed ? findings{} : parsed.error();
    auto const customer = read_name(request, customer_header, problems);
    auto const name = read_name(request, name_header, problems);
    auto const priority =
        read_number<std::int32_t>(request, priority_header, problems);
    auto made = generation_request{};
    made.deadline = deadline_of(request, context, problems);
    if (parsed)
    {
        made.path = codec::openai_path(kind);
        made.body = engine_body(parsed->body);
        made.content = codec::content_digest(made.path + "\n" + made.body);
        made.resume = read_position(
            request, parsed->body, made.content, context, problems);
    }
    if (!problems.empty())
    {
        return tl::unexpected(std::move(problems));
    }
    made.facts.model = parsed->model;
    made.facts.customer = customer_of(customer, parsed->user);
    made.priority = priority.value_or(0);
    made.prompt_tokens = static_cast<std::uint32_t>(parsed->prompt_tokens);
    made.buffered = !parsed->stream;
    made.prompt_parts = parsed->prompt_parts;
    auto const stands =
        name.empty() ? context.made_up_name : request_name{name};
    return generation_intake{std::move(*parsed), std::move(made), stands};
}

auto read_call(httplib::Request const& request, intake_context const& context)
    -> result<call_intake>
{
    auto problems = findings{};
    auto const target = codec::split_service_path(request.target);
    if (!target)
    {
        problems.push_back(
            {{"request", 0, "path"},
             "the path names no service",
             "use /services/{service}/{path}"});
    }
    auto const customer = read_name(request, customer_header, problems);
    auto const given = read_name(request, name_header, problems);
    auto arrived = call_arrived{};
    arrived.deadline = deadline_of(request, context, problems);
    if (!problems.empty())
    {
        return tl::unexpected(std::move(problems));
    }
    auto const name =
        given.empty() ? context.made_up_name : request_name{given};
    arrived.facts.service = target->service;
    arrived.facts.customer = customer_of(customer, {});
    arrived.content = {
        request.method, target->path, passed_on_headers(request, name),
        request.body};
    arrived.name =
        codec::content_digest(arrived.facts.customer.str() + "\n" + name.str());
    arrived.body = codec::content_digest(
        request.method + "\n" + request.target + "\n" + request.body);
    arrived.caller_named = !given.empty();
    arrived.birth = request_name_timestamp(name);
    arrived.arrived = context.civil;
    return call_intake{std::move(arrived), name};
}

} // namespace sapphirereel::daemon
