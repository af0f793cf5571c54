/// \file
/// Defines a store with one keyed topic at the end of a link that carries a
/// number of bytes a second.
#ifndef SAPPHIREREEL_TEST_SUPPORT_DEPLOYMENT_NARROW_STORE_HPP
#define SAPPHIREREEL_TEST_SUPPORT_DEPLOYMENT_NARROW_STORE_HPP

#include "support/relay/relay_fixture.hpp"

#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sodium.h>
#include <string>
#include <vector>

namespace sapphirereel::deployment::test {

/// Answers the calls of one daemon on the test's event loop.
class narrow_store
{
public:
    narrow_store(asio::io_context& loop, double bytes_per_second)
        : loop_(&loop)
        , bytes_per_second_(bytes_per_second)
        , address_{
              relay::test::process_loopback_ip(), relay::test::free_port(loop)}
    {
        listener_ = std::move(*relay::listener::open(
            loop, address_.endpoint(), [this](asio::ip::tcp::socket socket) {
                serve(relay::connection::adopt(std::move(socket)));
            }));
    }

    [[nodiscard]] auto address() const -> relay::listen_address const&
    {
        return address_;
    }

    /// Appends a record; no value removes the key.
    auto write(std::string key, std::optional<std::string> value) -> void
    {
        records_.push_back({std::move(key), std::move(value)});
        for (auto& each : std::exchange(waiting_, {}))
        {
            answer_read(each.to, each.from);
        }
    }

    /// Number of reads of the newest records.
    int reads_of_newest = 0;

private:
    struct record
    {
        std::string key;
        std::optional<std::string> value;
    };

    struct waiting_read
    {
        std::weak_ptr<relay::connection> to;
        std::size_t from;
    };

    /// Bytes that are sent at a time.
    static constexpr auto slice_bytes = std::size_t{8'192};

    /// Most bytes of records in the answer to a read of more than one.
    static constexpr auto page_bytes = std::size_t{1} << 20U;

    auto serve(std::shared_ptr<relay::connection> const& to) -> void
    {
        to->set_handlers(
            {[this, weak = std::weak_ptr{to}](std::string_view asked) {
                 take(weak, asked);
             },
             [to](relay::connection_end) {},
             {}});
        to->read();
    }

    auto take(
        std::weak_ptr<relay::connection> const& to, std::string_view asked)
        -> void
    {
        if (asked.find("/-/log-newest?") != std::string_view::npos)
        {
            ++reads_of_newest;
            send(to, newest());
            return;
        }
        constexpr auto name = std::string_view{"&from="};
        auto from = std::size_t{0};
        auto const at = asked.find(name) + name.size();
        std::from_chars(asked.data() + at, asked.data() + asked.size(), from);
        if (from == records_.size())
        {
            waiting_.push_back({to, from});
            return;
        }
        answer_read(to, from);
    }

    auto answer_read(
        std::weak_ptr<relay::connection> const& to, std::size_t from) -> void
    {
        auto body = number(records_.size(), 8) + number(0, 8);
        for (auto at = from; at < records_.size(); ++at)
        {
            auto const& each = records_[at];
            auto const bytes = static_cast<char>(each.key.size()) + each.key +
                               each.value.value_or("");
            if (at > from && body.size() + bytes.size() > page_bytes)
            {
                break;
            }
            body += number(bytes.size(), 4) + bytes;
        }
        send(to, body);
    }

    [[nodiscard]] auto newest() const -> std::string
    {
        auto found = std::map<std::string, std::size_t>{};
        for (auto at = std::size_t{0}; at < records_.size(); ++at)
        {
            found[records_[at].key] = at;
        }
        auto entries = nlohmann::json::array();
        for (auto const& [key, at] : found)
        {
            if (records_[at].value)
            {
                entries.push_back(
                    {{"key", key},
                     {"offset", at},
                     {"value", base64(*records_[at].value)}});
            }
        }
        return nlohmann::json{
            {"entries", entries}, {"more", false}, {"end", records_.size()}}
            .dump();
    }

    static auto base64(std::string const& bytes) -> std::string
    {
        constexpr auto variant = sodium_base64_VARIANT_ORIGINAL;
        auto text =
            std::string(sodium_base64_encoded_len(bytes.size(), variant), '\0');
        sodium_bin2base64(
            text.data(), text.size(),
            reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(),
            variant);
        text.pop_back();
        return text;
    }

    static auto number(std::uint64_t value, int bytes) -> std::string
    {
        auto text = std::string{};
        for (auto at = bytes - 1; at >= 0; --at)
        {
            text += static_cast<char>(value >> (8 * at) & 0xffU);
        }
        return text;
    }

    auto send(
        std::weak_ptr<relay::connection> const& to, std::string const& body)
        -> void
    {
        send_from(
            to,
            std::make_shared<std::string const>(fmt::format(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(),
                body)),
            0);
    }

    /// Sends one slice after the other as the link carries them, until the
    /// connection ends.
    auto send_from(
        std::weak_ptr<relay::connection> const& to,
        std::shared_ptr<std::string const> const& bytes,
        std::size_t at) -> void
    {
        auto const open = to.lock();
        if (at >= bytes->size() || !open || !open->is_open())
        {
            return;
        }
        auto const slice = bytes->substr(at, slice_bytes);
        free_at_ =
            std::max(free_at_, telemetry::monotonic_now()) +
            std::chrono::duration_cast<duration>(std::chrono::duration<double>{
                static_cast<double>(slice.size()) / bytes_per_second_});
        auto const timer = std::make_shared<asio::steady_timer>(*loop_);
        timer->expires_after(free_at_ - telemetry::monotonic_now());
        timer->async_wait([this, timer, to, bytes, at, slice](std::error_code) {
            if (auto const held = to.lock(); held && held->is_open())
            {
                held->send(slice);
                send_from(to, bytes, at + slice.size());
            }
        });
    }

    asio::io_context* loop_;
    double bytes_per_second_;
    relay::listen_address address_;
    std::unique_ptr<relay::listener> listener_;
    std::vector<record> records_;
    std::vector<waiting_read> waiting_;
    /// When the link has carried all that was sent so far.
    time_point free_at_{};
};

} // namespace sapphirereel::deployment::test

#endif
