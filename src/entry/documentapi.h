#pragma once

#include "core/settings.h"
#include "entry/callercontext.h"
#include "entry/documentservice.h"

namespace savorywick {

// Serves the operators' calls about documents. Thread-safe; calls block on the store and the peers.
class DocumentApi
{
public:
    // Both must outlive this object.
    DocumentApi(const Settings &settings, DocumentService &documents);

    HttpResponse show(const CallerRequest &request);
    HttpResponse apply(const CallerRequest &request);
    HttpResponse status(const CallerRequest &request);

private:
    std::optional<HttpResponse> refuse(const CallerRequest &request,
                                       const ParsedDocument &parsed) const;

    const Settings &m_settings;
    DocumentService &m_documents;
};

} // namespace savorywick
