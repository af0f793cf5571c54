#include "sapphirereel/daemon/body_reader.hpp"

#include "sapphirereel/daemon/http_answers.hpp"

#include <charconv>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace sapphirereel::daemon {

namespace {

constexpr auto body_too_long = 413;
constexpr auto not_found = 404;
constexpr auto length_required = 411;
constexpr auto unavailable = 503;

/// When the caller of a body that found no room may come back.
constexpr auto busy_wait = duration{std::chrono::seconds{2}};

enum class body_state
{
    whole,
    too_long,
    no_room,
    cut_short
};

auto stated_length(httplib::Request const& request)
    -> std::optional<std::size_t>
{
    auto const text = request.get_header_value("Content-Length");
    auto length = std::size_t{0};
    auto const end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, length);
    if (read.ec == std::errc::result_out_of_range)
    {
        return SIZE_MAX;
    }
    return read.ec == std::errc{} ? std::optional{length} : std::nullopt;
}

/// A body while it arrives. Its memory is taken from the account before it is
/// allocated, along with the copy that growing makes.
class arriving_body
{
public:
    arriving_body(
        std::size_t limit, std::optional<std::size_t> stated, body_share& share)
        : limit_(limit)
        , expected_(stated.value_or(limit))
        , share_(share)
    {
        if (expected_ > limit)
        {
            state_ = body_state::too_long;
        }
    }

    [[nodiscard]] auto state() const -> body_state
    {
        return state_;
    }

    /// Adds bytes; false if they pass a bound.
    auto add(char const* bytes, std::size_t count) -> bool
    {
        if (count > limit_ - text_.size())
        {
            state_ = body_state::too_long;
            return false;
        }
        if (!make_room(text_.size() + count))
        {
            state_ = body_state::no_room;
            return false;
        }
        text_.append(bytes, count);
        return true;
    }

    auto cut_short() -> void
    {
        if (state_ == body_state::whole)
        {
            state_ = body_state::cut_short;
        }
    }

    auto take_text() -> std::string
    {
        share_.shrink_to(text_.size());
        return std::move(text_);
    }

private:
    auto make_room(std::size_t needed) -> bool
    {
        if (needed <= room_)
        {
            return true;
        }
        auto const most = needed <= expected_ ? expected_ : limit_;
        // Grows at once to the most once half of that would be passed, so that
        // the old and the new memory together are at most 1.5 times the limit.
        auto const room = needed > most / 4 ? most : 2 * needed;
        if (!share_.take(room))
        {
            return false;
        }
        text_.reserve(room);
        share_.shrink_to(room);
        room_ = room;
        return true;
    }

    std::size_t limit_;
    std::size_t expected_;
    body_share& share_;
    body_state state_ = body_state::whole;
    std::size_t room_ = 0;
    std::string text_;
};

/// Ends the connection after the answer: the library keeps it otherwise, and
/// would read the rest of the body as the next request.
auto end_connection(httplib::Response& response) -> void
{
    response.set_header("Connection", "close");
    auto const type = response.get_header_value("Content-Type");
    response.headers.erase("Content-Type");
    auto text = std::exchange(response.body, {});
    auto const length = text.size();
    response.set_content_provider(
        length, type,
        [text = std::move(text)](
            std::size_t, std::size_t, httplib::DataSink& sink) {
            sink.write(text.data(), text.size());
            return false;
        });
}

auto refuse(
    body_state state, body_limits const& limits, httplib::Response& response)
    -> void
{
    if (state == body_state::no_room)
    {
        write_refusal(
            {refusal_cause::overloaded, disposition::not_run,
             "the bodies of all requests together are too long; ask again, or "
             "ask for other addresses",
             busy_wait},
            response);
        // The document for callers states this status for the cause.
        response.status = unavailable;
    }
    else if (state == body_state::too_long)
    {
        write_findings(
            {{{"request", 0, "body"},
              "the body is longer than " + std::to_string(limits.one_body) +
                  " bytes",
              "send a shorter one"}},
            response);
        response.status = body_too_long;
    }
    else
    {
        write_findings(
            {{{"request", 0, "body"},
              "the body stopped before its end, or its chunks have no length",
              "send the whole body without long pauses"}},
            response);
    }
    end_connection(response);
}

auto refuse_unread(httplib::Response& response) -> void
{
    write_findings(
        {{{"request", 0, "path"},
          "nothing takes requests of this method and path",
          "see the interface's description for methods and paths"}},
        response);
    response.status = not_found;
    end_connection(response);
}

/// Keeps a share until the response is written.
auto keep_until_written(
    std::shared_ptr<body_share> share, httplib::Response& response) -> void
{
    if (!response.content_provider_)
    {
        return;
    }
    auto release = std::move(response.content_provider_resource_releaser_);
    response.content_provider_resource_releaser_ =
        [release = std::move(release), share = std::move(share)](bool whole) {
            if (release)
            {
                release(whole);
            }
        };
}

} // namespace

body_reader::body_reader(body_limits limits)
    : limits_(limits)
    , account_(limits.all_bodies)
{}

auto body_reader::whole(httplib::Server::Handler handler)
    -> httplib::Server::HandlerWithContentReader
{
    return [this, handler = std::move(handler)](
               httplib::Request const& head, httplib::Response& response,
               httplib::ContentReader const& read) {
        auto share = std::make_shared<body_share>(account_);
        auto body =
            arriving_body{limits_.one_body, stated_length(head), *share};
        if (body.state() == body_state::whole &&
            !read([&body](char const* bytes, std::size_t count) {
                return body.add(bytes, count);
            }))
        {
            body.cut_short();
        }
        if (body.state() != body_state::whole)
        {
            refuse(body.state(), limits_, response);
            return;
        }
        auto request = head;
        request.body = body.take_text();
        handler(request, response);
        keep_until_written(std::move(share), response);
    };
}

auto refuse_unreadable(
    httplib::Request const& request, httplib::Response& response) -> bool
{
    if (request.method == "PRI")
    {
        refuse_unread(response);
        return true;
    }
    if (request.method != "DELETE" || !request.has_header("Transfer-Encoding"))
    {
        return false;
    }
    write_findings(
        {{{"request", 0, "Transfer-Encoding"},
          "a deletion's body comes in chunks",
          "state its length in Content-Length"}},
        response);
    response.status = length_required;
    end_connection(response);
    return true;
}

auto add_unread_routes(httplib::Server& server) -> void
{
    auto const refuse = [](httplib::Request const&, httplib::Response& response,
                           httplib::ContentReader const&) {
        refuse_unread(response);
    };
    constexpr auto all = ".*";
    server.Post(all, refuse);
    server.Put(all, refuse);
    server.Patch(all, refuse);
    server.Delete(all, refuse);
}

} // namespace sapphirereel::daemon
