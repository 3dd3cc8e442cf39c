#include "cli/cli.h"

#include "core/httpserver.h"
#include "operator/report.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <functional>
#include <mutex>
#include <sstream>

using namespace savorywick;

namespace {

struct CliResult
{
    int code = 0;
    std::string out;
    std::string err;
};

CliResult runCommandLine(const std::vector<std::string> &arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const int code = runCli(arguments, out, err);
    return {code, out.str(), err.str()};
}

// HTTP server in place of an entry: responds with the result of `handler` and records the last
// request.
class FakeEntryServer
{
public:
    explicit FakeEntryServer(const std::function<HttpResponse(const HttpRequest &)> &handler)
        : m_server(
            {},
            [this, handler](const HttpRequest &request) {
                const std::lock_guard lock(m_mutex);
                m_lastRequest = request;
                return handler(request);
            },
            [](int status) {
                return HttpResponse{status, {}, ""};
            })
        , m_address(m_server.listen("127.0.0.1:0"))
    { }
    ~FakeEntryServer() { m_server.stop(); }
    FakeEntryServer(const FakeEntryServer &) = delete;
    FakeEntryServer &operator=(const FakeEntryServer &) = delete;

    CliResult run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--entry", m_address});
        return runCommandLine(arguments);
    }

    HttpRequest lastRequest()
    {
        const std::lock_guard lock(m_mutex);
        return m_lastRequest;
    }

private:
    std::mutex m_mutex;
    HttpRequest m_lastRequest;
    HttpServer m_server;
    std::string m_address;
};

HttpResponse problem(int status, const std::string &runStatus)
{
    HttpHeaders headers;
    if (!runStatus.empty())
        headers.push_back({"X-Run-Status", runStatus});
    return {status, headers, R"({"title": "some-reason", "detail": "what", "remedy": "do"})"};
}

// A file that is removed at the end of the test.
struct TemporaryFile
{
    TemporaryFile(std::string name, const std::string &text)
        : path(std::move(name))
    {
        std::ofstream(path) << text;
    }
    ~TemporaryFile() { std::remove(path.c_str()); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    std::string path;
};

const std::string examples = std::string(SOURCE_DIR) + "/examples/derwent/";

} // namespace

TEST_CASE("Every subcommand has help with an example")
{
    const std::vector<std::vector<std::string>> commands{{"entry"},
                                                         {"check"},
                                                         {"document"},
                                                         {"document", "show"},
                                                         {"document", "apply"},
                                                         {"report"},
                                                         {"request"},
                                                         {"run"},
                                                         {"watch"},
                                                         {"document", "status"},
                                                         {"state"},
                                                         {"cancel"}};
    for (auto arguments : commands) {
        arguments.emplace_back("--help");
        const CliResult r = runCommandLine(arguments);
        INFO("command: ", arguments[0], " ", r.out, r.err);
        CHECK(r.code == 0);
        CHECK(r.out.find("Example:\n  savorywick " + arguments[0]) != std::string::npos);
        CHECK(r.err.empty());
    }
    CHECK(runCommandLine({"--version"}).out.starts_with("savorywick "));
}

TEST_CASE("Invalid arguments exit with 2 and print to standard error only")
{
    const std::vector<std::vector<std::string>> lines{
        {},
        {"frobnicate"},
        {"check"},
        {"report", "--entry", "localhost"},
        {"run", "matching", "allocation", "--entry", "127.0.0.1:1"},
        {"request", "matching", "check", "--deadline-ms", "0", "--entry", "127.0.0.1:1"},
        {"watch", "matching", "roster", "--key", "k", "--entry", "127.0.0.1:1"},
        {"state", "walk", "id", "--entry", "127.0.0.1:1"},
        {"entry", "--settings", "no/such/file"},
    };
    for (const auto &it : lines) {
        const CliResult r = runCommandLine(it);
        INFO("command: ", it.empty() ? std::string() : it[0], "; stdout: ", r.out);
        CHECK(r.code == 2);
        CHECK(r.out.empty());
        CHECK_FALSE(r.err.empty());
    }
}

TEST_CASE("check prints the faults of all files and exits with 2")
{
    const TemporaryFile bad("cli_test_bad.json", R"({"service": "a", "extra": 1})");
    const CliResult r =
        runCommandLine({"check", examples + "entry.json", bad.path, "no/such.json"});
    CHECK(r.code == 2);
    CHECK(r.out == examples + "entry.json: valid settings\n");
    CHECK(r.err.find("cli_test_bad.json: team: this is missing; ") != std::string::npos);
    CHECK(r.err.find("cli_test_bad.json: extra: this key is unknown; ") != std::string::npos);
    CHECK(r.err.find("no/such.json: this file can't be read; ") != std::string::npos);
    const CliResult json = runCommandLine({"check", bad.path, "--json"});
    CHECK(json.code == 2);
    CHECK(json.out.find(R"("path":"team")") != std::string::npos);
    CHECK(runCommandLine({"check", examples + "matching.json"}).code == 0);
}

TEST_CASE("The exit code tells whether the request may have taken effect")
{
    struct Case
    {
        int status;
        std::string runStatus;
        ExitCode expected;
    };
    const std::vector<Case> cases{
        {200, "run", ExitCode::Ok},          {400, "not-run", ExitCode::InvalidInput},
        {404, "not-run", ExitCode::Failed},  {409, "not-run", ExitCode::Conflict},
        {429, "not-run", ExitCode::NotRun},  {503, "not-run", ExitCode::NotRun},
        {503, "unknown", ExitCode::Unknown}, {504, "unknown", ExitCode::Unknown},
        {500, "", ExitCode::Failed},
    };
    for (const Case &it : cases) {
        FakeEntryServer entry(
            [&](const HttpRequest &) { return problem(it.status, it.runStatus); });
        const CliResult r = entry.run({"request", "matching", "check", "--deadline-ms", "500"});
        INFO("status ", it.status, " ", it.runStatus, "; stderr: ", r.err);
        CHECK(r.code == static_cast<int>(it.expected));
        CHECK(r.err.empty() == (it.expected == ExitCode::Ok));
    }
    CHECK(runCommandLine({"report", "--entry", "127.0.0.1:1"}).code
          == static_cast<int>(ExitCode::NotRun));
}

TEST_CASE("request sends its key and deadline and body and prints only the answer")
{
    FakeEntryServer entry([](const HttpRequest &) { return HttpResponse{200, {}, "the answer"}; });
    const CliResult r = entry.run({"request", "matching", "offer", "--deadline-ms", "900", "--key",
                                   "k-1", "--team", "placements", "--body", "hello"});
    CHECK(r.out == "the answer\n");
    const HttpRequest sent = entry.lastRequest();
    CHECK(sent.method == "POST");
    CHECK(sent.path == "/v1/services/matching/requests/offer");
    CHECK(headerValue(sent.headers, "Idempotency-Key") == "k-1");
    CHECK(headerValue(sent.headers, "X-Deadline-Ms") == "900");
    CHECK(headerValue(sent.headers, "X-Team") == "placements");
    CHECK(sent.body == "hello");
}

TEST_CASE("run waits until the run has finished and prints the result")
{
    int reads = 0;
    FakeEntryServer entry([&](const HttpRequest &request) {
        if (request.method == "POST")
            return HttpResponse{202, {}, R"({"id": "r1", "state": "waiting"})"};
        const bool finished = ++reads > 1;
        return HttpResponse{200,
                            {},
                            finished ? R"({"id":"r1","state":"finished","result":"ok"})"
                                     : R"({"id":"r1","state":"placed"})"};
    });
    const CliResult r =
        entry.run({"run", "matching", "allocation", "--key", "k", "--wait-ms", "60000"});
    CHECK(r.code == 0);
    CHECK(r.out == "r1 finished\nresult: ok\n");
    CHECK(entry.run({"run", "matching", "allocation", "--key", "k"}).out == "r1 waiting\n");
}

TEST_CASE("watch and cancel send the documented requests")
{
    FakeEntryServer entry([](const HttpRequest &) {
        return HttpResponse{200, {}, R"({"id": "w1", "state": "cancelled"})"};
    });
    entry.run({"watch", "matching", "roster", "--key", "k", "--until-run", "r1"});
    CHECK(entry.lastRequest().body == R"({"until":{"run":"r1"}})");
    entry.run({"watch", "matching", "roster", "--key", "k", "--until-ms", "500"});
    CHECK(entry.lastRequest().body == R"({"until":{"afterMs":500}})");
    CHECK(entry.run({"cancel", "watcher", "w1"}).code == 0);
    CHECK(entry.lastRequest().method == "DELETE");
    CHECK(entry.lastRequest().path == "/v1/watchers/w1");
}

TEST_CASE("document show prints text that can be applied and names the revision once")
{
    FakeEntryServer entry([](const HttpRequest &) {
        return HttpResponse{
            200, {}, R"({"revision":7,"document":"// Revision 6 of a\n{}","editedBy":"t"})"};
    });
    CHECK(entry.run({"document", "show", "a"}).out == "// Revision 7 of a, edited by t\n{}\n");
    entry.run({"document", "show", "a", "--revision", "3"});
    CHECK(headerValue(entry.lastRequest().queryParameters, "revision") == "3");
}

TEST_CASE("document status prints a row for each entry or the response itself as JSON")
{
    const std::string body = R"({"state":"pending","revision":7,"pendingOn":["entry-11"],)"
                             R"("entries":[{"entry":"e1","revision":7,"ageMs":20},)"
                             R"({"entry":"entry-11","revision":6,"ageMs":900}]})";
    FakeEntryServer entry([&](const HttpRequest &) { return HttpResponse{200, {}, body}; });
    CHECK(entry.run({"document", "status", "a"}).out
          == "a, revision 7: pending on entry-11\n"
             "entry     revision in force  age in ms\n"
             "e1        7                  20\n"
             "entry-11  6                  900\n");
    CHECK(entry.lastRequest().path == "/v1/documents/a/status");
    CHECK(entry.run({"document", "status", "a", "--json"}).out == body + "\n");
}

TEST_CASE("document apply sends the revision and the team key and prints the pending entries")
{
    const TemporaryFile key("cli_test_key.txt", "0123456789abcdef\n");
    FakeEntryServer entry([](const HttpRequest &) {
        return HttpResponse{200, {}, R"({"revision":8,"state":"pending","pendingOn":["e2","e3"]})"};
    });
    const std::vector<std::string> line{"document",   "apply", examples + "matching.json",
                                        "--revision", "7",     "--team-key-file",
                                        key.path};
    const CliResult r = entry.run(line);
    CHECK(r.code == 0);
    CHECK(r.out == "revision 8: pending on e2, e3\n");
    const HttpRequest sent = entry.lastRequest();
    CHECK(sent.method == "PUT");
    CHECK(sent.path == "/v1/documents/matching");
    CHECK(headerValue(sent.headers, "If-Match") == "7");
    CHECK(headerValue(sent.headers, "X-Team") == "placements");
    CHECK(headerValue(sent.headers, "X-Team-Key") == "0123456789abcdef");
    auto waiting = line;
    waiting.insert(waiting.end(), {"--wait-ms", "1"});
    CHECK(entry.run(waiting).code == static_cast<int>(ExitCode::Pending));
}

TEST_CASE("A conflicting edit is refused with the current revision and the changes")
{
    const TemporaryFile key("cli_test_key2.txt", "0123456789abcdef");
    FakeEntryServer entry([](const HttpRequest &) {
        return HttpResponse{412,
                            {{"X-Run-Status", "not-run"}},
                            R"({"title":"revision-changed","detail":"revision 9 now",)"
                            R"("remedy":"again","changed":["quotas.cores: 4 becomes 8"]})"};
    });
    const CliResult r = entry.run({"document", "apply", examples + "matching.json", "--revision",
                                   "7", "--team-key-file", key.path});
    CHECK(r.code == static_cast<int>(ExitCode::Conflict));
    CHECK(r.out.empty());
    CHECK(r.err.find("revision-changed: revision 9 now; again\n") != std::string::npos);
    CHECK(r.err.find("  quotas.cores: 4 becomes 8\n") != std::string::npos);
}

TEST_CASE("report prints a page or the entry's JSON")
{
    Report report;
    report.entries.emplace_back().entry = "e1";
    FakeEntryServer entry([&](const HttpRequest &) {
        return HttpResponse{200, {}, toJson(report)};
    });
    CHECK(entry.run({"report"}).out == formatReport(report));
    CHECK(entry.run({"report", "--json"}).out == toJson(report) + "\n");
}
