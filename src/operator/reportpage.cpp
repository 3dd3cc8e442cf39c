#include "operator/advice.h"
#include "operator/report.h"
#include "operator/reporttotals.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace savorywick {

namespace {

constexpr std::int64_t secondMs = 1'000;
constexpr std::int64_t minuteMs = 60 * secondMs;
constexpr std::int64_t hourMs = 60 * minuteMs;
constexpr std::int64_t dayMs = 24 * hourMs;

// Longer lists on the page are truncated.
constexpr std::size_t maxListLines = 20;

// Returns a duration in its two largest units, such as "3 h 2 min".
std::string formatDuration(std::int64_t ms)
{
    struct Unit
    {
        std::int64_t size;
        const char *name;
        std::int64_t nextSize;
        const char *nextName;
    };
    constexpr std::array<Unit, 3> units{{{dayMs, "d", hourMs, "h"},
                                         {hourMs, "h", minuteMs, "min"},
                                         {minuteMs, "min", secondMs, "s"}}};
    for (const Unit &it : units) {
        if (ms >= it.size)
            return std::to_string(ms / it.size) + " " + it.name + " "
                + std::to_string(ms % it.size / it.nextSize) + " " + it.nextName;
    }
    if (ms >= secondMs)
        return std::to_string(ms / secondMs) + " s";
    return std::to_string(ms) + " ms";
}

std::string formatMilliseconds(double ms)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.0f ms", ms);
    return buf;
}

std::string pluralize(std::uint64_t n, std::string_view one, std::string_view many)
{
    return std::to_string(n) + " " + std::string(n == 1 ? one : many);
}

std::string joinNames(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &it : names)
        text.append(text.empty() ? "" : ", ").append(it);
    return text;
}

// Formats the report section by section and collects the findings that the page opens with.
class ReportFormatter
{
public:
    explicit ReportFormatter(const Report &report)
        : m_report(report)
        , m_totals(computeTotals(report))
    { }

    std::string text()
    {
        addEntriesSection();
        addRefusalsSection();
        addLatencySection();
        addJobsSection();
        addEvictionsSection();
        addSuspectHostsSection();
        addPendingEditsSection();
        addOtherCountersSection();
        return header() + m_body;
    }

private:
    std::string header() const
    {
        std::string text = "Report of " + pluralize(m_report.entries.size(), "entry", "entries")
            + ", each since it started\n\n";
        if (m_findings.empty())
            return text + "ALL IS WELL\n";
        text += "TO LOOK AT\n";
        for (const std::string &it : m_findings)
            text.append("  * ").append(it).append("\n");
        return text;
    }

    void beginSection(std::string_view text)
    {
        m_body.append("\n").append(text).append("\n");
        m_sectionLines = 0;
    }

    void addLine(const std::string &text)
    {
        m_body.append("  ").append(text).append("\n");
        ++m_sectionLines;
    }

    // Ends the list of a section: notes that it is empty, or how many of its `size` items were
    // omitted. `size` is 0 if the section shows all its items.
    void endList(std::size_t size)
    {
        if (size > maxListLines)
            addLine("and " + std::to_string(size - maxListLines) + " more; see --json");
        if (m_sectionLines == 0)
            addLine("none");
    }

    void addFinding(const std::string &text) { m_findings.push_back(text); }

    void addAdvice(std::string_view reason)
    {
        const Advice advice = adviceFor(reason);
        addLine("    " + std::string(advice.meaning) + "; to do: " + std::string(advice.action));
    }

    void addEntriesSection()
    {
        bool storeDown = false;
        beginSection("ENTRIES");
        for (const ReportEntry &it : m_report.entries) {
            addLine(it.entry + " " + entryState(it));
            storeDown = storeDown || !it.storeUp;
        }
        endList(0);
        if (storeDown)
            addFinding(
                "An entry does not reach the table service: it accepts no new work that "
                "has to be stored; repeatable requests still run. Contact the platform team if all "
                "entries are affected.");
        for (const std::string &it : m_totals.invalidDocuments)
            addFinding("The newest document of " + it
                       + " is invalid; the previous one is in force. Apply a valid one.");
    }

    std::string entryState(const ReportEntry &entry)
    {
        if (entry.unreachable) {
            addFinding(entry.entry
                       + " is listed but does not answer. Replace it if this persists.");
            return "does not answer";
        }
        if (!entry.ready)
            addFinding(entry.entry + " takes no callers now. Replace it if this persists.");
        return "in " + entry.availabilityZone + ", " + entry.region + ": "
            + (entry.ready ? "ready" : "not ready") + ", up for " + formatDuration(entry.uptimeMs)
            + ", holds " + pluralize(entry.shards.size(), "shard", "shards")
            + (entry.storeUp ? "" : ", does not reach the table service");
    }

    // Adds the counters of a group that are not zero, in descending order, with advice for each.
    // Returns the sum of the group.
    std::uint64_t addCounters(const std::string &group)
    {
        std::vector<std::pair<std::uint64_t, std::string>> shown;
        std::uint64_t sum = 0;
        for (const auto &[name, count] : m_totals.counters[group]) {
            if (count > 0)
                shown.emplace_back(count, name);
            sum += count;
        }
        std::sort(shown.rbegin(), shown.rend());
        for (const auto &[count, name] : shown) {
            addLine(std::to_string(count) + "  " + name);
            addAdvice(name);
        }
        endList(0);
        return sum;
    }

    void addRefusalsSection()
    {
        beginSection("REFUSED (told to the caller; none of these was run)");
        if (const std::uint64_t n = addCounters("refused"))
            addFinding(pluralize(n, "request was", "requests were")
                       + " refused; see the reasons under REFUSED.");
        beginSection("TRIED AGAIN");
        addCounters("retried");
        beginSection("NOT TRIED AGAIN");
        addCounters("retry-denied");
    }

    void addLatencySection()
    {
        beginSection("URGENT ANSWERS");
        for (const ServiceLatency &it : m_totals.latencies) {
            const std::string target =
                it.targetMs > 0 ? " (target " + std::to_string(it.targetMs) + " ms)" : "";
            addLine(it.service + ": " + pluralize(it.answered, "answer", "answers")
                    + "; slowest at " + it.slowestEntry + ": half within "
                    + formatMilliseconds(it.p50Ms) + ", 99 % within " + formatMilliseconds(it.p99Ms)
                    + target + ", 99.9 % within " + formatMilliseconds(it.p999Ms));
            if (it.targetMs > 0 && it.p99Ms > static_cast<double>(it.targetMs))
                addFinding(it.service + " misses its target at " + it.slowestEntry
                           + ": 99 % within " + formatMilliseconds(it.p99Ms) + " instead of "
                           + std::to_string(it.targetMs)
                           + " ms. Add instances, or look for a noisy neighbour under MOVED.");
        }
        for (const auto &[service, count] : m_totals.counters["late"]) {
            if (count > 0)
                addLine(service + ": " + pluralize(count, "request", "requests")
                        + " ended after the deadline");
        }
        endList(0);
        if (const std::uint64_t n = m_totals.claims.unknown)
            addFinding(
                pluralize(n, "request", "requests")
                + " that may run once only ended unknown: the callers were told so. Check with "
                  "the service whether they took effect.");
    }

    void addJobsSection()
    {
        beginSection("RUNS AND WATCHERS");
        for (const auto &[state, count] : m_totals.jobs) {
            if (count > 0)
                addLine(std::to_string(count) + "  " + state);
        }
        for (const LongestWait &it : m_totals.waits) {
            addLine("longest wait for " + it.reason + ": " + it.id + ", for "
                    + formatDuration(it.waitedMs) + " (one of "
                    + pluralize(static_cast<std::uint64_t>(it.shards), "shard", "shards") + ")");
            addAdvice(it.reason);
            if (it.reason == "not-on-any-host")
                addFinding(it.id + " can't start: no live worker is large enough.");
        }
        endList(0);
        if (const std::uint64_t n = m_totals.jobCounters["givenUp"])
            addFinding(
                pluralize(n, "run was", "runs were")
                + " given up after failing on several workers; 'savorywick state run ID' says "
                  "why.");
    }

    void addEvictionsSection()
    {
        beginSection("MOVED (runs that were evicted or lost their worker)");
        for (const char *it :
             {"evictions", "abandonedEvictions", "lapsed", "vanished", "restarts"}) {
            if (m_totals.jobCounters[it] == 0)
                continue;
            addLine(std::to_string(m_totals.jobCounters[it]) + "  " + it);
            addAdvice(it);
        }
        for (const ReportEntry &entry : m_report.entries) {
            for (const ReportEviction &it : entry.evictions)
                addLine(it.id + " of " + it.service + " from " + it.worker + " "
                        + formatDuration(it.agoMs) + " ago: " + it.reason + "; now " + it.state);
        }
        endList(0);
    }

    void addSuspectHostsSection()
    {
        beginSection("SUSPECT HOSTS");
        for (const ReportEntry &entry : m_report.entries) {
            for (const ReportSuspectHost &it : entry.suspects) {
                addLine(it.role + " " + it.id + ": " + it.reason + " for "
                        + formatDuration(it.sinceMs));
                addAdvice(it.reason);
                if (it.reason != "leaving")
                    addFinding(it.role + " " + it.id + " is " + it.reason + ".");
            }
        }
        if (const std::uint64_t n = m_totals.jobCounters["quarantines"])
            addLine("quarantines so far: " + std::to_string(n));
        endList(0);
    }

    void addPendingEditsSection()
    {
        beginSection("PENDING EDITS (kept, but not in force everywhere)");
        for (std::size_t i = 0; i < std::min(maxListLines, m_totals.edits.size()); ++i) {
            const PendingEdit &it = m_totals.edits[i];
            addLine(it.service + " revision " + std::to_string(it.revision) + " is pending on "
                    + joinNames(it.pendingOn));
        }
        endList(m_totals.edits.size());
        if (!m_totals.edits.empty())
            addFinding(pluralize(m_totals.edits.size(), "edit is", "edits are")
                       + " pending; if the next report still lists them, check the entries named.");
    }

    void addOtherCountersSection()
    {
        beginSection("OTHER FIGURES");
        for (const auto &[group, counts] : m_totals.counters) {
            if (group == "refused" || group == "retried" || group == "retry-denied")
                continue;
            for (const auto &[name, count] : counts)
                addCounterLine(group, name, count);
        }
        for (const auto &[name, count] : m_totals.jobCounters) {
            if (count > 0)
                addCounterLine("runs and watchers,", name, count);
        }
        endList(0);
    }

    void addCounterLine(const std::string &group, const std::string &name, std::uint64_t count)
    {
        std::string text = group;
        addLine(text.append(" ").append(name).append(": ").append(std::to_string(count)));
    }

    const Report &m_report;
    ReportTotals m_totals;
    std::string m_body;
    std::size_t m_sectionLines = 0;
    std::vector<std::string> m_findings;
};

} // namespace

std::string formatReport(const Report &report)
{
    return ReportFormatter(report).text();
}

} // namespace savorywick
