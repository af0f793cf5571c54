#include "sapphirereel/daemon/generation_response.hpp"

#include "sapphirereel/codec/openai_answer_body.hpp"
#include "sapphirereel/codec/openai_chunk.hpp"
#include "sapphirereel/codec/resume_token.hpp"
#include "sapphirereel/codec/sse.hpp"
#include "sapphirereel/daemon/http_answers.hpp"

#include <optional>
#include <utility>

namespace sapphirereel::daemon {

namespace {

/// Longest wait for one item; the core ends every request by its deadline.
constexpr auto item_wait = duration{std::chrono::seconds{1}};

auto write(httplib::DataSink& sink, std::string const& text) -> bool
{
    return sink.is_writable() && sink.write(text.data(), text.size());
}

/// Writes one caller's items as server-sent events.
class event_writer
{
public:
    event_writer(generation_caller caller, caller_closer close)
        : caller_(std::move(caller))
        , close_(std::move(close))
    {}

    /// Waits for the first item, which says whether there is a stream at all.
    auto wait_for_first() -> caller_item const&
    {
        while (!first_)
        {
            first_ = caller_.channel->pop(item_wait);
        }
        return *first_;
    }

    /// Writes the next item; false ends the connection.
    auto write_next(httplib::DataSink& sink) -> bool
    {
        auto item = first_ ? std::exchange(first_, std::nullopt)
                           : caller_.channel->pop(caller_.heartbeat);
        if (!item)
        {
            return write(sink, codec::write_sse({{}, {}, {}, "keep-alive"}));
        }
        return std::visit(
            [&](auto const& one) { return put(sink, one); }, *item);
    }

    auto released() -> void
    {
        close_(caller_.attachment, finished_);
    }

    auto finish() -> void
    {
        finished_ = true;
    }

private:
    auto put(httplib::DataSink& sink, deliver_chunk const& one) -> bool
    {
        if (!one.chunk.is_token)
        {
            return !caller_.include_usage ||
                   write(sink, codec::write_sse({{}, {}, one.chunk.json, {}}));
        }
        auto const position =
            codec::resume_token{caller_.service,     one.run,
                                one.place,           caller_.content,
                                one.chunk.index + 1, one.attachment_number,
                                one.output};
        auto const id = codec::encode_resume_token(position, caller_.key);
        return write(sink, codec::write_sse({id, {}, one.chunk.json, {}}));
    }

    auto put(httplib::DataSink& sink, finish_generation const&) -> bool
    {
        finished_ = true;
        auto const done = std::string{codec::openai_done};
        auto const written = write(sink, codec::write_sse({{}, {}, done, {}}));
        sink.done();
        return written;
    }

    auto put(httplib::DataSink& sink, refuse_caller const& one) -> bool
    {
        finished_ = true;
        auto const type = one.reason.cause == refusal_cause::superseded
                              ? "superseded"
                              : "error";
        auto const text =
            codec::write_sse({{}, type, codec::refusal_body(one.reason), {}});
        auto const written = write(sink, text);
        sink.done();
        return written;
    }

    auto put(httplib::DataSink&, discard_buffered const&) -> bool
    {
        return true;
    }

    auto put(httplib::DataSink&, answer_caller const&) -> bool
    {
        return true;
    }

    generation_caller caller_;
    caller_closer close_;
    std::optional<caller_item> first_;
    bool finished_ = false;
};

} // namespace

auto stream_generation(
    generation_caller caller, caller_closer close, httplib::Response& response)
    -> void
{
    auto writer =
        std::make_shared<event_writer>(std::move(caller), std::move(close));
    auto const& first = writer->wait_for_first();
    if (auto const* refused = std::get_if<refuse_caller>(&first))
    {
        write_refusal(refused->reason, response);
        writer->finish();
        writer->released();
        return;
    }
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider(
        "text/event-stream",
        [writer](std::size_t, httplib::DataSink& sink) {
            return writer->write_next(sink);
        },
        [writer](bool) { writer->released(); });
}

auto gather_generation(
    generation_caller const& caller,
    caller_closer const& close,
    httplib::Response& response) -> void
{
    auto answer = codec::openai_answer{caller.kind};
    while (true)
    {
        auto const item = caller.channel->pop(item_wait);
        if (!item)
        {
            continue;
        }
        if (auto const* refused = std::get_if<refuse_caller>(&*item))
        {
            write_refusal(refused->reason, response);
            break;
        }
        if (std::holds_alternative<finish_generation>(*item))
        {
            write_json(answer.body(), response);
            break;
        }
        if (std::holds_alternative<discard_buffered>(*item))
        {
            answer = codec::openai_answer{caller.kind};
        }
        else if (auto const* chunk = std::get_if<deliver_chunk>(&*item))
        {
            auto const read = codec::read_openai_chunk(chunk->chunk.json);
            if (read)
            {
                answer.add(*read);
            }
        }
    }
    close(caller.attachment, true);
}

} // namespace sapphirereel::daemon
