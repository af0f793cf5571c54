#include "sapphirereel/client/request_story.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace sapphirereel::client {
namespace {

using nlohmann::ordered_json;

/// Fields of a request's lines that name replicas.
constexpr auto replica_fields = {"replica", "to", "copy_at"};

/// Fields with a place of their own in a story line.
constexpr auto known_fields = {"time",    "level",   "module",
                               "message", "request", "suppressed"};

/// Modules whose lines about the daemon may decide a request.
constexpr auto deciding_modules = {"configuration", "replicas", "log",
                                   "stop",          "reload",   "start"};

/// Where the time of day stands in a time, and its length.
constexpr auto time_of_day_at = std::size_t{11};
constexpr auto time_of_day_length = std::size_t{12};

auto last_word(std::string_view words, std::string const& otherwise)
    -> std::string
{
    auto const end = words.find_last_not_of(' ');
    if (end == std::string_view::npos)
    {
        return otherwise;
    }
    auto const begin = words.find_last_of(' ', end);
    return std::string{words.substr(
        begin == std::string_view::npos ? 0 : begin + 1,
        begin == std::string_view::npos ? end + 1 : end - begin)};
}

auto read_line(std::string_view text, std::string const& source)
    -> std::optional<story_line>
{
    auto const begin = text.find('{');
    if (begin == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const parsed = ordered_json::parse(text.substr(begin), nullptr, false);
    if (!parsed.is_object())
    {
        return std::nullopt;
    }
    auto line = story_line{};
    try
    {
        line.time = parsed.at("time").get<std::string>();
        line.module = parsed.at("module").get<std::string>();
        line.message = parsed.at("message").get<std::string>();
        line.request = parsed.value("request", std::string{});
        line.suppressed = parsed.value("suppressed", std::uint64_t{0});
    }
    catch (ordered_json::exception const&)
    {
        return std::nullopt;
    }
    line.daemon = last_word(text.substr(0, begin), source);
    for (auto const& [name, value] : parsed.items())
    {
        auto const has_own_place =
            std::find(known_fields.begin(), known_fields.end(), name) !=
            known_fields.end();
        if (!has_own_place)
        {
            line.fields.push_back(
                {name,
                 value.is_string() ? value.get<std::string>() : value.dump()});
        }
    }
    return line;
}

auto value_of(story_line const& line, std::string_view name)
    -> std::optional<std::string>
{
    auto const found = std::find_if(
        line.fields.begin(), line.fields.end(),
        [&](story_field const& each) { return each.name == name; });
    return found == line.fields.end() ? std::nullopt
                                      : std::optional{found->value};
}

/// Whether a line about the daemon tells of something that decides requests.
auto bears_on_requests(story_line const& line) -> bool
{
    return std::find(
               deciding_modules.begin(), deciding_modules.end(), line.module) !=
           deciding_modules.end();
}

/// What is read of all sources before the story is cut out of it.
struct all_lines
{
    std::vector<story_line> of_request;
    std::vector<story_line> of_daemons;
    std::uint64_t unreadable = 0;
};

auto read_all(std::span<log_source const> sources, std::string_view request_id)
    -> all_lines
{
    auto all = all_lines{};
    for (auto const& source : sources)
    {
        auto text = std::istringstream{source.text};
        for (auto each = std::string{}; std::getline(text, each);)
        {
            auto line = read_line(each, source.name);
            if (!line)
            {
                ++all.unreadable;
            }
            else if (line->request == request_id)
            {
                all.of_request.push_back(std::move(*line));
            }
            else if (line->request.empty())
            {
                all.of_daemons.push_back(std::move(*line));
            }
        }
    }
    return all;
}

auto by_time(story_line const& a, story_line const& b) -> bool
{
    return a.time < b.time;
}

/// The span in which a daemon had to do with the request.
struct time_span
{
    std::string begin;
    std::string end;
    auto operator<=>(time_span const&) const = default;
};

auto spans_of(std::vector<story_line> const& lines)
    -> std::map<std::string, time_span>
{
    auto spans = std::map<std::string, time_span>{};
    for (auto const& line : lines)
    {
        auto const [span, is_new] =
            spans.try_emplace(line.daemon, time_span{line.time, line.time});
        span->second.end = std::max(span->second.end, line.time);
    }
    return spans;
}

auto replicas_of(std::vector<story_line> const& lines) -> std::set<std::string>
{
    auto replicas = std::set<std::string>{};
    for (auto const& line : lines)
    {
        for (auto const* const field : replica_fields)
        {
            if (auto const named = value_of(line, field))
            {
                replicas.insert(*named);
            }
        }
    }
    return replicas;
}

/// Adds, for each daemon of the story, the configuration that it had when the
/// request came, and what it learnt during the request that may bear on it.
auto add_circumstances(
    request_story& story, std::vector<story_line> const& of_daemons) -> void
{
    auto const spans = spans_of(story.lines);
    auto const replicas = replicas_of(story.lines);
    auto configurations = std::map<std::string, story_line>{};
    for (auto const& line : of_daemons)
    {
        auto const span = spans.find(line.daemon);
        if (span == spans.end() || line.time > span->second.end)
        {
            continue;
        }
        if (line.time < span->second.begin)
        {
            if (line.module == "configuration" && line.message == "in force")
            {
                configurations[line.daemon] = line;
            }
            continue;
        }
        story.suppressed += line.suppressed;
        auto const replica = value_of(line, "replica");
        auto const is_about_another = replica && !replicas.contains(*replica);
        if (bears_on_requests(line) && !is_about_another)
        {
            story.lines.push_back(line);
        }
    }
    for (auto const& [daemon, line] : configurations)
    {
        story.lines.push_back(line);
    }
}

auto text_of(story_line const& line) -> std::string
{
    auto text = fmt::format(
        "{}  {}  {}: {}",
        std::string_view{line.time}.substr(
            std::min(time_of_day_at, line.time.size()), time_of_day_length),
        line.daemon, line.module, line.message);
    for (auto const& field : line.fields)
    {
        text += fmt::format("  {}={}", field.name, field.value);
    }
    return text;
}

} // namespace

auto find_story(
    std::span<log_source const> sources, std::string_view request_id)
    -> request_story
{
    auto all = read_all(sources, request_id);
    auto story = request_story{};
    story.unreadable = all.unreadable;
    story.lines = std::move(all.of_request);
    for (auto const& line : story.lines)
    {
        story.suppressed += line.suppressed;
    }
    std::stable_sort(story.lines.begin(), story.lines.end(), by_time);
    std::stable_sort(all.of_daemons.begin(), all.of_daemons.end(), by_time);
    add_circumstances(story, all.of_daemons);
    std::stable_sort(story.lines.begin(), story.lines.end(), by_time);
    return story;
}

auto describe(request_story const& story) -> std::string
{
    auto text = std::string{};
    for (auto const& line : story.lines)
    {
        text += text_of(line) + "\n";
    }
    if (story.suppressed > 0)
    {
        text += fmt::format(
            "{} lines were dropped at that time; the story may have gaps\n",
            story.suppressed);
    }
    if (story.unreadable > 0)
    {
        text += fmt::format("{} lines are no log lines\n", story.unreadable);
    }
    return text;
}

} // namespace sapphirereel::client
