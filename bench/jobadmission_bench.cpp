// Counts the errors of job admission in virtual time: jobs that were refused though they could have
// met their deadlines, without or with another one missing its own, and jobs that were accepted and
// did not complete while useful. Each load is run without and with admission. Measures the
// processor time of one submission as well.

#include "report.h"
#include "steps/admissionsimulation.h"

#include <chrono>
#include <functional>

using namespace savorywick;
using namespace savorywick::bench;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

constexpr const char *benchName = "jobadmission";
constexpr int cores = 20;
constexpr Millis loadTime{40'000};
constexpr Millis drainTime{40'000};

struct Load
{
    const char *name;
    std::function<void(AdmissionSimulation &)> submit;
};

// Submits the jobs at a multiple of the capacity.
void overload(AdmissionSimulation &s, const SimulatedJob &job, double factor, Millis time)
{
    const double perJob = job.tasks * static_cast<double>(job.duration.count()) / 1'000;
    s.submitAtRate(job, factor * cores / perJob, time);
}

const std::vector<Load> loads = {
    {"within capacity", [](AdmissionSimulation &s) { overload(s, {}, 0.8, loadTime); }},
    {"burst of 2.5", [](AdmissionSimulation &s) { overload(s, {}, 2.5, loadTime); }},
    {"pulse of 3 s at 4", [](AdmissionSimulation &s) { overload(s, {}, 4, Millis{3'000}); }},
    {"tasks of 5 s at 2.5",
     [](AdmissionSimulation &s) {
         overload(s, {.duration = Millis{5'000}, .target = Millis{10'000}}, 2.5, loadTime);
     }},
    {"estimates half the duration at 1.5",
     [](AdmissionSimulation &s) { overload(s, {.actualDuration = Millis{2'000}}, 1.5, loadTime); }},
    {"callers retry at 2",
     [](AdmissionSimulation &s) { overload(s, {.retries = 3}, 2, loadTime); }},
    {"a fifth of the cores lost at 1.5",
     [](AdmissionSimulation &s) {
         overload(s, {}, 1.5, loadTime / 2);
         s.setCores(cores * 4 / 5);
         overload(s, {}, 1.5, loadTime / 2);
     }},
};

void reportLoad(const Load &load, bool enabled)
{
    AdmissionSimulation simulation(cores, {.enabled = enabled});
    simulation.refusalsPerCheck = 16;
    load.submit(simulation);
    simulation.runFor(drainTime);
    const OutcomeCounts n = OutcomeCounts::of(simulation);
    report(benchName, std::string(load.name) + (enabled ? "" : ", no admission"),
           {{"jobs", static_cast<double>(n.jobs)},
            {"accepted", static_cast<double>(n.accepted)},
            {"in_time", static_cast<double>(n.inTime)},
            {"useful", static_cast<double>(n.useful)},
            {"accepted_useless", static_cast<double>(n.accepted - n.useful)},
            {"refusals_checked", static_cast<double>(simulation.refusalsChecked)},
            {"refused_though_feasible", static_cast<double>(simulation.refusedThoughFeasible)},
            {"refused_for_another", static_cast<double>(simulation.refusedForAnother)}});
}

// Reports the time of a decision and a job's record beside a backlog of many jobs.
void reportCost(int backlogJobs)
{
    JobAdmission admission({});
    JobTable table;
    constexpr int decisions = 2'000;
    const auto submit = [&](int n) {
        JobSpec spec;
        spec.id = std::to_string(n);
        spec.policy = {"q", "s", 0, 1, 2.0, Millis{1'000 + n % 600 * 100}};
        spec.steps = {{.taskCount = 4, .demand = {1'000, 0, 0}, .estimatedDuration = Millis{500}}};
        admission.decide(spec, Instant{n}, n);
        const JobAccepted record{spec, n};
        table.apply(record);
        admission.apply(record, table);
    };
    for (int n = 0; n < backlogJobs; ++n)
        submit(n);
    const auto begin = std::chrono::steady_clock::now();
    for (int n = 0; n < decisions; ++n)
        submit(backlogJobs + n);
    const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - begin;
    report(benchName, "backlog of " + std::to_string(backlogJobs) + " jobs",
           {{"micros_per_submission", time.count() / decisions}});
}

} // namespace

int main()
{
    reportTableHeader("load",
                      {"jobs", "accepted", "in time", "useful", "accepted useless",
                       "refusals checked", "refused though feasible", "refused for another"});
    for (const Load &it : loads) {
        reportLoad(it, false);
        reportLoad(it, true);
    }
    reportTableHeader("cost", {"us per submission"});
    for (const int jobs : {100, 8'000})
        reportCost(jobs);
}
