/// \file
/// Input events and output actions of the router core.

#pragma once

#include <balsamloft/admission/fairqueue.h>
#include <balsamloft/loadview.h>

#include <string>
#include <variant>
#include <vector>

namespace balsamloft {

/// Whether a request is addressed to a model or to a plain service.
enum class TargetKind : std::uint8_t { Model, Service };

/// The parts of a caller's request that routing decisions need. The body of a service call stays in
/// the I/O layer; the prompt is included because it is sent again when a completion resumes after a
/// failure.
struct Request
{
    RequestId id = 0;
    TargetKind kind = TargetKind::Model;
    std::string target; ///< name of the model or service
    std::string team;
    std::string prompt; ///< models only
    std::uint32_t maxTokens = 0; ///< models only, at least 1
    std::string path; ///< services only
    bool idempotentMethod = true; ///< services only: the HTTP method is idempotent
    std::string key; ///< idempotency key; empty if the caller sent none
    std::string contentDigest; ///< detects an idempotency key that is reused for other content
    bool nonIdempotent = false; ///< set by the caller or the rules; the rules cannot clear it
    Priority priority = Priority::Normal; ///< requested priority; the rules may lower it
    Time deadline {};
};

/// The complete answer to a request.
struct Answer
{
    int status = 200; ///< HTTP status, services only
    std::string contentType;
    std::string body; ///< text of a completion or body of a service's answer
    std::uint32_t tokens = 0;
    bool replayed = false; ///< stored answer of an earlier request with the same key
};

/// Reason for refusing or aborting a request.
enum class RefusalCode : std::uint8_t {
    NotReady,
    Draining,
    UnknownModel,
    UnknownService,
    InvalidRequest,
    RateLimited,
    ConcurrencyLimited,
    QueueFull,
    DeadlineUnmeetable,
    DeadlineExceeded,
    NoEndpoint,
    EndpointFailed,
    RetriesExhausted,
    ClaimUnavailable,
    DuplicateInProgress,
    KeyReused,
    CallerGone,
};

/// Returns the name of \a code in error responses, for example `rate_limited`.
std::string_view toString(RefusalCode code);

/// Identifies one step of one attempt. An answer is accepted only if all fields match.
struct StepRef
{
    RequestId request = 0;
    std::uint32_t attempt = 0;
    std::uint32_t position = 0; ///< index of the token that is generated
    LayerRange layers;

    bool operator==(const StepRef &) const = default;
};

/// An endpoint's answer to a step.
struct StepAnswer
{
    StepRef ref; ///< reference echoed by the endpoint
    std::string output; ///< activation, or the token from the last stage
    bool end = false; ///< this is the last token of the model's answer
    bool prefixHit = false; ///< the prompt's prefix was in the endpoint's cache
    LoadReport load;
};

/// How the execution of a step or call at an endpoint failed.
enum class FailureKind : std::uint8_t {
    NotSent, ///< connection refused or failed before any byte was written: not executed
    Busy, ///< the endpoint reported that it is at capacity: not executed
    Leaving, ///< the endpoint reported that it is shutting down: not executed
    StateLost, ///< the endpoint lost the attempt's state: this step was not executed
    Broken, ///< the connection failed after bytes were written: may have been executed
    Silent, ///< no answer before the timeout: may have been executed
};

/// Returns a short name of \a kind for logs and error messages.
std::string_view toString(FailureKind kind);

/// Returns whether a failure of \a kind proves that the step or call was not executed.
bool provesNotExecuted(FailureKind kind);

/// Result of claiming an idempotency key in the table service.
struct ClaimAnswer
{
    enum class Kind : std::uint8_t {
        Won, ///< this request owns the key
        Held, ///< another request owns the key; it is running or its outcome is unknown
        Finished, ///< another request with this key has finished; \c answer is its answer
        KeyReused, ///< the key belongs to a request with different content
        Unavailable, ///< the claim failed, or its result did not arrive in time
    };
    Kind kind = Kind::Unavailable;
    Answer answer;
};

/// Final state of a claim.
enum class ClaimOutcome : std::uint8_t {
    Finished, ///< executed; the answer is stored for retries with the same key
    NotExecuted, ///< nothing was executed; the key is released
    Unknown, ///< may have been executed; the key stays claimed
};

// Actions

struct SendStep
{
    StepRef ref;
    EndpointId endpoint = NoEndpoint;
    bool prefill = false; ///< first pass of the attempt through this stage
    bool firstStage = false;
    bool lastStage = false;
    bool lastToken = false; ///< the endpoint may free the attempt's state after this step
    Priority priority = Priority::Normal;
    Time deadline {};
    std::string input; ///< prompt with previous tokens, a single token, or an activation
};

struct CancelAttempt
{
    RequestId request = 0;
    std::uint32_t attempt = 0;
    EndpointId endpoint = NoEndpoint;
};

struct SendCall
{
    RequestId request = 0;
    std::uint32_t attempt = 0;
    EndpointId endpoint = NoEndpoint;
    Time deadline {};
};

struct EmitToken
{
    RequestId request = 0;
    std::string token;
};

struct FinishRequest
{
    RequestId request = 0;
    Answer answer;
};

struct RefuseRequest
{
    RequestId request = 0;
    RefusalCode code = RefusalCode::NotReady;
    std::string message;
    Executed ran = Executed::No;
    Duration retryAfter {}; ///< suggested delay before a retry; zero: a retry is pointless
};

struct StartClaim
{
    RequestId request = 0;
    std::string team;
    std::string key;
    std::string contentDigest;
    Time deadline {};
};

struct ResolveClaim
{
    RequestId request = 0;
    ClaimOutcome outcome = ClaimOutcome::Unknown;
    Answer answer;
};

/// Opens a new connection to the endpoint to check that it is reachable.
struct ProbeEndpoint
{
    EndpointId endpoint = NoEndpoint;
};

/// Closes idle connections to the endpoint, because one of its connections stopped
/// responding.
struct CloseConnections
{
    EndpointId endpoint = NoEndpoint;
};

/// Reports to the other instances that the endpoint is shutting down.
struct ReportLeaving
{
    EndpointId endpoint = NoEndpoint;
};

using Action =
    std::variant<SendStep, CancelAttempt, SendCall, EmitToken, FinishRequest, RefuseRequest,
                 StartClaim, ResolveClaim, ProbeEndpoint, CloseConnections, ReportLeaving>;

using Actions = std::vector<Action>;

} // namespace balsamloft
