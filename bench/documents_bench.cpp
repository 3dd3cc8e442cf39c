// Measures the bytes and reads per second that distributing service documents costs an entry, by
// design and number of services, at 45,000 edits a day. One entry is simulated, as all poll alike.
//
// Prints JSON lines on standard output and a table on standard error.

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

constexpr double nominalEditsPerDay = 45'000;
constexpr double secondsPerDay = 86'400;
constexpr int simulatedSeconds = 3'600;
constexpr int entryCount = 240;
constexpr double entryLimitBytesPerSecond = 28 * 1'024;

// HTTP overhead of one call in addition to the bodies: request line, status line and headers.
constexpr std::size_t httpOverheadBytes = 300;

// Size of the bodies of one push between entries and of its reply. On average, an entry sends as
// many pushes as it receives.
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

// Reads and bytes that one entry exchanges.
struct Traffic
{
    std::uint64_t reads = 0;
    std::uint64_t bytes = 0;
};

std::string toCompactJson(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

// In-memory table that counts reads at their size in the platform's wire format.
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
        traffic.bytes +=
            toCompactJson(request).size() + toCompactJson(answer).size() + httpOverheadBytes;
    }

    std::map<std::string, Row> m_rows;
    std::uint64_t m_version = 0;
};

std::string serviceName(int n)
{
    return "service-" + std::to_string(n);
}

void applyEdit(MeteredTable &table, const std::string &service, int round)
{
    Traffic ignored;
    const auto base = parseDocumentRow(table.row(documentKey(service))).revision;
    DocumentEdit edit({service, base, documentText(service, round), "team", 1'780'000'000'000,
                       "0123456789abcdef0123456789abcdef"});
    if (const auto transaction = edit.onRows(table.read(edit.keys(), ignored)))
        table.apply(*transaction);
}

// Ways for an entry to detect edits.
enum class Design {
    Index, // The library's design: index row, edit rows and pushes.
    FullIndex, // A single row lists the revisions of all services.
    ScanAll, // Every poll reads all documents.
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

// One poll of Design::Index.
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

// One poll of Design::FullIndex, with a synthetic index row.
void pollFullIndex(const MeteredTable &table, int services, int changed, Traffic &traffic)
{
    Json::Value list;
    for (int i = 0; i < services; ++i)
        list[serviceName(i)] = 3;
    MeteredTable fullIndex;
    fullIndex.apply({{}, {{"all", toCompactJson(list)}}});
    fullIndex.read({"all"}, traffic);
    for (int i = 0; i < changed; ++i)
        table.read({documentKey(serviceName(i % services))}, traffic);
}

struct DesignCost
{
    double bytesPerSecond = 0;
    double readsPerSecond = 0;
    double initialLoadBytes = 0;
    double burstPollBytes = 0; // Of the poll after 200 edits at once; Design::Index only.
};

// Simulates polls once per second for an hour. Under Design::Index, a push makes the entry read
// each edited row at once.
DesignCost measure(Design design, int services, double editsPerDay)
{
    constexpr int burst = 200;
    std::mt19937 random(20261203);
    std::poisson_distribution<int> arrivals(editsPerDay / secondsPerDay);
    std::uniform_int_distribution<int> anyService(0, services - 1);
    MeteredTable table;
    for (int i = 0; i < services; ++i)
        applyEdit(table, serviceName(i), 0);
    ActiveDocuments documents;
    Traffic initialLoad;
    pollIndex(table, documents, initialLoad);
    Traffic traffic;
    // Polls of the other designs cost the same each time, so a few seconds are representative.
    const int seconds = design == Design::Index ? simulatedSeconds : 20;
    for (int second = 0; second < seconds; ++second) {
        const int changed = editsPerDay > 0 ? arrivals(random) : 0;
        for (int i = 0; i < changed; ++i) {
            const std::string service = serviceName(anyService(random));
            applyEdit(table, service, second);
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
        applyEdit(table, serviceName(anyService(random)), i);
    if (design == Design::Index)
        pollIndex(table, documents, burstTraffic);
    return {static_cast<double>(traffic.bytes) / seconds,
            static_cast<double>(traffic.reads) / seconds, static_cast<double>(initialLoad.bytes),
            static_cast<double>(burstTraffic.bytes)};
}

void reportMetric(const std::string &name, const char *metric, double value)
{
    std::printf(R"({"bench":"documents","case":"%s","metric":"%s","value":%.3f})"
                "\n",
                name.c_str(), metric, value);
}

void reportDesign(Design design, int services, double editsPerDay)
{
    const DesignCost cost = measure(design, services, editsPerDay);
    const std::string name = std::string(toString(design)) + "/" + std::to_string(services)
        + " services/" + std::to_string(static_cast<int>(editsPerDay)) + " edits a day";
    reportMetric(name, "bytes_per_entry_second", cost.bytesPerSecond);
    reportMetric(name, "reads_per_entry_second", cost.readsPerSecond);
    reportMetric(name, "share_of_limit", cost.bytesPerSecond / entryLimitBytesPerSecond);
    reportMetric(name, "reads_per_second_of_all_entries", cost.readsPerSecond * entryCount);
    if (design == Design::Index) {
        reportMetric(name, "bytes_at_start", cost.initialLoadBytes);
        reportMetric(name, "bytes_after_200_edits_at_once", cost.burstPollBytes);
    }
    std::fprintf(stderr, "%-10s %8d %12.0f %12.0f %8.2f %10.0f %12.0f %14.0f\n", toString(design),
                 services, editsPerDay, cost.bytesPerSecond, cost.readsPerSecond,
                 cost.readsPerSecond * entryCount, cost.initialLoadBytes, cost.burstPollBytes);
}

} // namespace

int main()
{
    std::fprintf(stderr, "%-10s %8s %12s %12s %8s %10s %12s %14s\n", "design", "services",
                 "edits/day", "B/entry/s", "reads/s", "all reads/s", "B at start", "B after burst");
    for (const int services : {2, 570, 10'000}) {
        reportDesign(Design::Index, services, 0);
        reportDesign(Design::Index, services, nominalEditsPerDay);
        reportDesign(Design::FullIndex, services, nominalEditsPerDay);
        reportDesign(Design::ScanAll, services, nominalEditsPerDay);
    }
    return 0;
}
