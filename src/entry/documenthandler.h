#pragma once

#include "core/settings.h"
#include "entry/callerrequest.h"
#include "entry/documentservice.h"
#include "entry/liveworkservice.h"

namespace savorywick {

// Handles the HTTP endpoints with which operators read, edit and check service documents.
//
// Every function returns the HTTP response, a problem response in case of failure. Thread-safe;
// calls block on the store and on the peers.
class DocumentHandler
{
public:
    // All references must outlive this object.
    DocumentHandler(const Settings &settings, DocumentService &documents,
                    const LiveWorkService &liveWork);

    // Returns the current revision of the document, or the one that the query asks for.
    HttpResponse show(const CallerRequest &request);
    // Replaces the document if the caller's team owns it and If-Match names its current revision.
    HttpResponse apply(const CallerRequest &request);
    // Returns the revision that each entry has in force and whether the edit is accepted.
    HttpResponse status(const CallerRequest &request);

private:
    std::optional<HttpResponse> rejectInvalidEdit(const CallerRequest &request,
                                                  const ParsedDocument &parsed) const;
    std::optional<HttpResponse> rejectClassInUse(const ServiceDocument &edited,
                                                 std::uint64_t baseRevision);

    const Settings &m_settings;
    DocumentService &m_documents;
    const LiveWorkService &m_liveWork;
};

} // namespace savorywick
