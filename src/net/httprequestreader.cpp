#include "net/httprequestreader.h"

// Beast asserts that 5 bytes have come when it goes on with a last chunk, which may be 3 or 4. A
// build that checks it would let a client end the process.
#define BOOST_DISABLE_ASSERTS

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace savorywick {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Parser = http::request_parser<http::string_body>;

constexpr int badRequest = 400;
constexpr int contentTooLarge = 413;
constexpr int headerFieldsTooLarge = 431;

// A connection between two requests keeps no larger buffer than that.
constexpr std::size_t maxIdleBufferBytes = 4'096;

// Returns the value of a hexadecimal digit, or -1 if `c` is none.
int hexDigitValue(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

// Returns the text with %XX escapes decoded. A malformed escape is kept unchanged.
std::string percentDecode(std::string_view text)
{
    std::string buf;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool complete = text[i] == '%' && i + 2 < text.size();
        const int high = complete ? hexDigitValue(text[i + 1]) : -1;
        const int low = complete ? hexDigitValue(text[i + 2]) : -1;
        if (high < 0 || low < 0) {
            buf += text[i];
            continue;
        }
        buf += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return buf;
}

HttpHeaders parseQuery(std::string_view query)
{
    HttpHeaders parameters;
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        const std::string_view value = pair.substr(std::min(pair.size(), equals + 1));
        parameters.push_back({percentDecode(pair.substr(0, equals)), percentDecode(value)});
    }
    return parameters;
}

HttpRequest toRequest(Parser &parser)
{
    auto message = parser.release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    const std::string_view target(message.target().data(), message.target().size());
    const std::size_t pathLength = std::min(target.find('?'), target.size());
    request.path = percentDecode(target.substr(0, pathLength));
    request.queryParameters = parseQuery(target.substr(std::min(target.size(), pathLength + 1)));
    for (const auto &field : message)
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    request.body = std::move(message.body());
    return request;
}

// Returns the status of the response to a request that can't be parsed.
int statusOf(const error_code &ec)
{
    if (ec == http::error::header_limit)
        return headerFieldsTooLarge;
    return ec == http::error::body_limit ? contentTooLarge : badRequest;
}

} // namespace

struct HttpRequestReader::Impl
{
    State fail(int status)
    {
        errorStatus = status;
        return State::Failed;
    }

    // Parses up to the end of the head or, after it, as far as possible.
    void parseOnce(error_code &ec)
    {
        const bool inHead = !parser->is_header_done();
        parser->eager(!inHead);
        const std::size_t used = parser->put(buffer.data(), ec);
        buffer.consume(used);
        headBytes += inHead ? used : 0;
    }

    // The parser's own limit holds for the part of the head that it is given at once, and none
    // holds for the lines of a chunked body, which it uses only once they are complete.
    bool exceedsHeaderLimit(bool needsMore) const
    {
        const std::size_t unparsed = needsMore ? buffer.size() : 0;
        const std::size_t head = headBytes + (parser->is_header_done() ? 0 : unparsed);
        return std::max(head, unparsed) > limits.maxHeaderBytes;
    }

    void freeLargeBuffer()
    {
        if (buffer.capacity() > maxIdleBufferBytes)
            buffer.shrink_to_fit();
    }

    HttpRequestLimits limits;
    beast::flat_buffer buffer; // What was received and not parsed yet.
    std::optional<Parser> parser;
    std::size_t headBytes = 0; // Those that were parsed.
    int errorStatus = 0;
};

HttpRequestReader::HttpRequestReader()
    : m_impl(std::make_unique<Impl>())
{ }

HttpRequestReader::~HttpRequestReader() = default;

void HttpRequestReader::start(const HttpRequestLimits &limits)
{
    m_impl->limits = limits;
    m_impl->parser.emplace();
    m_impl->parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    m_impl->parser->body_limit(limits.maxBodyBytes);
    m_impl->headBytes = 0;
    m_impl->freeLargeBuffer();
}

std::span<char> HttpRequestReader::prepare(std::size_t n)
{
    const auto room = m_impl->buffer.prepare(n);
    return {static_cast<char *>(room.data()), room.size()};
}

void HttpRequestReader::commit(std::size_t n)
{
    m_impl->buffer.commit(n);
}

HttpRequestReader::State HttpRequestReader::parse()
{
    Impl &impl = *m_impl;
    while (!impl.parser->is_done() && impl.buffer.size() > 0) {
        error_code ec;
        impl.parseOnce(ec);
        const bool needsMore = ec == http::error::need_more;
        if (ec && !needsMore)
            return impl.fail(statusOf(ec));
        if (impl.exceedsHeaderLimit(needsMore))
            return impl.fail(headerFieldsTooLarge);
        if (needsMore)
            break;
    }
    return impl.parser->is_done() ? State::Complete : State::Incomplete;
}

int HttpRequestReader::errorStatus() const
{
    return m_impl->errorStatus;
}

bool HttpRequestReader::keepAlive() const
{
    return m_impl->parser->keep_alive();
}

HttpRequest HttpRequestReader::takeRequest()
{
    return toRequest(*m_impl->parser);
}

std::size_t HttpRequestReader::heldBytes() const
{
    return m_impl->headBytes + m_impl->parser->get().body().size() + m_impl->buffer.size();
}

bool HttpRequestReader::hasUnparsedBytes() const
{
    return m_impl->buffer.size() > 0;
}

void HttpRequestReader::discard()
{
    m_impl->parser.reset();
    m_impl->buffer.clear();
    m_impl->freeLargeBuffer();
}

} // namespace savorywick
