#include "sapphirereel/daemon/caller_channel.hpp"

#include <utility>

namespace sapphirereel::daemon {

auto caller_channel::push(caller_item item) -> void
{
    {
        auto const lock = std::lock_guard{mutex_};
        items_.push_back(std::move(item));
    }
    wake_.notify_one();
}

auto caller_channel::pop(duration wait) -> std::optional<caller_item>
{
    auto lock = std::unique_lock{mutex_};
    auto const came =
        wake_.wait_for(lock, wait, [this] { return !items_.empty(); });
    if (!came)
    {
        return std::nullopt;
    }
    auto item = std::move(items_.front());
    items_.pop_front();
    return item;
}

auto caller_channel::waiting() const -> std::size_t
{
    auto const lock = std::lock_guard{mutex_};
    return items_.size();
}

auto caller_table::open() -> opened
{
    auto const lock = std::lock_guard{mutex_};
    auto const attachment = attachment_id{++last_};
    auto channel = std::make_shared<caller_channel>();
    channels_.emplace(attachment, channel);
    return {attachment, std::move(channel)};
}

auto caller_table::close(attachment_id attachment) -> void
{
    auto const lock = std::lock_guard{mutex_};
    channels_.erase(attachment);
}

auto caller_table::push(attachment_id attachment, caller_item item) -> void
{
    auto const lock = std::lock_guard{mutex_};
    auto const found = channels_.find(attachment);
    if (found != channels_.end())
    {
        found->second->push(std::move(item));
    }
}

auto caller_table::size() const -> std::size_t
{
    auto const lock = std::lock_guard{mutex_};
    return channels_.size();
}

} // namespace sapphirereel::daemon
