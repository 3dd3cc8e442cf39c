// Measures what one exchange with a worker costs the entry: the HTTP client, the JSON of commands
// and reports, the list of workers, journal records, base64 and log lines. The workers are a child
// process on loopback, so that only the entry's processor time counts. With --exchanges N, only N
// exchanges of each kind are made, for counting system calls (strace -c).

#include "measure.h"
#include "report.h"

#include "core/log.h"
#include "core/logbatch.h"
#include "net/asynchttpclient.h"
#include "net/asynchttpserver.h"
#include "platform/base64.h"
#include "platform/httpworkerclient.h"
#include "platform/rows.h"
#include "platform/workerentry.h"
#include "platform/workerreport.h"
#include "savorywick/steps/record.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <initializer_list>
#include <string_view>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace savorywick;
using namespace savorywick::bench;

namespace {

constexpr const char *benchName = "exchange";
constexpr int workerCount = 50;
constexpr int defaultExchanges = 20'000;
constexpr int callsPerRound = 20'000;
constexpr int feedCallsPerRound = 100;
constexpr int listedWorkers = 490;
constexpr int changedWorkers = 130; // Between two pages of the change feed.
constexpr int recordsPerCommit = 40;
constexpr std::size_t addressBytes = 64; // Of one worker's address in the pipe, padded with NUL.

// Returns a worker's response to a renewal.
std::string reportBody(int running, int ended)
{
    std::string body = R"({"active":[)";
    for (int i = 0; i < running; ++i) {
        body += i == 0 ? "" : ",";
        body += R"(["5c0e7a21d94b36f8.0.1.)" + std::to_string(i) + R"(",1,"",37,812])";
    }
    body += R"(],"born":1796000000123,"clockMs":123456,"finished":[)";
    for (int i = 0; i < ended; ++i) {
        body += i == 0 ? "" : ",";
        body += "[" + std::to_string(900 + i) + R"(,"5c0e7a21d94b36f8.0.2.)" + std::to_string(i)
            + R"(",1,"done",""])";
    }
    return body + "]}";
}

void respondAsWorker(const HttpRequest &request, const AsyncHttpServer::Responder &respond)
{
    static const std::string report = reportBody(10, 2);
    const bool renewal = request.path == "/api/hold";
    respond({.status = 200, .headers = {}, .body = renewal ? report : R"({"clockMs":123456})"});
}

// Serves as all workers and writes their addresses to `pipe`. Does not return.
[[noreturn]] void serveWorkers(int pipe)
{
    EventLoop loop;
    std::deque<AsyncHttpServer> servers;
    for (int i = 0; i < workerCount; ++i) {
        std::string address = servers.emplace_back(loop, AsyncHttpServerLimits{}, respondAsWorker)
                                  .listen("127.0.0.1:0");
        address.resize(addressBytes);
        if (write(pipe, address.data(), address.size()) != static_cast<ssize_t>(addressBytes))
            std::exit(EXIT_FAILURE);
    }
    loop.run();
    std::exit(EXIT_SUCCESS);
}

// The child process with the workers; ends it when destroyed.
class WorkerProcess
{
public:
    WorkerProcess()
    {
        int ends[2];
        if (pipe(ends) != 0)
            std::exit(EXIT_FAILURE);
        m_child = fork();
        if (m_child == 0)
            serveWorkers(ends[1]);
        for (int i = 0; i < workerCount; ++i) {
            char buf[addressBytes] = {};
            if (read(ends[0], buf, sizeof buf) != static_cast<ssize_t>(sizeof buf))
                std::exit(EXIT_FAILURE);
            m_addresses.emplace_back(buf);
        }
        close(ends[0]);
        close(ends[1]);
    }
    ~WorkerProcess()
    {
        kill(m_child, SIGTERM);
        waitpid(m_child, nullptr, 0);
    }
    WorkerProcess(const WorkerProcess &) = delete;
    WorkerProcess &operator=(const WorkerProcess &) = delete;

    const std::string &address(int worker) const
    {
        return m_addresses[static_cast<std::size_t>(worker)];
    }

private:
    pid_t m_child = -1;
    std::vector<std::string> m_addresses;
};

// Makes exchanges of one kind, a given number at a time, each with another worker.
class ExchangeRun
{
public:
    ExchangeRun(const WorkerProcess &workers, int concurrency, bool renewals)
        : m_process(workers)
        , m_http(m_loop)
        , m_client(m_http)
        , m_concurrency(concurrency)
        , m_renewals(renewals)
    { }

    // Returns the processor microseconds per exchange.
    double run(int exchanges)
    {
        makeExchanges(workerCount); // Opens the connections.
        const double start = processorMicros();
        makeExchanges(exchanges);
        return (processorMicros() - start) / exchanges;
    }

private:
    void makeExchanges(int count)
    {
        m_toStart = count;
        m_toEnd = count;
        for (int i = 0; i < m_concurrency; ++i)
            startNext();
        m_loop.run();
    }

    void startNext()
    {
        if (m_toStart == 0)
            return;
        const int worker = --m_toStart % workerCount;
        const steps::CommandTarget target{
            {"i-4c46480a0d", 1'796'000'000'123}, m_process.address(worker), 17};
        if (m_renewals)
            return m_client.renew({target, 899, 126'456, Millis{0}},
                                  [this](const steps::RenewLeaseReply &reply) {
                                      onDone(reply.outcome, reply.report.running.size() == 10);
                                  });
        const steps::TaskRef task{"5c0e7a21d94b36f8", 0, 1, m_toStart};
        m_client.start({target, task, 1, std::string(200, 'x'), "", 126'456},
                       [this](const steps::CommandReply &reply) { onDone(reply.outcome, true); });
    }

    void onDone(steps::CommandOutcome outcome, bool complete)
    {
        if (outcome != steps::CommandOutcome::Done || !complete) {
            std::fprintf(stderr, "an exchange failed\n");
            std::exit(EXIT_FAILURE);
        }
        startNext();
        if (--m_toEnd == 0)
            m_loop.stop();
    }

    const WorkerProcess &m_process;
    EventLoop m_loop;
    AsyncHttpClient m_http;
    platform::HttpWorkerClient m_client;
    const int m_concurrency;
    const bool m_renewals;
    int m_toStart = 0;
    int m_toEnd = 0;
};

void measureExchanges(const WorkerProcess &workers, int exchanges)
{
    reportTableHeader("exchanges at a time", {"start us", "renewal us"});
    for (const int concurrency : {1, workerCount}) {
        report(benchName, std::to_string(concurrency) + " at a time",
               {{"start us", ExchangeRun(workers, concurrency, false).run(exchanges)},
                {"renewal us", ExchangeRun(workers, concurrency, true).run(exchanges)}});
    }
}

void measureReports()
{
    reportTableHeader("rows of a report", {"parse us"});
    for (const int rows : {5, 20}) {
        const std::string body = reportBody(rows, 2);
        report(benchName, std::to_string(rows) + " rows",
               {{"parse us", bestMicrosPerCall(processorMicros, callsPerRound, [&] {
                     if (!platform::parseWorkerReport(body))
                         std::exit(EXIT_FAILURE);
                 })}});
    }
}

std::string workerEntry(int sequence)
{
    return R"({"service":"matching","address":"10.200.3.14:7101","zone":"hobart","version":"1.4.2",)"
           R"("slots":16,"state":"ready","coldRemainingMs":0,"born":1796000000123,"remainingMs":0,)"
           R"("capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"sequence":)"
        + std::to_string(sequence) + "}";
}

// A page of the change feed: the rows of the workers that said since the last page that they live.
std::string changePage(int rows)
{
    std::string page = R"({"hasMore":false,"rows":[)";
    for (int i = 0; i < rows; ++i) {
        page += i == 0 ? "" : ",";
        page += R"({"key":"i-4c46480a)" + std::to_string(1'000 + i) + R"(","value":")"
            + platform::encodeBase64(workerEntry(i)) + R"(","ver":)" + std::to_string(90'000 + i)
            + "}";
    }
    return page + R"(],"ver":99999})";
}

void measureWorkerFeed()
{
    const std::string page = changePage(changedWorkers);
    platform::TableFeed::Rows rows;
    for (int i = 0; i < listedWorkers; ++i) {
        const std::string key = "i-4c46480a" + std::to_string(1'000 + i);
        rows[key] = {key, workerEntry(0), 1, false};
    }
    platform::WorkerEntries entries;
    int sequence = 0;
    const double update = bestMicrosPerCall(processorMicros, feedCallsPerRound, [&] {
        ++sequence;
        int changed = 0;
        for (auto &[key, row] : rows) {
            if (++changed <= changedWorkers)
                row.value = workerEntry(sequence);
        }
        entries.update(rows);
    });
    const double parsePage =
        bestMicrosPerCall(processorMicros, feedCallsPerRound, [&] { platform::parsePage(page); });
    reportTableHeader("changes of workers", {"page us", "list us"});
    report(benchName, "workers", {{"parse page us", parsePage}, {"update list us", update}});
}

void measureRecords()
{
    const steps::TaskRef task{"5c0e7a21d94b36f8", 0, 1, 17};
    const steps::Record started = steps::RunStarted{task, 1, {"i-4c46480a0d", 1'796'000'000'123}};
    const std::string line = steps::encodeRecord(started);
    std::string commit;
    for (int i = 0; i < recordsPerCommit; ++i)
        commit += line + "\n";
    const std::string encoded = platform::encodeBase64(commit);
    reportTableHeader("journal",
                      {"encode record us", "decode record us", "encode commit's base64 us",
                       "decode commit's base64 us"});
    report(
        benchName, "journal",
        {{"encode record us",
          bestMicrosPerCall(processorMicros, callsPerRound, [&] { steps::encodeRecord(started); })},
         {"decode record us",
          bestMicrosPerCall(processorMicros, callsPerRound, [&] { steps::decodeRecord(line); })},
         {"encode commit's base64 us",
          bestMicrosPerCall(processorMicros, callsPerRound,
                            [&] { platform::encodeBase64(commit); })},
         {"decode commit's base64 us", bestMicrosPerCall(processorMicros, callsPerRound, [&] {
              platform::decodeBase64(encoded);
          })}});
}

using WriteLine = void (*)(std::string_view event, std::initializer_list<LogField> fields);

// Returns the microseconds per line.
double logMicros(WriteLine write)
{
    return bestMicrosPerCall(processorMicros, callsPerRound, [write] {
        write("run-placed",
              {{"requestId", "5c0e7a21d94b36f8"},
               {"task", "5c0e7a21d94b36f8.0.1.17"},
               {"run", 1},
               {"worker", "i-4c46480a0d"},
               {"why", "room"},
               {"ageMs", std::int64_t{214}},
               {"value", 1500}});
    });
}

// Sends the log, which goes to standard output, elsewhere while it exists.
class LogRedirection
{
public:
    LogRedirection()
        : m_standardOutput(dup(STDOUT_FILENO))
    {
        std::fflush(stdout);
        const int sink = open("/dev/null", O_WRONLY | O_CLOEXEC);
        dup2(sink, STDOUT_FILENO);
        close(sink);
        configureLogging(LogLevel::Info, "edge-hobart-1", LogStream::StandardOutput);
    }
    ~LogRedirection()
    {
        std::fflush(stdout);
        dup2(m_standardOutput, STDOUT_FILENO);
        close(m_standardOutput);
    }
    LogRedirection(const LogRedirection &) = delete;
    LogRedirection &operator=(const LogRedirection &) = delete;

private:
    int m_standardOutput;
};

std::vector<Metric> logMetrics()
{
    const LogRedirection redirection;
    const double lineByLine = logMicros(logInfo);
    const LogBatch batch([] {});
    const double batched = logMicros(logInfo);
    const double leftOut = logMicros(logRoutine); // Nearly all are, at this rate.
    return {{"line us", lineByLine}, {"batched line us", batched}, {"line left out us", leftOut}};
}

void measureLog()
{
    const std::vector<Metric> metrics = logMetrics();
    reportTableHeader("log", {"line by line us", "batched us", "left out us"});
    report(benchName, "log", metrics);
}

} // namespace

int main(int argc, char **argv)
{
    const bool fixedCount = argc == 3 && std::string_view(argv[1]) == "--exchanges";
    const WorkerProcess workers;
    measureExchanges(workers, fixedCount ? std::atoi(argv[2]) : defaultExchanges);
    if (fixedCount)
        return EXIT_SUCCESS;
    measureReports();
    measureWorkerFeed();
    measureRecords();
    measureLog();
    return EXIT_SUCCESS;
}
