#include "savorywick/steps/latencyheadroom.h"

#include <doctest/doctest.h>

#include <cmath>
#include <numbers>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

constexpr double coresPerTask = 7;

// Simulates long-running tasks of one job on four workers. The load of the job oscillates, and
// three of the workers also do best-effort work.
class OscillatingJob
{
public:
    explicit OscillatingJob(double periodSeconds)
        : m_periodSeconds(periodSeconds)
    { }

    // Returns by how much the best-effort work really reduces the headroom.
    static double trueCost(const BestEffortLoad &load)
    {
        return load.cores * (load.image == "noisy" ? 0.12 : 0.01);
    }

    // Returns the headroom that the job really has without best-effort work.
    double trueHeadroom(Instant now) const
    {
        const double seconds = static_cast<double>(now.count()) / 1'000;
        return 2.75 + 1.1 * std::sin(2 * std::numbers::pi * seconds / m_periodSeconds);
    }

    // Advances the time and gives the estimator the observations of all workers.
    void advance(LatencyHeadroomEstimator &estimator, int seconds)
    {
        for (const Instant end = m_now + Millis{1'000} * seconds; m_now < end;
             m_now = m_now + interval) {
            for (const std::vector<BestEffortLoad> &it : m_workers) {
                double observed = trueHeadroom(m_now);
                for (const BestEffortLoad &load : it)
                    observed -= trueCost(load);
                estimator.observe({"job", "quotes", std::max(observed, 0.2)}, it, m_now);
            }
        }
    }

    Instant now() const { return m_now; }

private:
    static constexpr Millis interval{500};

    double m_periodSeconds;
    Instant m_now{1'000};
    std::vector<std::vector<BestEffortLoad>> m_workers{
        {},
        {{"quiet", 3 * coresPerTask}},
        {{"noisy", coresPerTask}},
        {{"noisy", coresPerTask}, {"quiet", 2 * coresPerTask}},
    };
};

} // namespace

// Guards against throttling harmless best-effort work because the service's own load has risen.
TEST_CASE("A noisy image is told apart from a quiet one and from the load of the job")
{
    for (const double periodSeconds : {8.0, 20.0, 60.0}) {
        CAPTURE(periodSeconds);
        LatencyHeadroomEstimator estimator;
        OscillatingJob job(periodSeconds);
        job.advance(estimator, 40);
        CHECK(estimator.headroomCost("quotes", BestEffortLoad{"noisy", coresPerTask}) > 0.5);
        CHECK(estimator.headroomCost("quotes", BestEffortLoad{"quiet", coresPerTask}) < 0.25);
    }
}

TEST_CASE("The cost of a noisy image is learned within a few seconds")
{
    LatencyHeadroomEstimator estimator;
    OscillatingJob job(20);
    const double before = estimator.headroomCost("quotes", BestEffortLoad{"noisy", coresPerTask});
    job.advance(estimator, 4);
    CHECK(estimator.headroomCost("quotes", BestEffortLoad{"noisy", coresPerTask}) > 2 * before);
}

TEST_CASE("The estimate without best-effort work follows the load of the job")
{
    LatencyHeadroomEstimator estimator;
    OscillatingJob job(20);
    job.advance(estimator, 20);
    for (int i = 0; i < 20; ++i) {
        job.advance(estimator, 1);
        CHECK(std::abs(estimator.currentHeadroom("job", job.now()) - job.trueHeadroom(job.now()))
              < 0.6);
        CHECK(estimator.expectedHeadroom("job", job.now())
              <= estimator.currentHeadroom("job", job.now()) + 1e-9);
    }
}

TEST_CASE("An unknown job is assumed to be like a typical job at its lowest")
{
    LatencyHeadroomEstimator estimator;
    OscillatingJob job(20);
    job.advance(estimator, 60);
    CHECK(estimator.expectedHeadroom("other", job.now()) < 2.2);
    estimator.forgetJob("job");
    CHECK(estimator.expectedHeadroom("job", job.now())
          == estimator.expectedHeadroom("other", job.now()));
}
