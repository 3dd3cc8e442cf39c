#include "entry/shardactor.h"

#include "core/log.h"

namespace savorywick {

namespace {

const std::string &workerOf(const WorkerCall &effect)
{
    return std::visit([](const auto &it) -> const std::string & { return it.worker; }, effect);
}

std::chrono::milliseconds toChrono(Millis span)
{
    return std::chrono::milliseconds(span.count());
}

} // namespace

ShardActor::ShardActor(caf::actor_config &config, const OwnedShard &owned,
                       const ShardEngineSettings &settings, ShardSurroundings surroundings)
    : caf::event_based_actor(config)
    , m_owned(owned)
    , m_settings(settings)
    , m_around(std::move(surroundings))
{ }

caf::behavior ShardActor::make_behavior()
{
    send(m_around.store, LoadOrder{m_owned});
    return loading();
}

caf::behavior ShardActor::loading()
{
    return {
        [this](const ShardLoaded &loaded) {
            m_engine = std::make_unique<ShardEngine>(m_owned, m_settings, now());
            m_engine->restore(loaded.snapshot, loaded.records, now());
            logInfo("shard-restored",
                    {{"shard", m_owned.shard},
                     {"epoch", m_owned.row.epoch},
                     {"records", std::uint64_t(loaded.records.size())}});
            become(running());
            m_around.ready(m_owned.shard);
            for (const ShardMessage &it : std::exchange(m_early, {}))
                take(it);
            delayed_send(this, toChrono(m_around.tickEvery), Tick{});
            pump();
        },
        [this](const ShardMessage &message) { m_early.push_back(message); },
        [this](DropShard) { finish(); },
    };
}

caf::behavior ShardActor::running()
{
    return {
        [this](const ShardMessage &message) {
            take(message);
            pump();
        },
        [this](Tick) {
            if (m_around.mayAct())
                m_engine->tick(now());
            delayed_send(this, toChrono(m_around.tickEvery), Tick{});
            pump();
        },
        [this](const CommitEnded &ended) {
            m_engine->commitEnded(ended.result, now());
            pump();
        },
        [this](const RowRead &read) {
            m_engine->rowRead(read.row, now());
            pump();
        },
        [this](const ObjectPut &put) {
            m_engine->objectPut(put.stored);
            pump();
        },
        [this](const LeaseAnswer &answer) {
            JobScheduler::Records records;
            JobScheduler &jobs = m_engine->jobs();
            if (answer.granted) {
                jobs.handleLeaseReply(answer.worker, answer.report, now(), records);
                m_engine->control().observe(answer.worker, answer.report, jobs, now(), records);
            } else {
                jobs.handleLeaseFailure(answer.worker, now());
            }
            m_engine->settle(records);
            pump();
        },
        [this](const StartAnswer &answer) {
            JobScheduler::Records records;
            m_engine->jobs().handleStartReply(answer.job, answer.attempt, answer.reply, now(),
                                              records);
            m_engine->settle(records);
            pump();
        },
        [this](const StopAnswer &answer) {
            JobScheduler::Records records;
            m_engine->jobs().handleStopReply(answer.call, answer.stopped, now(), records);
            m_engine->settle(records);
            pump();
        },
        [this](const CheckpointAnswer &answer) {
            JobScheduler::Records records;
            m_engine->jobs().handleCheckpointReply(answer.job, answer.attempt, answer.checkpoint,
                                                   now(), records);
            m_engine->settle(records);
            pump();
        },
        [this](DropShard) { finish(); },
    };
}

void ShardActor::finish()
{
    for (const ShardMessage &it : m_early)
        refuse(it);
    m_around.over(m_owned.shard);
    send_exit(m_around.store, caf::exit_reason::user_shutdown);
    quit();
}

void ShardActor::pump()
{
    const ShardActions actions = m_engine->pump(now());
    if (actions.over) {
        finish();
        return;
    }
    if (actions.commit)
        send(m_around.store, CommitOrder{*actions.commit});
    if (actions.readBack)
        send(m_around.store, ReadRowOrder{shardKey(m_owned.shard)});
    if (actions.putObject)
        send(m_around.store, PutOrder{*actions.putObject});
    if (actions.removeObject)
        send(m_around.store, RemoveOrder{*actions.removeObject});
    for (const WorkerCall &it : actions.effects)
        carryOut(it);
}

void ShardActor::take(const ShardMessage &message)
{
    const bool release = std::holds_alternative<ReleaseShard>(message);
    if (!release && !m_around.mayAct()) {
        refuse(message);
        return;
    }
    std::visit([this](const auto &it) { handle(it); }, message);
}

void ShardActor::carryOut(const WorkerCall &effect)
{
    const std::size_t n = std::hash<std::string>{}(workerOf(effect));
    const caf::actor &to = m_around.workerCallers[n % m_around.workerCallers.size()];
    const auto self = caf::actor_cast<caf::actor>(this);
    send(to, EffectOrder{effect, m_owned.shard, m_engine->epoch(), self});
}

void ShardActor::handle(const OpenClaim &message)
{
    m_engine->openClaim(message.request, message.slot, now());
}

void ShardActor::handle(const CloseClaim &message)
{
    switch (message.end) {
    case ClaimEnd::Finished:
        m_engine->finishClaim(message.key, message.answer, now());
        break;
    case ClaimEnd::Released:
        m_engine->releaseClaim(message.key, now());
        break;
    case ClaimEnd::Unknown:
        m_engine->markClaimUnknown(message.key, now());
        break;
    }
}

void ShardActor::handle(const SubmitRun &message)
{
    m_engine->submit(message.spec, message.slot, now());
}

void ShardActor::handle(const SubmitWatcher &message)
{
    m_engine->watch(message.spec, message.slot, now());
}

void ShardActor::handle(const CancelJob &message)
{
    m_engine->cancel(message.id, message.slot, now());
}

void ShardActor::handle(const QueryJob &message)
{
    m_engine->query(message.id, message.slot);
}

void ShardActor::handle(const AskReport &message)
{
    message.slot->give(m_engine->report(now()));
}

void ShardActor::handle(const AskLiveWork &message)
{
    m_engine->liveWork(message.service, message.slot);
}

void ShardActor::handle(const WorkersChanged &message)
{
    m_engine->jobs().setWorkers(message.workers, now());
    m_engine->control().setWorkers(message.workers);
    if (!message.policy)
        return;
    m_engine->control().setTargetP99s(message.policy->targets);
    for (const TeamPolicy &it : message.policy->teams)
        m_engine->jobs().setTeam(it.team, it.share);
}

void ShardActor::handle(const ReleaseShard & /*message*/)
{
    m_engine->release();
}

namespace {

struct Refuser
{
    void operator()(const OpenClaim &it) const { it.slot->give({ShardRefusal::NotOwner, {}}); }
    void operator()(const SubmitRun &it) const { it.slot->give({ShardRefusal::NotOwner, {}}); }
    void operator()(const SubmitWatcher &it) const { it.slot->give({ShardRefusal::NotOwner, {}}); }
    void operator()(const CancelJob &it) const { it.slot->give({ShardRefusal::NotOwner, {}}); }
    void operator()(const QueryJob &it) const { it.slot->give({ShardRefusal::NotOwner, {}}); }
    void operator()(const AskLiveWork &it) const { it.slot->give({ShardRefusal::NotOwner, {}}); }
    void operator()(const AskReport & /*it*/) const { }
    void operator()(const CloseClaim & /*it*/) const { }
    void operator()(const WorkersChanged & /*it*/) const { }
    void operator()(const ReleaseShard & /*it*/) const { }
};

} // namespace

void refuse(const ShardMessage &message)
{
    std::visit(Refuser{}, message);
}

} // namespace savorywick
