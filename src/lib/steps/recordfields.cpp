#include "recordfields.h"

#include "savorywick/errors.h"

#include <cstdio>

namespace savorywick::steps {

namespace {

constexpr std::string_view emptyTextField = "%-";
constexpr std::size_t maxQuotedBytes = 40; // The part of a malformed line that an error quotes.
constexpr int hexBase = 16;

bool needsEscape(char c)
{
    return c == ' ' || c == '%' || static_cast<unsigned char>(c) < ' ';
}

} // namespace

void throwMalformed(std::string_view line)
{
    throw Error(ErrorKind::InvalidInput,
                "'" + std::string(line.substr(0, maxQuotedBytes))
                    + "' is not a valid journal record",
                "restore the shard's journal, or read it with the version that wrote it");
}

FieldWriter &FieldWriter::text(std::string_view value)
{
    m_line += ' ';
    if (value.empty())
        m_line += emptyTextField;
    for (const char c : value) {
        if (!needsEscape(c)) {
            m_line += c;
            continue;
        }
        char buf[4]; // '%', two digits and the terminating NUL.
        std::snprintf(buf, sizeof buf, "%%%02X", static_cast<unsigned char>(c));
        m_line += buf;
    }
    return *this;
}

FieldWriter &FieldWriter::number(std::int64_t value)
{
    m_line += ' ';
    m_line += std::to_string(value);
    return *this;
}

FieldWriter &FieldWriter::task(const TaskRef &it)
{
    return text(it.job).number(it.occurrence).number(it.step).number(it.index);
}

FieldWriter &FieldWriter::worker(const WorkerIncarnation &it)
{
    return text(it.workerId).number(it.startedWallMs);
}

std::string FieldReader::text()
{
    const std::string_view field = nextField();
    std::string value;
    if (field == emptyTextField)
        return value;
    for (std::size_t i = 0; i < field.size(); ++i) {
        if (field[i] != '%') {
            value += field[i];
            continue;
        }
        value += unescapedByte(field.substr(i + 1, 2));
        i += 2;
    }
    return value;
}

std::size_t FieldReader::listLength()
{
    const auto n = number<std::size_t>();
    if (n > m_rest.size())
        throwMalformed(m_line);
    return n;
}

TaskRef FieldReader::task()
{
    TaskRef it;
    it.job = text();
    it.occurrence = number<int>();
    it.step = number<int>();
    it.index = number<int>();
    return it;
}

WorkerIncarnation FieldReader::worker()
{
    WorkerIncarnation it;
    it.workerId = text();
    it.startedWallMs = number();
    return it;
}

void FieldReader::expectEnd() const
{
    if (!m_rest.empty())
        throwMalformed(m_line);
}

std::string_view FieldReader::nextField()
{
    if (m_rest.empty() || m_rest.front() != ' ')
        throwMalformed(m_line);
    m_rest.remove_prefix(1);
    const std::string_view field = m_rest.substr(0, m_rest.find(' '));
    m_rest.remove_prefix(field.size());
    if (field.empty())
        throwMalformed(m_line);
    return field;
}

// Returns the byte that two hexadecimal digits encode.
char FieldReader::unescapedByte(std::string_view digits) const
{
    int value = 0;
    const char *end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, value, hexBase);
    if (digits.size() != 2 || parsed.ec != std::errc() || parsed.ptr != end)
        throwMalformed(m_line);
    return static_cast<char>(value);
}

} // namespace savorywick::steps
