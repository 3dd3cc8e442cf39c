#pragma once

#include "core/settings.h"
#include "entry/callercontext.h"
#include "entry/documentservice.h"
#include "entry/liveworkservice.h"

namespace savorywick {

// Serves the operators' calls about documents. Thread-safe; calls block on the store and the peers.
class DocumentApi
{
public:
    // All references must outlive this object.
    DocumentApi(const Settings &settings, DocumentService &documents,
                const LiveWorkService &liveWork);

    HttpResponse show(const CallerRequest &request);
    HttpResponse apply(const CallerRequest &request);
    HttpResponse status(const CallerRequest &request);

private:
    std::optional<HttpResponse> refuse(const CallerRequest &request,
                                       const ParsedDocument &parsed) const;
    std::optional<HttpResponse> refuseStranding(const ServiceDocument &after,
                                                std::uint64_t baseRevision);

    const Settings &m_settings;
    DocumentService &m_documents;
    const LiveWorkService &m_liveWork;
};

} // namespace savorywick
