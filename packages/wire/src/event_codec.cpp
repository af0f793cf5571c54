#include "sapphirereel/wire/event_codec.hpp"

namespace sapphirereel {

auto to_json(nlohmann::json& json, generation_request const& request) -> void
{
    json = {
        {"attachment", request.attachment},
        {"facts", request.facts},
        {"content", request.content},
        {"path", request.path},
        {"body", request.body},
        {"priority", request.priority},
        {"prompt_tokens", request.prompt_tokens},
        {"deadline", request.deadline},
        {"buffered", request.buffered},
        {"resume", request.resume},
        {"prompt_parts", request.prompt_parts}};
}

auto from_json(nlohmann::json const& json, generation_request& request) -> void
{
    json.at("attachment").get_to(request.attachment);
    json.at("facts").get_to(request.facts);
    json.at("content").get_to(request.content);
    json.at("path").get_to(request.path);
    json.at("body").get_to(request.body);
    json.at("priority").get_to(request.priority);
    json.at("prompt_tokens").get_to(request.prompt_tokens);
    json.at("deadline").get_to(request.deadline);
    json.at("buffered").get_to(request.buffered);
    json.at("resume").get_to(request.resume);
    request.prompt_parts = json.value("prompt_parts", std::vector<digest>{});
}

auto to_json(nlohmann::json& json, configuration_entry const& entry) -> void
{
    json = nlohmann::json(log_record{
        entry.offset, entry.appended,
        encode_configuration_record(entry.record)});
}

auto from_json(nlohmann::json const& json, configuration_entry& entry) -> void
{
    entry = decode_configuration_entry(json.get<log_record>());
}

} // namespace sapphirereel
