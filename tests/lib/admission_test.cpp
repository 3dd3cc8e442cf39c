#include "savorywick/admission.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace savorywick;

namespace {

constexpr AdmissionSettings settings{.maxQueuedRequests = 12, .maxQueuedBytes = 1'200};

const std::vector<TeamLimits> teams{{"big", 3, 0}, {"small", 1, 2}, {"", 2, 0}};

std::string describe(const AdmissionDecision &decision)
{
    switch (decision.verdict) {
    case AdmissionVerdict::Admitted:
        return "admitted";
    case AdmissionVerdict::Queued:
        return "queued";
    case AdmissionVerdict::Refused:
        break;
    }
    return std::string(toString(decision.reason));
}

// Drives a queue in front of four slots through random events and keeps its own record of which
// requests are queued and running.
class QueueModel
{
public:
    void submit()
    {
        const AdmissionRequest request{
            ++m_lastId, *rc::gen::element<std::string>("big", "small", "other"),
            *rc::gen::inRange<std::size_t>(0, 300), m_now + Millis{*rc::gen::inRange(-10, 400)}};
        const auto decision = m_queue.submit(request, freeSlots(), m_now);
        m_requests[request.id] = request;
        if (decision.verdict == AdmissionVerdict::Queued)
            m_queued.insert(request.id);
        if (decision.verdict == AdmissionVerdict::Admitted)
            start(request);
        if (decision.verdict == AdmissionVerdict::Refused) {
            RC_ASSERT(decision.retryAfter >= settings.minRetryAfter);
            RC_ASSERT(decision.retryAfter <= settings.maxRetryAfter);
        }
        check();
    }

    void dispatch()
    {
        const int free = freeSlots();
        const auto started = m_queue.dispatch(free, m_now);
        RC_ASSERT(static_cast<int>(started.size()) <= free);
        for (const AdmissionRequest &request : started) {
            RC_ASSERT(m_queued.erase(request.id) == 1U); // It was queued and not dispatched before.
            start(request);
        }
        check();
    }

    void expire()
    {
        for (const AdmissionRequest &request : m_queue.expire(m_now)) {
            RC_ASSERT(m_queued.erase(request.id) == 1U);
            RC_ASSERT(request.deadline < m_now + m_queue.expectedServiceTime());
        }
        for (const std::uint64_t id : m_queued)
            RC_ASSERT(m_requests[id].deadline >= m_now + m_queue.expectedServiceTime());
        check();
    }

    void cancel()
    {
        const std::uint64_t id = *rc::gen::inRange<std::uint64_t>(0, m_lastId + 2);
        const AdmissionRequest request = m_requests[id];
        RC_ASSERT(m_queue.cancel(request.team, id, request.deadline) == (m_queued.erase(id) == 1U));
        check();
    }

    void finish()
    {
        if (m_running.empty())
            return;
        const auto n = *rc::gen::inRange<std::size_t>(0, m_running.size());
        m_queue.recordCompletion(m_running[n].team, Millis{*rc::gen::inRange(1, 60)}, m_now);
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(n));
        check();
    }

    void advanceTime() { m_now = m_now + Millis{*rc::gen::inRange(0, 100)}; }

private:
    int freeSlots() const { return 4 - static_cast<int>(m_running.size()); }

    void start(const AdmissionRequest &request)
    {
        RC_ASSERT(request.deadline >= m_now + m_queue.expectedServiceTime());
        m_running.push_back(request);
    }

    void check()
    {
        std::size_t bytes = 0;
        for (const std::uint64_t id : m_queued)
            bytes += m_requests[id].bytes;
        RC_ASSERT(m_queue.queuedRequests() == m_queued.size());
        RC_ASSERT(m_queue.queuedBytes() == bytes);
        RC_ASSERT(m_queued.size() <= settings.maxQueuedRequests);
        RC_ASSERT(bytes <= settings.maxQueuedBytes);
        RC_ASSERT(m_queue.runningRequests() == static_cast<int>(m_running.size()));
        RC_ASSERT(m_running.size() <= 4U);
        const auto small =
            std::count_if(m_running.begin(), m_running.end(),
                          [](const AdmissionRequest &it) { return it.team == "small"; });
        RC_ASSERT(small <= 2);
    }

    AdmissionQueue m_queue{settings, teams};
    Instant m_now{0};
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, AdmissionRequest> m_requests;
    std::set<std::uint64_t> m_queued;
    std::vector<AdmissionRequest> m_running;
};

} // namespace

TEST_CASE("A request is started or removed exactly once and every bound holds")
{
    CHECK(
        rc::check("through any sequence of submissions, completions, expiry and cancellation", [] {
            QueueModel model;
            const int events = *rc::gen::inRange(0, 250);
            for (int n = 0; n < events; ++n) {
                switch (*rc::gen::weightedElement<int>(
                    {{8, 0}, {3, 1}, {2, 2}, {1, 3}, {4, 4}, {2, 5}})) {
                case 0:
                    model.submit();
                    break;
                case 1:
                    model.dispatch();
                    break;
                case 2:
                    model.expire();
                    break;
                case 3:
                    model.cancel();
                    break;
                case 4:
                    model.finish();
                    break;
                default:
                    model.advanceTime();
                }
            }
        }));
}

TEST_CASE("Teams with queued requests get slots in proportion to their weights")
{
    AdmissionQueue queue({}, teams);
    Instant now{0};
    std::uint64_t id = 0;
    std::map<std::string, int> served;
    for (int round = 0; round < 300; ++round) {
        for (const std::string team : {"big", "small"}) {
            for (int n = 0; n < 3; ++n)
                queue.submit({++id, team, 1, now + Millis{100'000}}, 0, now);
        }
        for (const AdmissionRequest &request : queue.dispatch(1, now)) {
            ++served[request.team];
            queue.recordCompletion(request.team, Millis{1}, now);
        }
    }
    CHECK(served["big"] == 225);
    CHECK(served["small"] == 75);
}

// Guards against a burst of one team that fills the whole queue or takes every free slot.
TEST_CASE("A burst of one team leaves another team its share of the queue and the slots")
{
    AdmissionQueue queue({.maxQueuedRequests = 60}, teams);
    const Instant now{0};
    const Instant later = now + Millis{100'000};
    std::uint64_t id = 0;
    std::string last;
    for (int n = 0; n < 100; ++n)
        last = describe(queue.submit({++id, "big", 1, later}, 0, now));
    CHECK(last == "queue-full");
    CHECK(queue.queuedRequests() == 30);
    CHECK(describe(queue.submit({++id, "small", 1, later}, 0, now)) == "queued");
    const auto started = queue.dispatch(2, now);
    CHECK(std::any_of(started.begin(), started.end(),
                      [](const AdmissionRequest &it) { return it.team == "small"; }));
}

// Guards against credit for idle time: a team that returns would otherwise take every slot until it
// had caught up with the other teams.
TEST_CASE("An idle team accumulates no credit for unused slots")
{
    AdmissionQueue queue({}, teams);
    const Instant now{0};
    std::uint64_t id = 0;
    for (int n = 0; n < 100; ++n) {
        CHECK(describe(queue.submit({++id, "big", 1, now + Millis{9'000}}, 1, now)) == "admitted");
        queue.recordCompletion("big", Millis{20}, now);
    }
    for (int n = 0; n < 50; ++n) {
        queue.submit({++id, "big", 1, now + Millis{9'000}}, 0, now);
        queue.submit({++id, "other", 1, now + Millis{9'000}}, 0, now);
    }
    const auto started = queue.dispatch(50, now);
    const auto big = std::count_if(started.begin(), started.end(),
                                   [](const AdmissionRequest &it) { return it.team == "big"; });
    CHECK(big >= 29); // Weights 3 and 2 give 30 of 50, give or take the order of the first ones.
    CHECK(big <= 31);
}

TEST_CASE("A request that cannot meet its deadline is refused at once with a retry delay")
{
    AdmissionQueue queue({.maxWaitFraction = 1, .initialServiceTime = Millis{20}}, {});
    const Instant now{0};
    std::uint64_t id = 0;
    CHECK(describe(queue.submit({++id, "", 1, now + Millis{19}}, 1, now)) == "deadline-too-short");
    CHECK(describe(queue.submit({++id, "", 1, now + Millis{20}}, 1, now)) == "admitted");
    // One slot at 20 ms for each request: the fourth queued one would end after 100 ms.
    for (int n = 0; n < 3; ++n)
        CHECK(describe(queue.submit({++id, "", 1, now + Millis{99}}, 0, now)) == "queued");
    const auto refused = queue.submit({++id, "", 1, now + Millis{99}}, 0, now);
    CHECK(describe(refused) == "deadline-too-short");
    CHECK(refused.retryAfter.count() == 50); // The minimum; 1 ms would be enough.
    // Requests with later deadlines queue behind these; one that is due earlier overtakes them.
    for (int n = 0; n < 40; ++n)
        CHECK(describe(queue.submit({++id, "", 1, now + Millis{5'000}}, 0, now)) == "queued");
    CHECK(describe(queue.submit({++id, "", 1, now + Millis{500}}, 0, now)) == "queued");
    CHECK(queue.dispatch(4, now).back().deadline == now + Millis{500});
}

TEST_CASE("A request is queued only if its expected wait leaves the reserve")
{
    AdmissionQueue queue({.maxWaitFraction = 0.5, .initialServiceTime = Millis{20}}, {});
    const Instant now{0};
    // One slot at 20 ms for each request and at most 80 ms to wait: half of that fits two requests.
    CHECK(describe(queue.submit({1, "", 1, now + Millis{100}}, 0, now)) == "queued");
    CHECK(describe(queue.submit({2, "", 1, now + Millis{100}}, 0, now)) == "queued");
    CHECK(describe(queue.submit({3, "", 1, now + Millis{100}}, 0, now)) == "deadline-too-short");
}
