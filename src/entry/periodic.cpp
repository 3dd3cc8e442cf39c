#include "entry/periodic.h"

#include "core/log.h"
#include "entry/actormessages.h"

namespace savorywick {

namespace {

class PeriodicActor final : public caf::event_based_actor
{
public:
    PeriodicActor(caf::actor_config &config, Millis span, std::function<void()> work)
        : caf::event_based_actor(config)
        , m_span(span.count())
        , m_work(std::move(work))
    { }

    caf::behavior make_behavior() override
    {
        send(this, Tick{});
        return {
            [this](Tick) {
                try {
                    m_work();
                } catch (const std::exception &error) {
                    logError("periodic-work-failed", {{"why", error.what()}});
                }
                delayed_send(this, m_span, Tick{});
            },
        };
    }

private:
    std::chrono::milliseconds m_span;
    std::function<void()> m_work;
};

} // namespace

struct Periodic::Impl
{
    caf::actor_system_config config;
    caf::actor_system system{config};
    std::vector<caf::actor> actors;
};

Periodic::Periodic()
    : m_impl(std::make_unique<Impl>())
{ }

Periodic::~Periodic()
{
    stop();
}

void Periodic::every(Millis span, std::function<void()> work)
{
    m_impl->actors.push_back(
        m_impl->system.spawn<PeriodicActor, caf::detached>(span, std::move(work)));
}

void Periodic::stop()
{
    for (const caf::actor &it : m_impl->actors)
        caf::anon_send_exit(it, caf::exit_reason::user_shutdown);
    m_impl->actors.clear();
    m_impl->system.await_all_actors_done();
}

} // namespace savorywick
