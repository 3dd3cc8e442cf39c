#include "savorywick/steps/queues.h"

namespace savorywick::steps {

bool QueueTable::apply(QueueConfiguration configuration)
{
    if (configuration.version <= m_configuration.version)
        return false;
    m_configuration = std::move(configuration);
    return true;
}

QueueMatch QueueTable::find(std::string_view host, std::string_view path) const
{
    const std::string_view hostname = host.substr(0, host.find(':'));
    QueueMatch best;
    for (const Queue &it : m_configuration.queues) {
        const bool longer = !best.queue || it.pathPrefix.size() > best.queue->pathPrefix.size();
        if (it.host != hostname || !path.starts_with(it.pathPrefix) || !longer)
            continue;
        best = {&it, path.substr(it.pathPrefix.size())};
    }
    return best;
}

} // namespace savorywick::steps
