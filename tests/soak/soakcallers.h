#pragma once

#include "net/asynchttpclient.h"
#include "runledger.h"

#include "core/bootclock.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace savorywick::testing {

// The callers of a soak: they submit jobs through entries picked at random, over connections that
// they keep, try again elsewhere, ask for states and cancel. What they are told goes to the ledger.
// Not thread-safe.
//
// Example:
//   SoakCallers callers(loop, clock, ledger, {"127.0.0.11:8161"}, seed);
//   callers.submit(job);
//   callers.askForStates();
class SoakCallers
{
public:
    SoakCallers(EventLoop &loop, const BootClock &clock, RunLedger &ledger,
                std::vector<std::string> entries, unsigned seed);

    // Submits the job, with further attempts until one is accepted or none is left.
    void submit(SoakJob job);
    void cancel(const std::string &id);
    // Asks for the states of some jobs that are accepted and not known to have ended.
    void askForStates();
    // Returns how many submissions and cancellations still have attempts left.
    int openCalls() const { return m_openCalls; }

private:
    void attempt(const std::string &id, const std::string &body, int attemptsLeft);
    void handleSubmitted(const std::string &id, const std::string &body, int attemptsLeft,
                         const HttpResult &result);
    void attemptCancel(const std::string &id, int attemptsLeft);
    void handleState(const std::string &id, const HttpResult &result);
    HttpCall callFor(const char *method, const std::string &id);

    EventLoop &m_loop;
    const BootClock &m_clock;
    RunLedger &m_ledger;
    std::vector<std::string> m_entries;
    std::mt19937 m_random;
    AsyncHttpClient m_http;
    std::map<std::string, Instant> m_acceptedAt;
    int m_openCalls = 0;
};

} // namespace savorywick::testing
