#pragma once

#include "savorywick/clock.h"
#include "savorywick/steps/job.h"

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

// How the fields of a journal record are written. A record is one line: the letter of its type,
// then its fields, each after a space. In text fields, spaces, control characters and '%' are
// percent-encoded.

namespace savorywick::steps {

// Throws Error(InvalidInput), which quotes the start of the line.
[[noreturn]] void throwMalformed(std::string_view line);

// Encodes a record field by field.
//
// Example:
//   FieldWriter('C').text(job).number(wallMs).take(); // "C job 17"
class FieldWriter
{
public:
    explicit FieldWriter(char type)
        : m_line(1, type)
    { }

    FieldWriter &text(std::string_view value);
    FieldWriter &number(std::int64_t value);
    FieldWriter &task(const TaskRef &it);
    FieldWriter &worker(const WorkerIncarnation &it);

    // Returns the record. The writer must not be used after that.
    std::string take() { return std::move(m_line); }

private:
    std::string m_line;
};

// Decodes a record field by field, in the order in which they were written. Its functions throw
// Error(InvalidInput) if the field is missing or malformed. The line must outlive the reader.
class FieldReader
{
public:
    explicit FieldReader(std::string_view line)
        : m_line(line)
        , m_rest(line.substr(line.empty() ? 0 : 1))
    { }

    std::string text();
    template<typename Number = std::int64_t>
    Number number();
    bool boolean() { return number<int>() != 0; }
    Millis millis() { return Millis{number()}; }
    // Returns an enumerator between 0 and `last`.
    template<typename Enum>
    Enum enumerator(Enum last);
    // Returns the length of a list. Each element takes more than one byte, so a length above the
    // number of bytes left is malformed.
    std::size_t listLength();
    TaskRef task();
    WorkerIncarnation worker();

    bool atEnd() const { return m_rest.empty(); }
    // Throws if fields are left.
    void expectEnd() const;

private:
    std::string_view nextField();
    char unescapedByte(std::string_view digits) const;

    std::string_view m_line;
    std::string_view m_rest;
};

template<typename Number>
Number FieldReader::number()
{
    const std::string_view field = nextField();
    Number value{};
    const char *end = field.data() + field.size();
    const auto parsed = std::from_chars(field.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        throwMalformed(m_line);
    return value;
}

template<typename Enum>
Enum FieldReader::enumerator(Enum last)
{
    const int value = number<int>();
    if (value < 0 || value > static_cast<int>(last))
        throwMalformed(m_line);
    return static_cast<Enum>(value);
}

} // namespace savorywick::steps
