#include "operator/advice.h"
#include "operator/report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <utility>

namespace savorywick {

namespace {

constexpr std::int64_t secondMs = 1'000;
constexpr std::int64_t minuteMs = 60 * secondMs;
constexpr std::int64_t hourMs = 60 * minuteMs;
constexpr std::int64_t dayMs = 24 * hourMs;

// An edit is in force everywhere within this time if all is well.
constexpr std::int64_t editBoundMs = 5 * secondMs;

// Groups of counters that name refusals and retries; the others are shown as plain figures.
constexpr std::string_view refusedGroup = "refused";
constexpr std::string_view retriedGroup = "retried";

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

std::string timeText(std::int64_t wallClockMs)
{
    const auto seconds = static_cast<std::time_t>(wallClockMs / secondMs);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char buf[40];
    std::strftime(buf, sizeof buf, "%Y-%m-%d %H:%M:%S UTC", &parts);
    return buf;
}

std::string msText(double ms)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.0f ms", ms);
    return buf;
}

std::string counted(std::uint64_t n, std::string_view noun)
{
    return std::to_string(n) + " " + std::string(noun) + (n == 1 ? "" : "s");
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
    { }

    std::string text()
    {
        refused();
        late();
        waiting();
        evicted();
        hosts();
        edits();
        figures();
        return head() + m_body;
    }

private:
    std::string head() const
    {
        std::string text = "Report of " + m_report.entry + ", made " + timeText(m_report.madeAtMs)
            + "\nUp for " + spanText(m_report.uptimeMs) + ", holds "
            + counted(static_cast<std::uint64_t>(m_report.shardsHeld), "shard") + "\n\n";
        std::vector<std::string> findings = states();
        findings.insert(findings.end(), m_findings.begin(), m_findings.end());
        if (findings.empty())
            return text + "ALL IS WELL\n";
        text += "TO LOOK AT\n";
        for (const std::string &it : findings)
            text.append("  * ").append(it).append("\n");
        return text;
    }

    std::vector<std::string> states() const
    {
        std::vector<std::string> found;
        if (!m_report.storeUp)
            found.emplace_back("The table service does not answer: nothing new can be kept; "
                               "repeatable requests go on. Call the platform.");
        if (!m_report.membershipUp)
            found.emplace_back("The membership list does not answer: the last one is used. "
                               "Call the platform.");
        if (m_report.mustReread)
            found.emplace_back("This entry was frozen and serves again once it has read the "
                               "documents. If it stays so, replace the host.");
        for (const std::string &it : m_report.invalidDocuments)
            found.push_back("The newest document of " + it
                            + " is invalid; the one before is in force. Apply a valid one.");
        return found;
    }

    void title(std::string_view text) { m_body.append("\n").append(text).append("\n"); }
    void line(const std::string &text) { m_body.append("  ").append(text).append("\n"); }
    void find(const std::string &text) { m_findings.push_back(text); }

    void advise(std::string_view reason)
    {
        const Advice advice = adviceFor(reason);
        line("    " + std::string(advice.meaning) + "; to do: " + std::string(advice.action));
    }

    void counters(std::string_view group)
    {
        std::vector<ReportCounter> shown;
        for (const ReportCounter &it : m_report.counters) {
            if (it.group == group && it.count > 0)
                shown.push_back(it);
        }
        std::stable_sort(shown.begin(), shown.end(),
                         [](const auto &a, const auto &b) { return a.count > b.count; });
        for (const ReportCounter &it : shown) {
            line(std::to_string(it.count) + "  " + it.name);
            advise(it.name);
        }
        if (shown.empty())
            line("none");
    }

    std::uint64_t total(std::string_view group) const
    {
        std::uint64_t sum = 0;
        for (const ReportCounter &it : m_report.counters)
            sum += it.group == group ? it.count : 0;
        return sum;
    }

    void refused()
    {
        title("REFUSED (told to the caller; none of these was run)");
        counters(refusedGroup);
        if (const std::uint64_t n = total(refusedGroup))
            find(counted(n, "request") + " refused; the reasons stand under REFUSED.");
        title("TRIED AGAIN");
        counters(retriedGroup);
    }

    void late()
    {
        title("LATE");
        for (const ReportLatency &it : m_report.latencies)
            latency(it);
        if (m_report.latencies.empty())
            line("no urgent requests so far");
    }

    void latency(const ReportLatency &it)
    {
        const std::string target =
            it.targetMs > 0 ? " (target " + std::to_string(it.targetMs) + " ms)" : "";
        line(it.service + ": " + std::to_string(it.late) + " late of "
             + counted(it.answered, "answer") + "; half within " + msText(it.p50Ms)
             + ", 99 % within " + msText(it.p99Ms) + target + ", 99.9 % within "
             + msText(it.p999Ms));
        if (it.late > 0)
            find(it.service + " was late " + counted(it.late, "time") + ".");
        if (it.targetMs > 0 && it.p99Ms > static_cast<double>(it.targetMs))
            find(it.service + " misses its target: 99 % within " + msText(it.p99Ms) + " instead of "
                 + std::to_string(it.targetMs) + " ms. Add instances, or look at EVICTED and "
                 + "SUSPECT HOSTS.");
    }

    void waiting()
    {
        title("WAITING");
        for (const ReportWaiting &it : m_report.waiting) {
            line(counted(it.count, it.kind) + " " + it.className + " of " + it.service + ": "
                 + it.reason + ", the oldest for " + spanText(it.oldestMs) + " (" + it.oldestId
                 + ")");
            advise(it.reason);
            if (it.reason == "not-on-any-host")
                find(counted(it.count, it.kind) + " " + it.className + " of " + it.service
                     + " can't start: no live worker is large enough.");
        }
        if (m_report.waiting.empty())
            line("none");
    }

    void evicted()
    {
        title("EVICTED");
        for (const ReportEviction &it : m_report.evictions) {
            line(it.id + " of " + it.service + " from " + it.worker + " " + spanText(it.agoMs)
                 + " ago: " + it.reason + "; now " + it.state);
            advise(it.reason);
        }
        if (m_report.evictions.empty())
            line("none");
    }

    void hosts()
    {
        title("SUSPECT HOSTS");
        for (const ReportHost &it : m_report.hosts) {
            line(it.role + " " + it.id + ": " + it.reason + " for " + spanText(it.sinceMs));
            advise(it.reason);
            if (it.reason != "leaving")
                find(it.role + " " + it.id + " is " + it.reason + ".");
        }
        if (m_report.hosts.empty())
            line("none");
    }

    void edits()
    {
        title("PENDING EDITS (kept, but not yet in force everywhere)");
        for (const ReportEdit &it : m_report.edits) {
            const std::string what = it.service + " revision " + std::to_string(it.revision)
                + " has been pending for " + spanText(it.ageMs) + " on " + joined(it.pendingOn);
            line(what);
            if (it.ageMs > editBoundMs)
                find(what
                     + ". Look at these entries; replace the ones that are frozen or cut off.");
        }
        if (m_report.edits.empty())
            line("none");
    }

    void figures()
    {
        title("OTHER FIGURES");
        bool any = false;
        for (const ReportCounter &it : m_report.counters) {
            if (it.group == refusedGroup || it.group == retriedGroup)
                continue;
            line(it.group + " " + it.name + ": " + std::to_string(it.count));
            any = true;
        }
        if (!any)
            line("none");
    }

    const Report &m_report;
    std::string m_body;
    std::vector<std::string> m_findings;
};

} // namespace

std::string reportPage(const Report &report)
{
    return Page(report).text();
}

} // namespace savorywick
