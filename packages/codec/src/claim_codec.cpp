#include "sapphirereel/codec/claim_codec.hpp"

#include <optional>

namespace sapphirereel {

namespace {

constexpr char run_mark = 'r';
constexpr char refuse_mark = 'x';
constexpr char done_mark = 'd';
constexpr char separator = '.';

auto write_entry(claim_entry const& entry) -> std::string
{
    auto const& name = entry.name.str();
    switch (entry.kind)
    {
    case claim_kind::run:
        return run_mark + name + separator + entry.body.str();
    case claim_kind::refuse:
        return refuse_mark + name + separator +
               std::string{name_of(entry.cause)};
    case claim_kind::done:
        return done_mark + name;
    }
    return {};
}

auto read_entry(std::string_view text) -> std::optional<claim_entry>
{
    auto const mark = text.empty() ? '\0' : text.front();
    auto const split = text.find(separator);
    claim_entry entry;
    if (mark == done_mark && split == std::string_view::npos)
    {
        entry.kind = claim_kind::done;
        entry.name = digest{std::string{text.substr(1)}};
        return entry;
    }
    if (split == std::string_view::npos)
    {
        return std::nullopt;
    }
    entry.name = digest{std::string{text.substr(1, split - 1)}};
    auto const rest = text.substr(split + 1);
    if (mark == run_mark)
    {
        entry.kind = claim_kind::run;
        entry.body = digest{std::string{rest}};
        return entry;
    }
    if (mark != refuse_mark)
    {
        return std::nullopt;
    }
    entry.kind = claim_kind::refuse;
    entry.cause = value_of<refusal_cause>(rest).value_or(entry.cause);
    return entry;
}

} // namespace

auto write_claim_batch(claim_batch const& batch) -> std::string
{
    auto entries = nlohmann::json::array();
    for (auto const& entry : batch.entries)
    {
        entries.push_back(write_entry(entry));
    }
    return nlohmann::json{{"writer", batch.writer}, {"claims", entries}}.dump();
}

auto read_claim_batch(std::string_view body) -> claim_batch
{
    claim_batch batch;
    auto const json = nlohmann::json::parse(body, nullptr, false);
    auto const readable = json.is_object() && json.contains("writer") &&
                          json["writer"].is_string() &&
                          json.contains("claims") && json["claims"].is_array();
    if (!readable)
    {
        return batch;
    }
    batch.writer = json["writer"].get<daemon_id>();
    for (auto const& text : json["claims"])
    {
        auto const entry = text.is_string()
                               ? read_entry(text.get_ref<std::string const&>())
                               : std::nullopt;
        if (entry)
        {
            batch.entries.push_back(*entry);
        }
    }
    return batch;
}

} // namespace sapphirereel
