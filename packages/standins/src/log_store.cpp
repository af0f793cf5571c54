#include "sapphirereel/standins/log_store.hpp"

namespace sapphirereel::standins {

log_store::log_store(log_retention retention)
    : retention_(retention)
{}

auto log_store::set_retention(log_retention retention) -> void
{
    retention_ = retention;
}

auto log_store::append(
    stream_name const& stream, std::string body, wall_time now) -> log_offset
{
    auto& stored = streams_[stream];
    auto const offset = stored.next;
    stored.records.push_back({offset, now, std::move(body)});
    ++stored.next.value;
    remove_expired(stored, now);
    return offset;
}

auto log_store::read(
    stream_name const& stream,
    log_offset from,
    std::size_t limit,
    wall_time now) -> stream_page
{
    auto& stored = streams_[stream];
    remove_expired(stored, now);
    auto page = stream_page{stored.next, stored.next, {}};
    if (!stored.records.empty())
    {
        page.first = stored.records.front().offset;
    }
    for (auto const& record : stored.records)
    {
        if (record.offset >= from && page.records.size() < limit)
        {
            page.records.push_back(record);
        }
    }
    return page;
}

auto log_store::remove_expired(stored_stream& stream, wall_time now) const
    -> void
{
    auto const oldest = now.milliseconds - retention_.max_age.count();
    auto& records = stream.records;
    while (!records.empty() && (records.size() > retention_.max_records ||
                                records.front().appended.milliseconds < oldest))
    {
        records.pop_front();
    }
}

} // namespace sapphirereel::standins
