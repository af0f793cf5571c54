/// \file
/// Defines the channel from the core to the server thread that writes to one
/// caller, and the table of the open ones.
#ifndef SAPPHIREREEL_DAEMON_CALLER_CHANNEL_HPP
#define SAPPHIREREEL_DAEMON_CALLER_CHANNEL_HPP

#include "sapphirereel/composition/action.hpp"
#include "sapphirereel/core/attachment.hpp"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>

namespace sapphirereel::daemon {

/// What a caller's thread is handed.
using caller_item = std::variant<
    deliver_chunk,
    discard_buffered,
    finish_generation,
    refuse_caller,
    answer_caller>;

/// A queue to one caller's thread. Push and pop may come from different
/// threads.
class caller_channel
{
public:
    auto push(caller_item item) -> void;

    /// The next item, or nothing when none came in time.
    auto pop(duration wait) -> std::optional<caller_item>;

    /// Items that wait to be written.
    [[nodiscard]] auto waiting() const -> std::size_t;

private:
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<caller_item> items_;
};

/// The callers that wait for something, by attachment.
class caller_table
{
public:
    /// A caller under a new attachment.
    struct opened
    {
        attachment_id attachment;
        std::shared_ptr<caller_channel> channel;
    };

    auto open() -> opened;
    auto close(attachment_id attachment) -> void;

    /// Hands an item to the caller; an attachment that is closed is passed
    /// over.
    auto push(attachment_id attachment, caller_item item) -> void;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    mutable std::mutex mutex_;
    std::uint64_t last_ = 0;
    std::map<attachment_id, std::shared_ptr<caller_channel>> channels_;
};

} // namespace sapphirereel::daemon

#endif
