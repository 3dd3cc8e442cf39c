#include "jobworld.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

using namespace savorywick;

namespace {

constexpr Millis stepSpan{250};
constexpr Millis callTimeout{2'000};
constexpr int longestDelay = 12'000; // Of a call on its way, in ms; less than a worker's term.

// Three entries, three workers and the network between. Faults are drawn from the seed: pauses and
// crashes of entries, pauses, cuts and restarts of workers, lost and late calls and answers, and
// all faults of the table.
class World
{
public:
    explicit World(unsigned seed)
        : m_random(seed)
    {
        for (int n = 0; n < 3; ++n)
            m_hosts.push_back(newHost());
        for (int n = 0; n < 3; ++n)
            addWorker("w" + std::to_string(n));
    }

    void run(int steps, bool faults)
    {
        m_faults = faults;
        for (int n = 0; n < steps; ++n)
            step();
    }

    // Heals everything and checks that every job ends.
    void finish()
    {
        for (Node &it : m_nodes)
            it.cutUntil = it.pausedUntil = it.unlistedUntil = {};
        for (Host &it : m_hosts)
            it.asleepUntil = {};
        run(1'200, false);
        JobBook *book = nullptr;
        for (Host &it : m_hosts) {
            if (it.owner->acts(m_now))
                book = it.owner->book();
        }
        demand(book != nullptr, "no entry owns the shard although everything is well");
        for (const std::string &id : m_facts.submitted) {
            const Job *job = book->find(id);
            demand(job != nullptr, "acknowledged job " + id + " is lost");
            demand(isFinal(job->state), "job " + id + " is still " + describe(*job));
        }
    }

    std::size_t starts() const { return m_facts.started.size(); }
    std::size_t takeovers() const { return m_takeovers; }
    std::size_t submitted() const { return m_facts.submitted.size(); }

private:
    struct Host
    {
        std::unique_ptr<Owner> owner;
        Millis asleepUntil;
        std::vector<std::function<void()>> waiting; // Answers that came while it slept.
    };
    struct Node
    {
        std::unique_ptr<FakeWorker> worker;
        Millis pausedUntil;
        Millis cutUntil;
        Millis unlistedUntil; // It is alive, but the membership list does not know it.
        std::vector<std::function<void()>> waiting; // Calls that came while it was paused.
    };

    // A checkpoint that is known to be durable.
    struct Kept
    {
        int attempt = 0;
        std::string checkpoint;
    };
    struct Watched
    {
        Millis from;
        Millis after;
    };

    static std::int64_t progressOf(const std::string &checkpoint)
    {
        return checkpoint.empty() ? 0 : std::stoll(checkpoint);
    }

    static std::string describe(const Job &job)
    {
        return std::string(toString(job.state)) + " in attempt " + std::to_string(job.attempt)
            + " on " + job.worker;
    }

    int draw(int below) { return std::uniform_int_distribution<int>(0, below - 1)(m_random); }
    bool chance(int oneIn) { return m_faults && draw(oneIn) == 0; }
    // The margins cover clocks that are off by 1.5 % each.
    double rate() { return 1.0 + (draw(31) - 15) / 1'000.0; }

    Host newHost()
    {
        // Each process is on a host of its own: a session named like an earlier one would end it.
        const std::string session = "entry" + std::to_string(++m_sessions) + ".1";
        return {std::make_unique<Owner>(m_table, m_facts, m_objects, session, rate()), {}, {}};
    }

    std::vector<HostInfo> listed() const
    {
        std::vector<HostInfo> all;
        for (const Node &it : m_nodes) {
            if (m_now >= it.unlistedUntil)
                all.push_back(it.worker->info());
        }
        return all;
    }

    void addWorker(const std::string &id)
    {
        HostInfo info;
        info.id = id;
        info.role = HostRole::Worker;
        info.cores = 8;
        info.memoryMb = 8'000;
        m_nodes.push_back({std::make_unique<FakeWorker>(info, rate()), {}, {}, {}, {}});
        m_nodes.back().worker->onStart = [this, id](const StartTask &call) { began(call, id); };
    }

    void began(const StartTask &call, const std::string &worker)
    {
        const std::string attempt = call.job + " attempt " + std::to_string(call.attempt);
        demand(!m_facts.cancelled.contains(call.job), "cancelled " + attempt + " was started");
        demand(m_facts.started.emplace(attempt, worker).second, attempt + " was started twice");
        const auto kept = m_checkpoints.find(call.job);
        if (kept == m_checkpoints.end() || kept->second.attempt >= call.attempt)
            return;
        demand(progressOf(call.checkpoint) >= progressOf(kept->second.checkpoint),
               attempt + " resumed from before its recorded checkpoint");
    }

    void step()
    {
        m_now = m_now + stepSpan;
        breakThings();
        for (Node &it : m_nodes)
            wake(it);
        deliver();
        check();
        for (std::size_t n = 0; n < m_hosts.size(); ++n)
            runHost(n);
        deliver();
        check();
    }

    void breakThings()
    {
        m_tableFault = m_now < m_tableBrokenUntil ? m_tableFault : FakeTable::Fault::None;
        if (chance(60)) {
            m_tableFault = static_cast<FakeTable::Fault>(1 + draw(4));
            m_tableBrokenUntil = m_now + Millis{draw(4) == 0 ? draw(30'000) : draw(1'000)};
        }
        if (chance(20))
            m_table.deliverDelayed();
        Node &node = m_nodes[static_cast<std::size_t>(draw(3))];
        if (chance(120))
            node.cutUntil = m_now + Millis{draw(60'000)};
        if (chance(120))
            node.pausedUntil = m_now + Millis{draw(60'000)};
        if (chance(200))
            node.worker->restart();
        if (chance(120))
            node.unlistedUntil = m_now + Millis{draw(60'000)};
        node.worker->setFailAll(chance(3));
        Host &host = m_hosts[static_cast<std::size_t>(draw(3))];
        if (chance(80))
            host.asleepUntil = m_now + Millis{draw(25'000)};
        if (chance(150))
            host = newHost();
    }

    // A worker that wakes looks at its lease first, and then finds the calls in its sockets.
    void wake(Node &node)
    {
        if (m_now < node.pausedUntil)
            return;
        node.worker->advance(m_now);
        for (const auto &call : std::exchange(node.waiting, {}))
            call();
    }

    void runHost(std::size_t n)
    {
        Host &host = m_hosts[n];
        if (m_now < host.asleepUntil)
            return;
        m_table.setFault(m_tableFault);
        for (const auto &answer : std::exchange(host.waiting, {}))
            answer();
        const std::uint64_t before = host.owner->epoch();
        const auto calls = host.owner->run(m_now, listed());
        m_takeovers += host.owner->epoch() > before ? 1 : 0;
        if (host.owner->over())
            host = newHost();
        for (const Effect &it : calls)
            send(n, it);
        if (!host.owner->acts(m_now))
            return;
        checkWatchers(*host.owner->book());
        if (m_faults && draw(4) == 0)
            clientAct(*host.owner);
    }

    void clientAct(Owner &owner)
    {
        const std::string id = "j" + std::to_string(draw(40));
        const int action = draw(7);
        if (action == 6)
            watch(owner, "t" + std::to_string(draw(20)), id);
        else if (action < 3)
            submit(owner, id);
        else if (action == 3)
            cancel(owner, id);
        else
            owner.decide(m_now, [&](JobBook &book, Instant now, JobBook::Records &records) {
                book.evict(id, now, records);
            });
    }

    void submit(Owner &owner, const std::string &id)
    {
        JobSpec spec;
        spec.id = id;
        spec.service = "matching";
        spec.key = id;
        spec.demand = {1 + static_cast<int>(std::hash<std::string>{}(id) % 6), 500, 0};
        spec.expected = Millis{5'000 + static_cast<int>(std::hash<std::string>{}(id) % 30'000)};
        spec.checkpointable = id.back() != '0';
        owner.decide(
            m_now,
            [&](JobBook &book, Instant now, JobBook::Records &records) {
                book.submit(spec, now, records);
            },
            [this, id] { m_facts.submitted.insert(id); });
    }

    // Half of the watchers wait for a run, the others for time.
    void watch(Owner &owner, const std::string &id, const std::string &run)
    {
        WatcherSpec spec;
        spec.id = id;
        spec.service = "matching";
        spec.key = id;
        spec.after = Millis{draw(60'000)};
        if (id.back() % 2 == 0 && m_facts.submitted.contains(run))
            spec.untilRun = run;
        const Watched watched{m_now, spec.after};
        bool accepted = false;
        owner.decide(
            m_now,
            [&](JobBook &book, Instant now, JobBook::Records &records) {
                accepted = book.watch(spec, now, records).outcome == SubmitOutcome::Accepted;
            },
            [this, id] { m_facts.submitted.insert(id); });
        if (accepted && spec.untilRun.empty())
            m_watched[id] = watched;
    }

    void checkWatchers(JobBook &book)
    {
        for (auto it = m_watched.begin(); it != m_watched.end();) {
            const Job *job = book.find(it->first);
            const bool fired = job != nullptr && job->state == JobState::Finished;
            const Millis least = it->second.after * 97 / 100; // Clocks differ by up to 2 %.
            demand(!fired || m_now - it->second.from >= least, it->first + " fired early");
            it = fired ? m_watched.erase(it) : std::next(it);
        }
    }

    void cancel(Owner &owner, const std::string &id)
    {
        bool never = false;
        owner.decide(
            m_now,
            [&](JobBook &book, Instant now, JobBook::Records &records) {
                const auto state = book.cancel(id, now, records);
                never = state == JobState::Cancelled;
            },
            [] {});
        if (!never)
            return;
        owner.decide(
            m_now, [](JobBook &, Instant, JobBook::Records &) {},
            [this, id] { m_facts.cancelled.insert(id); });
    }

    // Sends a call: it and its answer may be late or lost, and the caller gives up in time.
    void send(std::size_t host, const Effect &effect)
    {
        const std::uint64_t epoch = m_hosts[host].owner->epoch();
        const Owner *owner = m_hosts[host].owner.get();
        const std::uint64_t call = ++m_calls;
        m_open.insert(call);
        const Millis there{chance(25) ? draw(longestDelay) : draw(300)};
        if (!chance(15))
            post(m_now + there, [=, this] { arrive(host, owner, epoch, call, effect); });
        post(m_now + callTimeout, [=, this] {
            answer(host, owner, epoch, call, [effect](auto &book, Instant now, auto &records) {
                std::visit([&](const auto &it) { fail(book, it, now, records); }, effect);
            });
        });
    }

    void arrive(std::size_t host, const Owner *owner, std::uint64_t epoch, std::uint64_t call,
                const Effect &effect)
    {
        Node &node = nodeOf(std::visit([](const auto &it) { return it.worker; }, effect));
        if (m_now < node.pausedUntil) {
            node.waiting.push_back([=, this] { arrive(host, owner, epoch, call, effect); });
            return;
        }
        if (m_now < node.cutUntil)
            return;
        node.worker->advance(m_now);
        Answer reply = std::visit([&](const auto &it) { return handle(node, it, epoch); }, effect);
        if (!chance(15))
            post(m_now + Millis{draw(300)}, [=, this] { answer(host, owner, epoch, call, reply); });
    }

    using Answer = std::function<void(JobBook &, Instant, JobBook::Records &)>;

    void answer(std::size_t host, const Owner *owner, std::uint64_t epoch, std::uint64_t call,
                const Answer &reply)
    {
        Host &to = m_hosts[host];
        if (to.owner.get() != owner)
            return;
        if (m_now < to.asleepUntil) {
            to.waiting.push_back([=, this] { answer(host, owner, epoch, call, reply); });
            return;
        }
        if (m_open.erase(call) != 1 || to.owner->epoch() != epoch)
            return;
        m_landing = nullptr;
        to.owner->decide(m_now, reply);
        if (m_landing)
            to.owner->decide(
                m_now, [](auto &, auto, auto &) {}, std::exchange(m_landing, {}));
    }

    Answer handle(Node &node, const RenewLease &call, std::uint64_t epoch)
    {
        const auto report = node.worker->renew(call, epoch, m_now);
        return [=](JobBook &book, Instant now, JobBook::Records &records) {
            if (report)
                book.leaseReply(call.worker, *report, now, records);
            else
                book.leaseFailed(call.worker, now);
        };
    }

    Answer handle(Node &node, const StartTask &call, std::uint64_t epoch)
    {
        const StartReply reply = node.worker->start(call, epoch, m_now);
        return [=](JobBook &book, Instant now, JobBook::Records &records) {
            book.startReply(call.job, call.attempt, reply, now, records);
        };
    }

    Answer handle(Node &node, const StopTask &call, std::uint64_t epoch)
    {
        const bool stopped = node.worker->stop(call, epoch);
        return [=](JobBook &book, Instant now, JobBook::Records &records) {
            book.stopReply(call, stopped, now, records);
        };
    }

    Answer handle(Node &node, const CheckpointTask &call, std::uint64_t epoch)
    {
        const auto checkpoint = node.worker->checkpoint(call, epoch, m_now);
        return [=, this](JobBook &book, Instant now, JobBook::Records &records) {
            const Job *job = book.find(call.job);
            const bool before = job != nullptr && job->state == JobState::Evicting;
            book.checkpointReply(call.job, call.attempt, checkpoint, now, records);
            const bool after = job != nullptr && job->state == JobState::Evicting;
            if (!before && after)
                m_landing = [=, this] { m_checkpoints[call.job] = {call.attempt, *checkpoint}; };
        };
    }

    Answer handle(Node &, const ThrottleTask &, std::uint64_t)
    {
        return [](JobBook &, Instant, JobBook::Records &) {};
    }

    static void fail(JobBook &book, const RenewLease &call, Instant now, JobBook::Records &)
    {
        book.leaseFailed(call.worker, now);
    }
    static void fail(JobBook &book, const StartTask &call, Instant now, JobBook::Records &records)
    {
        book.startReply(call.job, call.attempt, {}, now, records);
    }
    static void fail(JobBook &book, const StopTask &call, Instant now, JobBook::Records &records)
    {
        book.stopReply(call, false, now, records);
    }
    static void fail(JobBook &book, const CheckpointTask &call, Instant now,
                     JobBook::Records &records)
    {
        book.checkpointReply(call.job, call.attempt, std::nullopt, now, records);
    }
    static void fail(JobBook &, const ThrottleTask &, Instant, JobBook::Records &) { }

    void post(Millis at, std::function<void()> action) { m_mail.emplace(at, std::move(action)); }

    void deliver()
    {
        while (!m_mail.empty() && m_mail.begin()->first <= m_now) {
            const auto action = std::move(m_mail.begin()->second);
            m_mail.erase(m_mail.begin());
            action();
        }
    }

    void check()
    {
        std::map<std::string, std::string> live;
        for (Node &node : m_nodes) {
            if (m_now < node.pausedUntil)
                continue;
            node.worker->advance(m_now);
            const HostInfo &info = node.worker->info();
            demand(node.worker->used().fitsIn({info.cores, info.memoryMb, info.accelerators}),
                   "worker " + info.id + " holds more than it has");
            for (const auto &[job, task] : node.worker->tasks()) {
                if (task.state != TaskState::Running)
                    continue;
                const auto other = live.emplace(job, info.id);
                demand(other.second,
                       job + " runs on " + other.first->second + " and on " + info.id);
            }
        }
    }

    Node &nodeOf(const std::string &worker)
    {
        return m_nodes[static_cast<std::size_t>(worker.back() - '0')];
    }

    std::mt19937 m_random;
    bool m_faults = true;
    Millis m_now;
    FakeTable m_table;
    FakeTable::Fault m_tableFault = FakeTable::Fault::None;
    Millis m_tableBrokenUntil;
    WorldFacts m_facts;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, Kept> m_checkpoints; // By job.
    std::map<std::string, Watched> m_watched; // Watchers for time that have not fired.
    std::vector<Host> m_hosts;
    std::vector<Node> m_nodes;
    std::multimap<Millis, std::function<void()>> m_mail;
    std::set<std::uint64_t> m_open;
    std::uint64_t m_calls = 0;
    std::function<void()> m_landing; // What the answer taken in last does once it is durable.
    int m_sessions = 0;
    std::size_t m_takeovers = 0;
};

} // namespace

TEST_CASE("One history a job whatever owners and workers and the store do")
{
    CHECK(rc::check("no attempt lives twice and nothing acknowledged is lost", [] {
        World world(*rc::gen::inRange(0U, 1'000'000'000U));
        world.run(*rc::gen::inRange(100, 1'200), true);
        world.finish();
        RC_CLASSIFY(world.takeovers() > 2, "several owners");
        RC_CLASSIFY(world.submitted() > 10, "many jobs");
    }));
}
