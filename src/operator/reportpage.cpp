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

// A list on the page is cut after this many lines.
constexpr std::size_t maxLines = 20;

// Returns a span in its two largest units, such as "3 h 2 min".
std::string spanText(std::int64_t ms)
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

std::string msText(double ms)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.0f ms", ms);
    return buf;
}

std::string counted(std::uint64_t n, std::string_view one, std::string_view many)
{
    return std::to_string(n) + " " + std::string(n == 1 ? one : many);
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &it : names)
        text.append(text.empty() ? "" : ", ").append(it);
    return text;
}

// Builds the page section by section.
class Page
{
public:
    explicit Page(const Report &report)
        : m_report(report)
        , m_totals(addUp(report))
    { }

    std::string text()
    {
        entries();
        refused();
        late();
        waiting();
        moved();
        hosts();
        edits();
        figures();
        return head() + m_body;
    }

private:
    std::string head() const
    {
        std::string text = "Report of " + counted(m_report.entries.size(), "entry", "entries")
            + ", each since it started\n\n";
        if (m_findings.empty())
            return text + "ALL IS WELL\n";
        text += "TO LOOK AT\n";
        for (const std::string &it : m_findings)
            text.append("  * ").append(it).append("\n");
        return text;
    }

    void title(std::string_view text)
    {
        m_body.append("\n").append(text).append("\n");
        m_lines = 0;
    }

    void line(const std::string &text)
    {
        m_body.append("  ").append(text).append("\n");
        ++m_lines;
    }

    // Ends a list: says that it is empty, or how much of it was cut.
    void endList(std::size_t size)
    {
        if (size > maxLines)
            line("and " + std::to_string(size - maxLines) + " more; see --json");
        if (m_lines == 0)
            line("none");
    }

    void find(const std::string &text) { m_findings.push_back(text); }

    void advise(std::string_view reason)
    {
        const Advice advice = adviceFor(reason);
        line("    " + std::string(advice.meaning) + "; to do: " + std::string(advice.action));
    }

    void entries()
    {
        bool storeDown = false;
        title("ENTRIES");
        for (const ReportEntry &it : m_report.entries) {
            line(it.entry + " " + entryState(it));
            storeDown = storeDown || !it.storeUp;
        }
        endList(0);
        if (storeDown)
            find("An entry does not reach the table service: nothing new can be kept there; "
                 "repeatable requests go on. Call the platform if all entries say so.");
        for (const std::string &it : m_totals.invalidDocuments)
            find("The newest document of " + it
                 + " is invalid; the one before is in force. Apply a valid one.");
    }

    std::string entryState(const ReportEntry &entry)
    {
        if (entry.unreachable) {
            find(entry.entry + " is listed but does not answer. Replace it if it stays so.");
            return "does not answer";
        }
        if (!entry.ready)
            find(entry.entry + " takes no callers now. Replace it if it stays so.");
        return "in " + entry.availabilityZone + ", " + entry.region + ": "
            + (entry.ready ? "ready" : "not ready") + ", up for " + spanText(entry.uptimeMs)
            + ", holds " + counted(entry.shards.size(), "shard", "shards")
            + (entry.storeUp ? "" : ", does not reach the table service");
    }

    // Lists the counters of a group that are not zero, the largest first.
    std::uint64_t counters(const std::string &group)
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
            line(std::to_string(count) + "  " + name);
            advise(name);
        }
        endList(0);
        return sum;
    }

    void refused()
    {
        title("REFUSED (told to the caller; none of these was run)");
        if (const std::uint64_t n = counters("refused"))
            find(counted(n, "request was", "requests were")
                 + " refused; the reasons stand under REFUSED.");
        title("TRIED AGAIN");
        counters("retried");
        title("NOT TRIED AGAIN");
        counters("retry-denied");
    }

    void late()
    {
        title("URGENT ANSWERS");
        for (const ServiceLatency &it : m_totals.latencies) {
            const std::string target =
                it.targetMs > 0 ? " (target " + std::to_string(it.targetMs) + " ms)" : "";
            line(it.service + ": " + counted(it.answered, "answer", "answers") + "; slowest at "
                 + it.slowestEntry + ": half within " + msText(it.p50Ms) + ", 99 % within "
                 + msText(it.p99Ms) + target + ", 99.9 % within " + msText(it.p999Ms));
            if (it.targetMs > 0 && it.p99Ms > static_cast<double>(it.targetMs))
                find(it.service + " misses its target at " + it.slowestEntry + ": 99 % within "
                     + msText(it.p99Ms) + " instead of " + std::to_string(it.targetMs)
                     + " ms. Add instances, or look for a noisy neighbour under MOVED.");
        }
        for (const auto &[service, count] : m_totals.counters["late"]) {
            if (count > 0)
                line(service + ": " + counted(count, "request", "requests")
                     + " ended after the deadline");
        }
        endList(0);
        if (const std::uint64_t n = m_totals.claims.unknown)
            find(counted(n, "request", "requests")
                 + " that may run once only ended unknown: the callers were told so. Check with "
                   "the service whether they took effect.");
    }

    void waiting()
    {
        title("RUNS AND WATCHERS");
        for (const auto &[state, count] : m_totals.jobs) {
            if (count > 0)
                line(std::to_string(count) + "  " + state);
        }
        for (const LongestWait &it : m_totals.waits) {
            line("longest wait for " + it.reason + ": " + it.id + ", for " + spanText(it.waitedMs)
                 + " (one of " + counted(static_cast<std::uint64_t>(it.shards), "shard", "shards")
                 + ")");
            advise(it.reason);
            if (it.reason == "not-on-any-host")
                find(it.id + " can't start: no live worker is large enough.");
        }
        endList(0);
        if (const std::uint64_t n = m_totals.jobCounters["givenUp"])
            find(counted(n, "run was", "runs were")
                 + " given up after failing on several workers; 'savorywick state run ID' says "
                   "why.");
    }

    void moved()
    {
        title("MOVED (runs that were evicted or lost their worker)");
        for (const char *it :
             {"evictions", "abandonedEvictions", "lapsed", "vanished", "restarts"}) {
            if (m_totals.jobCounters[it] == 0)
                continue;
            line(std::to_string(m_totals.jobCounters[it]) + "  " + it);
            advise(it);
        }
        for (const ReportEntry &entry : m_report.entries) {
            for (const ReportEviction &it : entry.evictions)
                line(it.id + " of " + it.service + " from " + it.worker + " " + spanText(it.agoMs)
                     + " ago: " + it.reason + "; now " + it.state);
        }
        endList(0);
    }

    void hosts()
    {
        title("SUSPECT HOSTS");
        for (const ReportEntry &entry : m_report.entries) {
            for (const ReportHost &it : entry.suspects) {
                line(it.role + " " + it.id + ": " + it.reason + " for " + spanText(it.sinceMs));
                advise(it.reason);
                if (it.reason != "leaving")
                    find(it.role + " " + it.id + " is " + it.reason + ".");
            }
        }
        if (const std::uint64_t n = m_totals.jobCounters["quarantines"])
            line("quarantines so far: " + std::to_string(n));
        endList(0);
    }

    void edits()
    {
        title("PENDING EDITS (kept, but not in force everywhere)");
        for (std::size_t i = 0; i < std::min(maxLines, m_totals.edits.size()); ++i) {
            const PendingEdit &it = m_totals.edits[i];
            line(it.service + " revision " + std::to_string(it.revision) + " is pending on "
                 + joined(it.pendingOn));
        }
        endList(m_totals.edits.size());
        if (!m_totals.edits.empty())
            find(counted(m_totals.edits.size(), "edit is", "edits are")
                 + " pending; if the next report says so too, look at the entries named.");
    }

    void figures()
    {
        title("OTHER FIGURES");
        for (const auto &[group, counts] : m_totals.counters) {
            if (group == "refused" || group == "retried" || group == "retry-denied")
                continue;
            for (const auto &[name, count] : counts)
                figure(group, name, count);
        }
        for (const auto &[name, count] : m_totals.jobCounters) {
            if (count > 0)
                figure("runs and watchers,", name, count);
        }
        endList(0);
    }

    void figure(const std::string &group, const std::string &name, std::uint64_t count)
    {
        std::string text = group;
        line(text.append(" ").append(name).append(": ").append(std::to_string(count)));
    }

    const Report &m_report;
    ReportTotals m_totals;
    std::string m_body;
    std::size_t m_lines = 0;
    std::vector<std::string> m_findings;
};

} // namespace

std::string reportPage(const Report &report)
{
    return Page(report).text();
}

} // namespace savorywick
