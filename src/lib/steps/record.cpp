#include "savorywick/steps/record.h"

#include "savorywick/errors.h"

#include <charconv>
#include <cmath>
#include <cstdio>

namespace savorywick::steps {

namespace {

// A line is a kind's letter and fields, each behind a space. Texts escape what would end a field.
constexpr std::string_view emptyText = "%-";

[[noreturn]] void refuse(std::string_view line)
{
    throw Error(ErrorKind::InvalidInput,
                "'" + std::string(line.substr(0, 40)) + "' is no record of a job",
                "restore the shard's journal, or read it with the version that wrote it");
}

bool mustEscape(char c)
{
    return c == ' ' || c == '%' || static_cast<unsigned char>(c) < ' ';
}

// Builds a line field by field.
class Writer
{
public:
    explicit Writer(char kind)
        : m_line(1, kind)
    { }

    Writer &text(std::string_view value)
    {
        m_line += ' ';
        if (value.empty())
            m_line += emptyText;
        for (const char c : value) {
            if (!mustEscape(c)) {
                m_line += c;
                continue;
            }
            char buf[4];
            std::snprintf(buf, sizeof buf, "%%%02X", static_cast<unsigned char>(c));
            m_line += buf;
        }
        return *this;
    }

    Writer &number(std::int64_t value)
    {
        m_line += ' ';
        m_line += std::to_string(value);
        return *this;
    }

    Writer &task(const TaskRef &it)
    {
        return text(it.job).number(it.occurrence).number(it.step).number(it.index);
    }

    Writer &worker(const WorkerLife &it) { return text(it.id).number(it.bornWallMs); }

    std::string take() { return std::move(m_line); }

private:
    std::string m_line;
};

// Reads a line field by field. Throws Error(InvalidInput) where a field is missing or wrong.
class Reader
{
public:
    explicit Reader(std::string_view line)
        : m_line(line)
        , m_rest(line.substr(line.empty() ? 0 : 1))
    { }

    std::string text()
    {
        const std::string_view field = next();
        std::string value;
        if (field == emptyText)
            return value;
        for (std::size_t i = 0; i < field.size(); ++i) {
            if (field[i] != '%') {
                value += field[i];
                continue;
            }
            value += escaped(field.substr(i + 1, 2));
            i += 2;
        }
        return value;
    }

    template<typename Number = std::int64_t>
    Number number()
    {
        const std::string_view field = next();
        Number value{};
        const char *end = field.data() + field.size();
        const auto parsed = std::from_chars(field.data(), end, value);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            refuse(m_line);
        return value;
    }

    bool flag() { return number<int>() != 0; }
    Millis millis() { return Millis{number()}; }

    template<typename Enum>
    Enum choice(Enum last)
    {
        const int value = number<int>();
        if (value < 0 || value > static_cast<int>(last))
            refuse(m_line);
        return static_cast<Enum>(value);
    }

    // Returns the length of a list that the rest of the line could hold.
    std::size_t length()
    {
        const auto n = number<std::size_t>();
        if (n > m_rest.size())
            refuse(m_line);
        return n;
    }

    TaskRef task()
    {
        TaskRef it;
        it.job = text();
        it.occurrence = number<int>();
        it.step = number<int>();
        it.index = number<int>();
        return it;
    }

    WorkerLife worker()
    {
        WorkerLife it;
        it.id = text();
        it.bornWallMs = number();
        return it;
    }

    void end() const
    {
        if (!m_rest.empty())
            refuse(m_line);
    }

private:
    std::string_view next()
    {
        if (m_rest.empty() || m_rest.front() != ' ')
            refuse(m_line);
        m_rest.remove_prefix(1);
        const std::string_view field = m_rest.substr(0, m_rest.find(' '));
        m_rest.remove_prefix(field.size());
        if (field.empty())
            refuse(m_line);
        return field;
    }

    char escaped(std::string_view digits) const
    {
        int value = 0;
        const char *end = digits.data() + digits.size();
        const auto parsed = std::from_chars(digits.data(), end, value, 16);
        if (digits.size() != 2 || parsed.ec != std::errc() || parsed.ptr != end)
            refuse(m_line);
        return static_cast<char>(value);
    }

    std::string_view m_line;
    std::string_view m_rest;
};

void writeStep(Writer &w, const StepSpec &s)
{
    w.number(s.count).number(s.demand.milliCores).number(s.demand.memoryMb);
    w.number(s.demand.accelerators).number(s.estimate.count());
    w.number(static_cast<std::int64_t>(s.after.size()));
    for (const int it : s.after)
        w.number(it);
    w.number(s.checkpointing).number(s.gang).number(s.sameRack).number(s.allowDuplicates);
    w.number(s.standing).number(s.fillIn);
    w.text(s.neededLabel).text(s.preferredRack).text(s.image);
    w.number(s.maxPerWorker).number(s.latencyTarget.count()).number(s.maxUnavailable);
}

StepSpec readStep(Reader &r)
{
    StepSpec s;
    s.count = r.number<int>();
    s.demand.milliCores = r.number<int>();
    s.demand.memoryMb = r.number<int>();
    s.demand.accelerators = r.number<int>();
    s.estimate = r.millis();
    for (std::size_t n = r.length(); n > 0; --n)
        s.after.push_back(r.number<int>());
    s.checkpointing = r.flag();
    s.gang = r.flag();
    s.sameRack = r.flag();
    s.allowDuplicates = r.flag();
    s.standing = r.flag();
    s.fillIn = r.flag();
    s.neededLabel = r.text();
    s.preferredRack = r.text();
    s.image = r.text();
    s.maxPerWorker = r.number<int>();
    s.latencyTarget = r.millis();
    s.maxUnavailable = r.number<int>();
    return s;
}

// The slack factor travels in thousandths, so that the text is the same everywhere.
constexpr double perThousand = 1'000.0;

struct Encoder
{
    std::string operator()(const JobAccepted &it) const
    {
        Writer w('J');
        const QueuePolicy &p = it.spec.policy;
        w.text(it.spec.id).number(it.wallMs).text(p.queue).text(p.service);
        w.number(p.priority).number(p.maxAttempts);
        w.number(std::llround(p.slackFactor * perThousand));
        w.number(p.targetDuration.count());
        const Schedule &s = it.spec.schedule;
        w.number(s.count).number(s.firstWallMs).number(s.interval.count());
        w.number(static_cast<std::int64_t>(it.spec.steps.size()));
        for (const StepSpec &step : it.spec.steps)
            writeStep(w, step);
        return w.text(it.spec.payload).take();
    }
    std::string operator()(const RunStarted &it) const
    {
        return Writer('S').task(it.task).number(it.run).worker(it.worker).take();
    }
    std::string operator()(const RunEnded &it) const
    {
        Writer w('E');
        w.task(it.task).number(it.run).number(static_cast<int>(it.how));
        return w.text(it.checkpoint).number(it.wallMs).take();
    }
    std::string operator()(const JobCancelled &it) const
    {
        return Writer('C').text(it.job).number(it.wallMs).take();
    }
    std::string operator()(const JobForgotten &it) const { return Writer('F').text(it.job).take(); }
    std::string operator()(const TaskRestored &it) const
    {
        Writer w('T');
        w.task(it.task).number(it.state.lastRun).number(it.state.failures);
        w.number(it.state.lastFailedRun).number(it.state.done);
        w.text(it.state.checkpoint).number(static_cast<std::int64_t>(it.state.runs.size()));
        for (const ActiveRun &run : it.state.runs)
            w.number(run.number).worker(run.worker);
        return w.take();
    }
    std::string operator()(const JobRestored &it) const
    {
        Writer w('R');
        return w.text(it.job).number(static_cast<int>(it.state)).number(it.endedWallMs).take();
    }
};

JobAccepted readAccepted(Reader &r)
{
    JobAccepted it;
    QueuePolicy &p = it.spec.policy;
    it.spec.id = r.text();
    it.wallMs = r.number();
    p.queue = r.text();
    p.service = r.text();
    p.priority = r.number<int>();
    p.maxAttempts = r.number<int>();
    p.slackFactor = static_cast<double>(r.number()) / perThousand;
    p.targetDuration = r.millis();
    it.spec.schedule.count = r.number<int>();
    it.spec.schedule.firstWallMs = r.number();
    it.spec.schedule.interval = r.millis();
    for (std::size_t n = r.length(); n > 0; --n)
        it.spec.steps.push_back(readStep(r));
    it.spec.payload = r.text();
    return it;
}

RunEnded readEnded(Reader &r)
{
    RunEnded it;
    it.task = r.task();
    it.run = r.number<int>();
    it.how = r.choice(RunEnd::NeverStarted);
    it.checkpoint = r.text();
    it.wallMs = r.number();
    return it;
}

TaskRestored readTask(Reader &r)
{
    TaskRestored it;
    it.task = r.task();
    it.state.lastRun = r.number<int>();
    it.state.failures = r.number<int>();
    it.state.lastFailedRun = r.number<int>();
    it.state.done = r.flag();
    it.state.checkpoint = r.text();
    for (std::size_t n = r.length(); n > 0; --n) {
        ActiveRun run;
        run.number = r.number<int>();
        run.worker = r.worker();
        it.state.runs.push_back(run);
    }
    return it;
}

Record readRecord(std::string_view line, Reader &r)
{
    switch (line.empty() ? '\0' : line.front()) {
    case 'J':
        return readAccepted(r);
    case 'S': {
        RunStarted it;
        it.task = r.task();
        it.run = r.number<int>();
        it.worker = r.worker();
        return it;
    }
    case 'E':
        return readEnded(r);
    case 'C': {
        JobCancelled it;
        it.job = r.text();
        it.wallMs = r.number();
        return it;
    }
    case 'F':
        return JobForgotten{r.text()};
    case 'T':
        return readTask(r);
    case 'R': {
        JobRestored it;
        it.job = r.text();
        it.state = r.choice(JobState::Cancelled);
        it.endedWallMs = r.number();
        return it;
    }
    default:
        refuse(line);
    }
}

} // namespace

std::string encode(const Record &record)
{
    return std::visit(Encoder{}, record);
}

Record decode(std::string_view line)
{
    Reader r(line);
    Record record = readRecord(line, r);
    r.end();
    return record;
}

} // namespace savorywick::steps
