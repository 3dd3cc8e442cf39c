#include "entry/shardactor.h"

#include "core/log.h"

namespace savorywick {

namespace {

const std::string &targetWorker(const WorkerCall &call)
{
    return std::visit([](const auto &it) -> const std::string & { return it.worker; }, call);
}

std::chrono::milliseconds toChrono(Millis span)
{
    return std::chrono::milliseconds(span.count());
}

} // namespace

ShardActor::ShardActor(caf::actor_config &config, const OwnedShard &owned,
                       const ShardEngineSettings &settings, ShardActorContext context)
    : caf::event_based_actor(config)
    , m_owned(owned)
    , m_settings(settings)
    , m_context(std::move(context))
{ }

caf::behavior ShardActor::make_behavior()
{
    send(m_context.store, LoadShardRequest{m_owned});
    return loading();
}

caf::behavior ShardActor::loading()
{
    return {
        [this](const LoadShardResponse &loaded) {
            m_engine = std::make_unique<ShardEngine>(m_owned, m_settings, now());
            m_engine->restore(loaded.snapshot, loaded.records, now());
            logInfo("shard-restored",
                    {{"shard", m_owned.shard},
                     {"epoch", m_owned.row.epoch},
                     {"records", std::uint64_t(loaded.records.size())}});
            become(running());
            m_context.onReady(m_owned.shard);
            for (const ShardMessage &it : std::exchange(m_deferredMessages, {}))
                dispatch(it);
            delayed_send(this, toChrono(m_context.tickInterval), Tick{});
            executeActions();
        },
        [this](const ShardMessage &message) { m_deferredMessages.push_back(message); },
        [this](StopShard) { shutDown(); },
    };
}

caf::behavior ShardActor::running()
{
    return {
        [this](const ShardMessage &message) {
            dispatch(message);
            executeActions();
        },
        [this](Tick) {
            if (m_context.hasValidLease())
                m_engine->tick(now());
            delayed_send(this, toChrono(m_context.tickInterval), Tick{});
            executeActions();
        },
        [this](const CommitResponse &response) {
            m_engine->commitFinished(response.result, now());
            executeActions();
        },
        [this](const ReadRowResponse &response) {
            m_engine->rowRead(response.row, now());
            executeActions();
        },
        [this](const PutObjectResponse &response) {
            m_engine->objectPutFinished(response.stored);
            executeActions();
        },
        [this](const RenewLeaseResponse &response) {
            JobScheduler::Records records;
            JobScheduler &jobs = m_engine->jobs();
            if (response.granted) {
                jobs.handleLeaseReply(response.worker, response.report, now(), records);
                m_engine->control().observe(response.worker, response.report, jobs, now(), records);
            } else {
                jobs.handleLeaseFailure(response.worker, now());
            }
            m_engine->appendJobRecords(records);
            executeActions();
        },
        [this](const StartTaskResponse &response) {
            JobScheduler::Records records;
            m_engine->jobs().handleStartReply(response.job, response.attempt, response.reply, now(),
                                              records);
            m_engine->appendJobRecords(records);
            executeActions();
        },
        [this](const StopTaskResponse &response) {
            JobScheduler::Records records;
            m_engine->jobs().handleStopReply(response.request, response.stopped, now(), records);
            m_engine->appendJobRecords(records);
            executeActions();
        },
        [this](const CheckpointTaskResponse &response) {
            JobScheduler::Records records;
            m_engine->jobs().handleCheckpointReply(response.job, response.attempt,
                                                   response.checkpoint, now(), records);
            m_engine->appendJobRecords(records);
            executeActions();
        },
        [this](StopShard) { shutDown(); },
    };
}

void ShardActor::shutDown()
{
    for (const ShardMessage &it : m_deferredMessages)
        rejectAsNotOwner(it);
    m_context.onStopped(m_owned.shard);
    send_exit(m_context.store, caf::exit_reason::user_shutdown);
    quit();
}

void ShardActor::executeActions()
{
    const ShardActions actions = m_engine->takeActions(now());
    if (actions.ownershipEnded) {
        shutDown();
        return;
    }
    if (actions.commit)
        send(m_context.store, CommitRequest{*actions.commit});
    if (actions.readRow)
        send(m_context.store, ReadRowRequest{shardKey(m_owned.shard)});
    if (actions.putObject)
        send(m_context.store, PutObjectRequest{*actions.putObject});
    if (actions.removeObject)
        send(m_context.store, RemoveObjectRequest{*actions.removeObject});
    for (const WorkerCall &it : actions.workerCalls)
        execute(it);
}

void ShardActor::dispatch(const ShardMessage &message)
{
    const bool release = std::holds_alternative<ReleaseShard>(message);
    if (!release && !m_context.hasValidLease()) {
        rejectAsNotOwner(message);
        return;
    }
    std::visit([this](const auto &it) { handle(it); }, message);
}

void ShardActor::execute(const WorkerCall &call)
{
    const std::size_t n = std::hash<std::string>{}(targetWorker(call));
    const caf::actor &to = m_context.workerActors[n % m_context.workerActors.size()];
    const auto self = caf::actor_cast<caf::actor>(this);
    send(to, WorkerCallRequest{call, m_owned.shard, m_engine->epoch(), self});
}

void ShardActor::handle(const OpenClaim &message)
{
    m_engine->openClaim(message.request, message.channel, now());
}

void ShardActor::handle(const CloseClaim &message)
{
    switch (message.outcome) {
    case ClaimOutcome::Finished:
        m_engine->finishClaim(message.key, message.answer, now());
        break;
    case ClaimOutcome::Released:
        m_engine->releaseClaim(message.key, now());
        break;
    case ClaimOutcome::Unknown:
        m_engine->markClaimUnknown(message.key, now());
        break;
    }
}

void ShardActor::handle(const SubmitRun &message)
{
    m_engine->submitRun(message.spec, message.channel, now());
}

void ShardActor::handle(const SubmitWatcher &message)
{
    m_engine->submitWatcher(message.spec, message.channel, now());
}

void ShardActor::handle(const CancelJob &message)
{
    m_engine->cancel(message.id, message.channel, now());
}

void ShardActor::handle(const QueryJob &message)
{
    m_engine->query(message.id, message.channel);
}

void ShardActor::handle(const QueryReport &message)
{
    message.channel->send(m_engine->report(now()));
}

void ShardActor::handle(const QueryLiveWork &message)
{
    m_engine->liveWork(message.service, message.channel);
}

void ShardActor::handle(const WorkersChanged &message)
{
    m_engine->jobs().setWorkers(message.workers, now());
    m_engine->control().setWorkers(message.workers);
    if (!message.policy)
        return;
    m_engine->control().setTargetP99s(message.policy->latencyTargets);
    for (const TeamPolicy &it : message.policy->teams)
        m_engine->jobs().setTeam(it.team, it.share);
}

void ShardActor::handle(const ReleaseShard & /*message*/)
{
    m_engine->release();
}

namespace {

struct NotOwnerReply
{
    void operator()(const OpenClaim &it) const { it.channel->send({ShardRefusal::NotOwner, {}}); }
    void operator()(const SubmitRun &it) const { it.channel->send({ShardRefusal::NotOwner, {}}); }
    void operator()(const SubmitWatcher &it) const
    {
        it.channel->send({ShardRefusal::NotOwner, {}});
    }
    void operator()(const CancelJob &it) const { it.channel->send({ShardRefusal::NotOwner, {}}); }
    void operator()(const QueryJob &it) const { it.channel->send({ShardRefusal::NotOwner, {}}); }
    void operator()(const QueryLiveWork &it) const
    {
        it.channel->send({ShardRefusal::NotOwner, {}});
    }
    void operator()(const QueryReport & /*it*/) const { }
    void operator()(const CloseClaim & /*it*/) const { }
    void operator()(const WorkersChanged & /*it*/) const { }
    void operator()(const ReleaseShard & /*it*/) const { }
};

} // namespace

void rejectAsNotOwner(const ShardMessage &message)
{
    std::visit(NotOwnerReply{}, message);
}

} // namespace savorywick
