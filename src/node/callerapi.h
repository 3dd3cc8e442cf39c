#pragma once

#include "core/latencyhistogram.h"
#include "net/asynchttpserver.h"
#include "net/eventloop.h"
#include "node/admissiondigest.h"
#include "node/shardrequest.h"
#include "savorywick/clock.h"
#include "savorywick/steps/queues.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace savorywick {

// Converts between callers' HTTP messages and jobs. Implement it in a platform adapter.
//
// Implementations are stateless and thread-safe.
class CallerCodec
{
public:
    virtual ~CallerCodec() = default;

    // Returns the job in the request body. If the body holds no valid job, returns std::nullopt and
    // sets `error` to the reason.
    virtual std::optional<steps::JobSpec> decodeJob(std::string_view body, std::string_view id,
                                                    const steps::QueuePolicy &policy,
                                                    std::string &error) const = 0;
    // Returns true if and only if the text is a valid job id.
    virtual bool isJobId(std::string_view text) const = 0;
    // Returns the response body that reports a job's state.
    virtual std::string encodeJobState(steps::JobState state) const = 0;
    // Returns the response body that reports the number of pending jobs in a queue.
    virtual std::string encodePendingCount(int pendingCount) const = 0;
    // Returns how long the caller waits for a response, or std::nullopt if the headers do not say.
    virtual std::optional<Millis> callerTimeout(const HttpHeaders &headers) const = 0;
};

// Timeouts and retry limits of a CallerApi.
struct CallerApiSettings
{
    // Another attempt is made if the owner has not replied by then. The reply still counts if it
    // comes within `attemptTimeout`.
    Millis ownerTimeout{900};
    Millis attemptTimeout{1'800}; // Of one request to a shard owner.
    Millis retryInterval{120}; // Applies while the owner is unknown or does not reply.
    // A request that certainly had no effect is retried for this long, then refused with a 503.
    Millis maxRetryTime{450};
    Millis responseMargin{150}; // A response is sent this long before the caller's timeout.
    // A request whose owner has not replied is answered this long after its last timeout.
    Millis ownerTimeoutSlack{20};
    // A request is refused if limitDeadlines() leaves it less than this, since its outcome would
    // most likely be unknown.
    Millis minTimeToServe{300};
    Millis defaultCallerTimeout{3'000}; // Applies if the caller states no timeout.
    // The least Retry-After: another entry takes over an ownerless shard within a few seconds.
    int retryAfterSeconds = 1;
    AdmissionDigestSettings digest; // Of the refusals of owners in other entries.
};

// How many requests were answered, by what their callers learned.
struct CallerAnswerCounts
{
    std::uint64_t conclusive = 0; // The result, or that the request is not valid.
    std::uint64_t refused = 0; // The request had no effect (503).
    std::uint64_t undecided = 0; // The request may take effect (504).
};

// Serves callers' HTTP requests: finds the queue, sends the request to the owner of the job's shard
// and converts the reply to an HTTP response.
//
// A 404 or 503 response guarantees that the request had no effect. If the outcome is unknown, the
// response is 504. Every request is answered before its caller's timeout, even if the owner never
// replies. Not thread-safe.
class CallerApi
{
public:
    struct Dependencies
    {
        EventLoop &loop;
        const Clock &clock;
        const CallerCodec &codec;
        const steps::QueueTable &queues;
        // Sends the request to the owner of the key's shard, in this or another entry.
        std::function<void(const std::string &key, const ShardRequest &, Millis timeout,
                           ShardReplyCallback)>
            sendToOwner;
    };

    // The references in `dependencies` must outlive this object.
    CallerApi(const CallerApiSettings &settings, Dependencies dependencies);

    // Handles one request and calls `respond` exactly once.
    void handle(const HttpRequest &request, const AsyncHttpServer::Responder &respond);

    // Answers all requests, present and future ones, by `latest`. Those that come when it is too
    // late to serve them are refused at once.
    void limitDeadlines(Instant latest);

    // Returns the counts of all answers since the start.
    const CallerAnswerCounts &answerCounts() const { return m_answerCounts; }
    // Returns the times from a request's receipt to the owner's conclusive reply.
    const LatencyHistogram &responseTimes() const { return m_responseTimes; }
    // Returns how many requests ended without a conclusive reply, by their last outcome.
    const std::map<ShardOutcome, std::uint64_t> &refusals() const { return m_refusals; }

private:
    struct PendingRequest;

    void countAnswer(int status);
    std::optional<ShardRequest> parseRequest(const HttpRequest &request,
                                             const steps::QueueMatch &match,
                                             HttpResponse &errorResponse, std::string &key) const;
    void sendToOwner(const std::shared_ptr<PendingRequest> &pending);
    void handleReply(const std::shared_ptr<PendingRequest> &pending, int attempt,
                     const ShardReply &reply);
    void handleSilence(const std::shared_ptr<PendingRequest> &pending);
    void retryLater(const std::shared_ptr<PendingRequest> &pending);
    void armDeadline(const std::shared_ptr<PendingRequest> &pending);
    void handleDeadline(const std::shared_ptr<PendingRequest> &pending);
    void giveUp(const std::shared_ptr<PendingRequest> &pending, ShardOutcome outcome,
                Millis retryAfter = {});
    void settle(const std::shared_ptr<PendingRequest> &pending, const ShardReply &reply);
    HttpResponse toResponse(const PendingRequest &pending, const ShardReply &reply) const;
    HttpResponse serviceUnavailable(Millis retryAfter = {}) const;

    const CallerApiSettings m_settings;
    Dependencies m_dependencies;
    LatencyHistogram m_responseTimes;
    std::map<ShardOutcome, std::uint64_t> m_refusals;
    std::set<std::shared_ptr<PendingRequest>> m_pending;
    std::optional<Instant> m_latestDeadline; // Set by limitDeadlines().
    CallerAnswerCounts m_answerCounts;
};

} // namespace savorywick
