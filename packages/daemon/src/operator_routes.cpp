#include "sapphirereel/daemon/operator_routes.hpp"

#include "sapphirereel/codec/configuration_codec.hpp"
#include "sapphirereel/codec/routing_codec.hpp"
#include "sapphirereel/core/selector_matching.hpp"
#include "sapphirereel/daemon/http_answers.hpp"
#include "sapphirereel/daemon/state_dump.hpp"
#include "sapphirereel/telemetry/clocks.hpp"

#include <charconv>
#include <string>

namespace sapphirereel::daemon {

namespace {

using request = httplib::Request;
using response = httplib::Response;

/// Longest wait for a verdict; the core answers sooner.
constexpr auto verdict_wait = duration{std::chrono::seconds{15}};

constexpr auto not_found = 404;

auto propose(operator_parts parts, request const& asked, response& answer)
    -> void
{
    auto edit = decode_configuration_edit(asked.body, "edit");
    if (!edit)
    {
        write_findings(edit.error(), answer);
        return;
    }
    auto const query = parts.desk.open();
    parts.loop.post(edit_proposed{query, std::move(*edit)});
    auto const verdict = parts.desk.wait(query, verdict_wait);
    write_json(nlohmann::json(verdict.value_or(edit_verdict{})).dump(), answer);
}

auto answer_verdict(
    operator_parts parts, request const& asked, response& answer) -> void
{
    auto const id = edit_id{asked.matches[1].str()};
    auto const verdict = parts.loop.ask(
        [&id](daemon_core& core) { return core.configuration().verdict(id); });
    if (!verdict)
    {
        answer.status = not_found;
        write_json(R"({"verdict":"unknown"})", answer);
        return;
    }
    write_json(nlohmann::json(*verdict).dump(), answer);
}

auto answer_in_force(
    operator_parts parts, request const& asked, response& answer) -> void
{
    auto const text = asked.get_param_value("offset");
    auto offset = log_offset{};
    std::from_chars(text.data(), text.data() + text.size(), offset.value);
    auto const json = parts.loop.ask(
        [offset](daemon_core& core) { return in_force_json(core, offset); });
    write_json(json.dump(), answer);
}

auto explain(operator_parts parts, request const& asked, response& answer)
    -> void
{
    auto const json = nlohmann::json::parse(asked.body, nullptr, false);
    if (!json.is_object())
    {
        write_findings(
            {{{"request", 0, "body"},
              "not a JSON object",
              R"(send {"service":"...","model":"...","customer":"..."})"}},
            answer);
        return;
    }
    auto const text = [&json](char const* field) {
        auto const found = json.find(field);
        return found != json.end() && found->is_string()
                   ? found->get<std::string>()
                   : std::string{};
    };
    auto const facts = request_facts{
        service_name{text("service")}, model_name{text("model")},
        customer_id{text("customer")}};
    auto const route = parts.loop.ask([&facts](daemon_core& core) {
        return match(core.configuration().config(), facts);
    });
    write_json(nlohmann::json(route).dump(), answer);
}

auto drain(operator_parts parts, request const& asked, response& answer) -> void
{
    auto const json = nlohmann::json::parse(asked.body, nullptr, false);
    auto what = drain_asked{};
    if (json.is_object() && json.contains("endpoint") &&
        json["endpoint"].is_string())
    {
        what.endpoint = endpoint_id{json["endpoint"].get<std::string>()};
    }
    parts.loop.post(what);
    write_json(R"({"draining":true})", answer);
}

auto set_recording(operator_parts parts, request const& asked, response& answer)
    -> void
{
    auto const json = nlohmann::json::parse(asked.body, nullptr, false);
    auto const found = json.is_object() ? json.find("on") : json.end();
    auto const on =
        found != json.end() && found->is_boolean() && found->get<bool>();
    auto const recording = parts.recorder.set_recording(on);
    write_json(nlohmann::json{{"recording", recording}}.dump(), answer);
}

} // namespace

auto add_operator_routes(
    httplib::Server& server, operator_parts parts, body_reader& bodies) -> void
{
    server.Get("/operator/status", [parts](request const&, response& answer) {
        auto const json =
            parts.loop.ask([](daemon_core& core) { return status_json(core); });
        write_json(json.dump(), answer);
    });
    server.Get("/operator/dump", [parts](request const&, response& answer) {
        auto const json = parts.loop.ask([](daemon_core& core) {
            return dump_json(core, telemetry::monotonic_now());
        });
        write_json(json.dump(), answer);
    });
    server.Get(
        "/operator/configuration", [parts](request const&, response& answer) {
            auto const json = parts.loop.ask([](daemon_core& core) {
                return nlohmann::json{
                    {"offset", core.configuration().in_force().offset},
                    {"configuration", core.configuration().config()}};
            });
            write_json(json.dump(), answer);
        });
    server.Post(
        "/operator/edits",
        bodies.whole([parts](request const& asked, response& answer) {
            propose(parts, asked, answer);
        }));
    server.Get(
        "/operator/edits/(.+)",
        [parts](request const& asked, response& answer) {
            answer_verdict(parts, asked, answer);
        });
    server.Get(
        "/operator/in-force", [parts](request const& asked, response& answer) {
            answer_in_force(parts, asked, answer);
        });
    server.Post(
        "/operator/explain",
        bodies.whole([parts](request const& asked, response& answer) {
            explain(parts, asked, answer);
        }));
    server.Post(
        "/operator/drain",
        bodies.whole([parts](request const& asked, response& answer) {
            drain(parts, asked, answer);
        }));
    server.Post(
        "/operator/record",
        bodies.whole([parts](request const& asked, response& answer) {
            set_recording(parts, asked, answer);
        }));
    server.Get("/metrics", [parts](request const&, response& answer) {
        parts.loop.read_metrics();
        answer.set_content(
            parts.all_metrics.page(), "text/plain; version=0.0.4");
    });
    server.Get("/operator/trace", [parts](request const&, response& answer) {
        answer.set_content(parts.recorder.text(), "application/x-ndjson");
    });
}

} // namespace sapphirereel::daemon
