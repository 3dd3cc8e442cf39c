#pragma once

#include "savorywick/clock.h"
#include "savorywick/steps/duequeue.h"
#include "savorywick/steps/job.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick::steps {

// A task that waits for its worker.
struct WaitingTask
{
    TaskRef task;
    std::string worker;
    Instant since; // When the task last had a run, or a start of it was sent.
};

// Knows to which worker the next run of a task must go, since a start of it got no answer there.
//
// The worker may execute such an order seconds later, also in its next life, which has forgotten
// the fence that would keep it out. A run of the same task on another worker would then be a second
// one. On the same worker it is none: the life that runs it knows its fence, and one that does not
// know it runs nothing of the task but the late start. So nothing has to be waited for as long as
// the worker takes the task.
//
// While it does not, the task waits until a time that the caller sets, or until the caller knows
// that it is of no use; from then on it may run anywhere. A worker that is
// back after that and executes the order before a new fence reaches it runs the task a second time.
//
// Use one for each owner of a shard; the owner records the starts for the next one. It is pure and
// not thread-safe.
//
// Example:
//   starts.noteUnanswered(task, "worker-7", sentAt, sentAt + maxWait);
//   ...
//   if (const std::string *worker = starts.workerFor(task))
//       startOn(*worker, task);
class UnansweredStarts
{
public:
    // `maxExecutionDelay` is the longest time from sending an order to its execution.
    explicit UnansweredStarts(Millis maxExecutionDelay)
        : m_maxExecutionDelay(maxExecutionDelay)
    { }

    // Notes that the worker left a start of the task unanswered that was sent no later than
    // `sentAt`, and does not have the run. Until `waitsUntil` the task waits for the worker if it
    // does not take it.
    void noteUnanswered(const TaskRef &task, const std::string &worker, Instant sentAt,
                        Instant waitsUntil);
    // Notes that another run of the task was placed on its worker, if it must go there.
    void notePlaced(const TaskRef &task);
    // Notes that the order for this run was not sent, so that the task waits as before.
    void noteWithdrawn(const TaskRef &task);
    // Notes that the run is lost that the worker had and last answered for at `seenAt`. Until
    // `waitsUntil` the task waits for the worker.
    void noteLost(const TaskRef &task, Instant seenAt, Instant waitsUntil);
    // Lets the task run anywhere.
    void settle(const TaskRef &task);
    // Lets the tasks run anywhere that must go to the worker, and returns them. Call it when
    // nothing that was sent to the worker can be executed any more.
    std::vector<WaitingTask> settleWorker(std::string_view worker);
    // Forgets the tasks of a job that has ended or left.
    void forgetJob(const std::string &job);
    // Lets those tasks run anywhere whose time is over, and returns them.
    std::vector<WaitingTask> takeReleased(Instant now);

    // Returns the worker that the next run of the task must go to, or nullptr if it may go
    // anywhere. The pointer holds until the next change.
    const std::string *workerFor(const TaskRef &task) const;
    // Returns true if and only if this is the first run on the worker since the unanswered start,
    // which no failure of another start should delay.
    bool isFirstRetry(const TaskRef &task) const;
    // Returns the tasks without a run that must go to their workers.
    std::vector<WaitingTask> waiting() const;
    // Returns true if and only if waiting() returns some.
    bool hasWaiting() const;
    // Returns true if and only if a task of the job must go to a worker.
    bool concerns(const std::string &job) const;

private:
    struct Start
    {
        std::string worker;
        Instant voidAt; // From then on the order can't be executed any more.
        Instant waitsSince;
        Instant waitsUntil;
        bool hasRun = false;
        bool retried = false;
    };

    void schedule(const TaskRef &task);

    Millis m_maxExecutionDelay;
    std::map<TaskRef, Start> m_starts;
    DueQueue<TaskRef> m_releases;
};

} // namespace savorywick::steps
