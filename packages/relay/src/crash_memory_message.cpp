#include "sapphirereel/relay/crash_memory_message.hpp"

#include "sapphirereel/relay/crash_tracker.hpp"
#include "sapphirereel/relay/peer_report_fields.hpp"

#include <chrono>
#include <msgpack.hpp>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// First element; peer reports begin with their version, which is lower, and
/// messages of permits with other tags.
constexpr auto memory_tag = std::uint32_t{203};

/// Elements of the message.
enum element_position : std::size_t
{
    tag_at,
    crashes_at,
    clearances_at,
    crash_ages_at,
    clearance_ages_at,
    element_count
};

/// Bounds of a message: elements of one list, bytes of one text, and levels of
/// lists within lists. A crash may have several suspects.
constexpr auto max_elements = std::size_t{256};
constexpr auto max_text_bytes = std::size_t{256};
constexpr auto max_depth = std::size_t{5};

auto seconds_of(duration age) -> std::uint64_t
{
    return static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::seconds>(age).count());
}

auto age_of(list_reader const& ages, std::size_t at) -> duration
{
    return std::chrono::seconds{ages.get<std::uint32_t>(at)};
}

template <class Entry>
auto write_ages(report_packer& to, std::vector<Entry> const& entries) -> void
{
    pack_array(to, entries.size());
    for (auto const& each : entries)
    {
        to.pack(seconds_of(each.age));
    }
}

auto read_memory(msgpack::object const& from) -> std::optional<crash_memory>
{
    auto const elements = list_reader{from};
    auto const is_memory = elements.size() == element_count &&
                           elements.get<std::uint32_t>(tag_at) == memory_tag;
    if (!is_memory)
    {
        return std::nullopt;
    }
    auto reports =
        read_crashes(elements.at(crashes_at), elements.at(clearances_at));
    if (reports.deaths.size() > max_remembered ||
        reports.cleared.size() > max_remembered)
    {
        return std::nullopt;
    }
    auto const crash_ages = list_reader{elements.at(crash_ages_at)};
    auto const clearance_ages = list_reader{elements.at(clearance_ages_at)};
    auto memory = crash_memory{};
    for (auto at = std::size_t{0}; at < reports.deaths.size(); ++at)
    {
        memory.crashes.push_back(
            {std::move(reports.deaths[at]), age_of(crash_ages, at)});
    }
    for (auto at = std::size_t{0}; at < reports.cleared.size(); ++at)
    {
        memory.clearances.push_back(
            {std::move(reports.cleared[at]), age_of(clearance_ages, at)});
    }
    return memory;
}

} // namespace

auto write_crash_memory(crash_memory const& memory) -> std::string
{
    auto reports = crash_reports{};
    for (auto const& each : memory.crashes)
    {
        reports.deaths.push_back(each.crash);
    }
    for (auto const& each : memory.clearances)
    {
        reports.cleared.push_back(each.clearance);
    }
    auto buffer = msgpack::sbuffer{};
    auto to = report_packer{buffer};
    pack_array(to, element_count);
    to.pack(memory_tag);
    write_crashes(to, reports);
    write_ages(to, memory.crashes);
    write_ages(to, memory.clearances);
    return {buffer.data(), buffer.size()};
}

auto read_crash_memory(std::string_view bytes) -> std::optional<crash_memory>
{
    auto const limits =
        msgpack::unpack_limit{max_elements, 0, max_text_bytes, 0, 0, max_depth};
    return read_packed(bytes, limits, read_memory);
}

} // namespace sapphirereel::relay
