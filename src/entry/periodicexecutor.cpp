#include "entry/periodicexecutor.h"

#include "core/log.h"
#include "entry/actormessages.h"

namespace savorywick {

namespace {

class PeriodicActor final : public caf::event_based_actor
{
public:
    PeriodicActor(caf::actor_config &config, Millis interval, std::function<void()> function)
        : caf::event_based_actor(config)
        , m_interval(interval.count())
        , m_function(std::move(function))
    { }

    caf::behavior make_behavior() override
    {
        send(this, Tick{});
        return {
            [this](Tick) {
                try {
                    m_function();
                } catch (const std::exception &error) {
                    logError("periodic-work-failed", {{"why", error.what()}});
                }
                delayed_send(this, m_interval, Tick{});
            },
        };
    }

private:
    std::chrono::milliseconds m_interval;
    std::function<void()> m_function;
};

} // namespace

struct PeriodicExecutor::Impl
{
    caf::actor_system_config config;
    caf::actor_system system{config};
    std::vector<caf::actor> actors;
};

PeriodicExecutor::PeriodicExecutor()
    : m_impl(std::make_unique<Impl>())
{ }

PeriodicExecutor::~PeriodicExecutor()
{
    stop();
}

void PeriodicExecutor::schedule(Millis interval, std::function<void()> function)
{
    m_impl->actors.push_back(
        m_impl->system.spawn<PeriodicActor, caf::detached>(interval, std::move(function)));
}

void PeriodicExecutor::stop()
{
    for (const caf::actor &it : m_impl->actors)
        caf::anon_send_exit(it, caf::exit_reason::user_shutdown);
    m_impl->actors.clear();
    m_impl->system.await_all_actors_done();
}

} // namespace savorywick
