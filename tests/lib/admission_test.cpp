#include "savorywick/admission.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace savorywick;

namespace {

constexpr AdmissionSettings settings{.maxQueued = 12, .maxQueuedBytes = 1'200};

const std::vector<TeamLimits> teams{{"big", 3, 0}, {"small", 1, 2}, {"", 2, 0}};

std::string textOf(const AdmissionDecision &decision)
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

// Follows a queue in front of a few slots through random offers, answers and time.
class Model
{
public:
    void offer()
    {
        const Offer offer{++m_lastId, *rc::gen::element<std::string>("big", "small", "other"),
                          *rc::gen::inRange<std::size_t>(0, 300),
                          m_now + Millis{*rc::gen::inRange(-10, 400)}};
        const auto decision = m_queue.offer(offer, freeSlots(), m_now);
        m_offers[offer.id] = offer;
        if (decision.verdict == AdmissionVerdict::Queued)
            m_queued.insert(offer.id);
        if (decision.verdict == AdmissionVerdict::Admitted)
            start(offer);
        if (decision.verdict == AdmissionVerdict::Refused) {
            RC_ASSERT(decision.retryAfter >= settings.shortestRetryAfter);
            RC_ASSERT(decision.retryAfter <= settings.longestRetryAfter);
        }
        check();
    }

    void dispatch()
    {
        const int free = freeSlots();
        const auto started = m_queue.dispatch(free, m_now);
        RC_ASSERT(static_cast<int>(started.size()) <= free);
        for (const Offer &offer : started) {
            RC_ASSERT(m_queued.erase(offer.id) == 1U); // Queued, and not given out before.
            start(offer);
        }
        check();
    }

    void expire()
    {
        for (const Offer &offer : m_queue.expire(m_now)) {
            RC_ASSERT(m_queued.erase(offer.id) == 1U);
            RC_ASSERT(offer.deadline < m_now + m_queue.serviceTime());
        }
        for (const std::uint64_t id : m_queued)
            RC_ASSERT(m_offers[id].deadline >= m_now + m_queue.serviceTime());
        check();
    }

    void cancel()
    {
        const std::uint64_t id = *rc::gen::inRange<std::uint64_t>(0, m_lastId + 2);
        const Offer offer = m_offers[id];
        RC_ASSERT(m_queue.cancel(offer.team, id, offer.deadline) == (m_queued.erase(id) == 1U));
        check();
    }

    void finish()
    {
        if (m_running.empty())
            return;
        const auto n = *rc::gen::inRange<std::size_t>(0, m_running.size());
        m_queue.finished(m_running[n].team, Millis{*rc::gen::inRange(1, 60)}, m_now);
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(n));
        check();
    }

    void pass() { m_now = m_now + Millis{*rc::gen::inRange(0, 100)}; }

private:
    int freeSlots() const { return 4 - static_cast<int>(m_running.size()); }

    void start(const Offer &offer)
    {
        RC_ASSERT(offer.deadline >= m_now + m_queue.serviceTime());
        m_running.push_back(offer);
    }

    void check()
    {
        std::size_t bytes = 0;
        for (const std::uint64_t id : m_queued)
            bytes += m_offers[id].bytes;
        RC_ASSERT(m_queue.queued() == m_queued.size());
        RC_ASSERT(m_queue.queuedBytes() == bytes);
        RC_ASSERT(m_queued.size() <= settings.maxQueued);
        RC_ASSERT(bytes <= settings.maxQueuedBytes);
        RC_ASSERT(m_queue.running() == static_cast<int>(m_running.size()));
        RC_ASSERT(m_running.size() <= 4U);
        const auto small = std::count_if(m_running.begin(), m_running.end(),
                                         [](const Offer &it) { return it.team == "small"; });
        RC_ASSERT(small <= 2);
    }

    AdmissionQueue m_queue{settings, teams};
    Instant m_now{0};
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, Offer> m_offers;
    std::set<std::uint64_t> m_queued;
    std::vector<Offer> m_running;
};

} // namespace

TEST_CASE("A request is run or given up exactly once and every bound holds")
{
    CHECK(rc::check("through offers, answers, expiry, cancellation and time", [] {
        Model model;
        const int events = *rc::gen::inRange(0, 250);
        for (int n = 0; n < events; ++n) {
            switch (
                *rc::gen::weightedElement<int>({{8, 0}, {3, 1}, {2, 2}, {1, 3}, {4, 4}, {2, 5}})) {
            case 0:
                model.offer();
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
                model.pass();
            }
        }
    }));
}

TEST_CASE("Waiting teams get the slots by their weights")
{
    AdmissionQueue queue({}, teams);
    Instant now{0};
    std::uint64_t id = 0;
    std::map<std::string, int> served;
    for (int round = 0; round < 300; ++round) {
        for (const std::string team : {"big", "small"}) {
            for (int n = 0; n < 3; ++n)
                queue.offer({++id, team, 1, now + Millis{100'000}}, 0, now);
        }
        for (const Offer &offer : queue.dispatch(1, now)) {
            ++served[offer.team];
            queue.finished(offer.team, Millis{1}, now);
        }
    }
    CHECK(served["big"] == 225);
    CHECK(served["small"] == 75);
}

TEST_CASE("A wave of one team leaves the other its part of the queue and its turn")
{
    AdmissionQueue queue({.maxQueued = 60}, teams);
    const Instant now{0};
    const Instant later = now + Millis{100'000};
    std::uint64_t id = 0;
    std::string last;
    for (int n = 0; n < 100; ++n)
        last = textOf(queue.offer({++id, "big", 1, later}, 0, now));
    CHECK(last == "queue-full");
    CHECK(queue.queued() == 30);
    CHECK(textOf(queue.offer({++id, "small", 1, later}, 0, now)) == "queued");
    const auto started = queue.dispatch(2, now);
    CHECK(std::any_of(started.begin(), started.end(),
                      [](const Offer &it) { return it.team == "small"; }));
}

TEST_CASE("A team is not owed what it left unused while it was idle")
{
    AdmissionQueue queue({}, teams);
    const Instant now{0};
    std::uint64_t id = 0;
    for (int n = 0; n < 100; ++n) {
        CHECK(textOf(queue.offer({++id, "big", 1, now + Millis{9'000}}, 1, now)) == "admitted");
        queue.finished("big", Millis{20}, now);
    }
    for (int n = 0; n < 50; ++n) {
        queue.offer({++id, "big", 1, now + Millis{9'000}}, 0, now);
        queue.offer({++id, "other", 1, now + Millis{9'000}}, 0, now);
    }
    const auto started = queue.dispatch(50, now);
    const auto big = std::count_if(started.begin(), started.end(),
                                   [](const Offer &it) { return it.team == "big"; });
    CHECK(big >= 29); // Of weights 3 and 2; which of them is first is of no matter.
    CHECK(big <= 31);
}

TEST_CASE("A request that cannot be in time is refused at once with the time to come back")
{
    AdmissionQueue queue({.longestWaitShare = 1, .firstServiceTime = Millis{20}}, {});
    const Instant now{0};
    std::uint64_t id = 0;
    CHECK(textOf(queue.offer({++id, "", 1, now + Millis{19}}, 1, now)) == "deadline-too-short");
    CHECK(textOf(queue.offer({++id, "", 1, now + Millis{20}}, 1, now)) == "admitted");
    // One slot of 20 ms each: the fourth would be answered after 100 ms.
    for (int n = 0; n < 3; ++n)
        CHECK(textOf(queue.offer({++id, "", 1, now + Millis{99}}, 0, now)) == "queued");
    const auto refused = queue.offer({++id, "", 1, now + Millis{99}}, 0, now);
    CHECK(textOf(refused) == "deadline-too-short");
    CHECK(refused.retryAfter.count() == 50); // The shortest; 1 ms would be enough.
    // Later ones wait behind these; one that is due earlier passes them.
    for (int n = 0; n < 40; ++n)
        CHECK(textOf(queue.offer({++id, "", 1, now + Millis{5'000}}, 0, now)) == "queued");
    CHECK(textOf(queue.offer({++id, "", 1, now + Millis{500}}, 0, now)) == "queued");
    CHECK(queue.dispatch(4, now).back().deadline == now + Millis{500});
}

TEST_CASE("A request is taken in only if its wait leaves the reserve of its time")
{
    AdmissionQueue queue({.longestWaitShare = 0.5, .firstServiceTime = Millis{20}}, {});
    const Instant now{0};
    // One slot of 20 ms each, and 80 ms to wait at most: two fit into half of that.
    CHECK(textOf(queue.offer({1, "", 1, now + Millis{100}}, 0, now)) == "queued");
    CHECK(textOf(queue.offer({2, "", 1, now + Millis{100}}, 0, now)) == "queued");
    CHECK(textOf(queue.offer({3, "", 1, now + Millis{100}}, 0, now)) == "deadline-too-short");
}
