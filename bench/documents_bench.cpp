// Measures what the service documents cost one entry: bytes and reads a second, by design and by
// number of services, with 45,000 edits a day. One entry stands for all, since each polls alike.
//
// Usage: documents_bench   (JSON lines on standard output, a table on standard error)

#include "savorywick/activedocuments.h"
#include "savorywick/documentstore.h"

#include <json/json.h>

#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace savorywick;

namespace {

constexpr double editsPerDay = 45'000;
constexpr double secondsPerDay = 86'400;
constexpr int simulatedSeconds = 3'600;
constexpr int entries = 240;
constexpr double limitBytesPerSecond = 28 * 1'024;

// What HTTP adds to the bodies of one call: request line, status line and headers.
constexpr std::size_t httpOverheadBytes = 300;

// The bodies of one push between entries and of its reply. On the average over all entries, an
// entry sends as many pushes as it receives.
constexpr std::size_t pushBodyBytes = 180;

std::string documentText(const std::string &service, int round)
{
    std::string text = "// Round " + std::to_string(round) + "\n{\n    \"service\": \"" + service
        + "\", \"team\": \"team\", \"upstreamService\": \"" + service + "\",\n"
        + "    \"latencyTargetMs\": 300,\n    \"requests\": {\n";
    for (int i = 0; i < 4; ++i)
        text += std::string(i == 0 ? "" : ",\n") + "        \"class-" + std::to_string(i)
            + "\": {\"deadlineLimitMs\": 2000, \"repeatable\": true, \"concurrency\": 200}";
    text += "\n    },\n    \"runs\": {\n";
    for (int i = 0; i < 4; ++i)
        text += std::string(i == 0 ? "" : ",\n") + "        \"run-" + std::to_string(i)
            + "\": {\"demand\": {\"cores\": 16, \"memoryMb\": 65536}, \"expectedMs\": 7200000, "
              "\"priority\": 6, \"checkpointable\": true}";
    return text + "\n    },\n    \"quotas\": {\"openRuns\": 2000, \"cores\": 3000}\n}\n";
}

// Counts what one entry sends and receives.
struct Traffic
{
    std::uint64_t reads = 0;
    std::uint64_t bytes = 0;
};

std::string compact(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

// The table in memory; reads are counted at their size on the platform's wire.
class MeteredTable
{
public:
    void apply(const Transaction &transaction)
    {
        ++m_version;
        for (const Write &it : transaction.writes) {
            m_rows.erase(it.key);
            if (it.value)
                m_rows[it.key] = {it.key, *it.value, m_version};
        }
    }

    std::vector<Row> read(const std::vector<std::string> &keys, Traffic &traffic) const
    {
        std::vector<Row> rows;
        Json::Value request;
        for (const std::string &it : keys) {
            request["keys"].append(it);
            rows.push_back(row(it));
        }
        meter(request, rows, traffic);
        return rows;
    }

    std::vector<Row> scan(std::string_view prefix, const std::string &after, std::size_t limit,
                          Traffic &traffic) const
    {
        constexpr std::size_t rowsPerScan = 500;
        std::vector<Row> all;
        std::vector<Row> part;
        std::string from = after.empty() ? std::string(prefix) : after;
        do {
            part.clear();
            auto it = m_rows.upper_bound(from);
            for (; it != m_rows.end() && it->first.starts_with(prefix); ++it) {
                if (part.size() == rowsPerScan || all.size() + part.size() == limit)
                    break;
                part.push_back(it->second);
            }
            Json::Value request;
            request["prefix"] = std::string(prefix);
            request["after"] = from;
            meter(request, part, traffic);
            if (!part.empty())
                from = part.back().key;
            all.insert(all.end(), part.begin(), part.end());
        } while (part.size() == rowsPerScan);
        return all;
    }

    Row row(const std::string &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? Row{key, "", 0} : it->second;
    }

private:
    static void meter(const Json::Value &request, const std::vector<Row> &rows, Traffic &traffic)
    {
        Json::Value answer;
        for (const Row &it : rows) {
            Json::Value json;
            json["key"] = it.key;
            json["value"] = it.value;
            json["version"] = Json::UInt64(it.version);
            answer["rows"].append(std::move(json));
        }
        ++traffic.reads;
        traffic.bytes += compact(request).size() + compact(answer).size() + httpOverheadBytes;
    }

    std::map<std::string, Row> m_rows;
    std::uint64_t m_version = 0;
};

std::string serviceName(int n)
{
    return "service-" + std::to_string(n);
}

void edit(MeteredTable &table, const std::string &service, int round)
{
    Traffic ignored;
    const auto base = parseDocumentRow(table.row(documentKey(service))).revision;
    DocumentEdit edit({service, base, documentText(service, round), "team", 1'780'000'000'000,
                       "0123456789abcdef0123456789abcdef"});
    if (const auto transaction = edit.onRows(table.read(edit.keys(), ignored)))
        table.apply(*transaction);
}

// How an entry learns of edits.
enum class Design {
    Index, // The product's: index row, rows of edits, push.
    FullIndex, // One row that lists the revision of every service.
    ScanAll, // Reads every document at each poll.
};

const char *toString(Design design)
{
    switch (design) {
    case Design::Index:
        return "index";
    case Design::FullIndex:
        return "full-index";
    case Design::ScanAll:
        return "scan-all";
    }
    return "unnamed";
}

// One poll of the product's design.
void pollIndex(const MeteredTable &table, ActiveDocuments &documents, Traffic &traffic)
{
    const Row index = table.read({std::string(documentIndexKey)}, traffic).front();
    PollDecision decision = documents.onIndexRow(index);
    if (decision.action == PollAction::Nothing)
        return;
    if (decision.action == PollAction::ScanEdits)
        decision = documents.onEditRows(
            decision, table.scan(editKeyPrefix, decision.scanAfter, decision.scanCount, traffic));
    std::vector<Row> rows;
    if (decision.action == PollAction::ScanAll)
        rows = table.scan(documentKeyPrefix, "", 1'000'000, traffic);
    else if (!decision.keys.empty())
        rows = table.read(decision.keys, traffic);
    for (const Row &it : rows)
        documents.apply(it);
    documents.completePoll(decision);
}

// One poll of the design that lists every service, whose row is made up here.
void pollFullIndex(const MeteredTable &table, int services, int changed, Traffic &traffic)
{
    Json::Value list;
    for (int i = 0; i < services; ++i)
        list[serviceName(i)] = 3;
    MeteredTable fullIndex;
    fullIndex.apply({{}, {{"all", compact(list)}}});
    fullIndex.read({"all"}, traffic);
    for (int i = 0; i < changed; ++i)
        table.read({documentKey(serviceName(i % services))}, traffic);
}

struct Measured
{
    double bytesPerSecond = 0;
    double readsPerSecond = 0;
    double startBytes = 0;
    double burstBytes = 0; // Of the poll after 200 edits at once; the product's design only.
};

// Simulates an hour of polls once a second. With pushes each edit costs one row read at once.
Measured measure(Design design, int services, double editsADay)
{
    constexpr int burst = 200;
    std::mt19937 random(20261203);
    std::poisson_distribution<int> arrivals(editsADay / secondsPerDay);
    std::uniform_int_distribution<int> anyService(0, services - 1);
    MeteredTable table;
    for (int i = 0; i < services; ++i)
        edit(table, serviceName(i), 0);
    ActiveDocuments documents;
    Traffic start;
    pollIndex(table, documents, start);
    Traffic traffic;
    // A made-up poll costs the same each time, so that a few stand for the hour.
    const int seconds = design == Design::Index ? simulatedSeconds : 20;
    for (int second = 0; second < seconds; ++second) {
        const int changed = editsADay > 0 ? arrivals(random) : 0;
        for (int i = 0; i < changed; ++i) {
            const std::string service = serviceName(anyService(random));
            edit(table, service, second);
            if (design != Design::Index)
                continue;
            traffic.bytes += 2 * (pushBodyBytes + httpOverheadBytes);
            documents.apply(table.read({documentKey(service)}, traffic).front());
        }
        if (design == Design::Index)
            pollIndex(table, documents, traffic);
        else if (design == Design::FullIndex)
            pollFullIndex(table, services, changed, traffic);
        else
            table.scan(documentKeyPrefix, "", 1'000'000, traffic);
    }
    Traffic burstTraffic;
    for (int i = 0; i < burst && design == Design::Index; ++i)
        edit(table, serviceName(anyService(random)), i);
    if (design == Design::Index)
        pollIndex(table, documents, burstTraffic);
    return {static_cast<double>(traffic.bytes) / seconds,
            static_cast<double>(traffic.reads) / seconds, static_cast<double>(start.bytes),
            static_cast<double>(burstTraffic.bytes)};
}

void line(const std::string &name, const char *metric, double value)
{
    std::printf(R"({"bench":"documents","case":"%s","metric":"%s","value":%.3f})"
                "\n",
                name.c_str(), metric, value);
}

void run(Design design, int services, double editsADay)
{
    const Measured m = measure(design, services, editsADay);
    const std::string name = std::string(toString(design)) + "/" + std::to_string(services)
        + " services/" + std::to_string(static_cast<int>(editsADay)) + " edits a day";
    line(name, "bytes_per_entry_second", m.bytesPerSecond);
    line(name, "reads_per_entry_second", m.readsPerSecond);
    line(name, "share_of_limit", m.bytesPerSecond / limitBytesPerSecond);
    line(name, "reads_per_second_of_all_entries", m.readsPerSecond * entries);
    if (design == Design::Index) {
        line(name, "bytes_at_start", m.startBytes);
        line(name, "bytes_after_200_edits_at_once", m.burstBytes);
    }
    std::fprintf(stderr, "%-10s %8d %12.0f %12.0f %8.2f %10.0f %12.0f %14.0f\n", toString(design),
                 services, editsADay, m.bytesPerSecond, m.readsPerSecond,
                 m.readsPerSecond * entries, m.startBytes, m.burstBytes);
}

} // namespace

int main()
{
    std::fprintf(stderr, "%-10s %8s %12s %12s %8s %10s %12s %14s\n", "design", "services",
                 "edits/day", "B/entry/s", "reads/s", "all reads/s", "B at start", "B after burst");
    for (const int services : {2, 570, 10'000}) {
        run(Design::Index, services, 0);
        run(Design::Index, services, editsPerDay);
        run(Design::FullIndex, services, editsPerDay);
        run(Design::ScanAll, services, editsPerDay);
    }
    return 0;
}
