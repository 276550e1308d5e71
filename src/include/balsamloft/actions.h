/// \file
/// What the traffic core is told (events) and what it asks for (actions).

#pragma once

#include <balsamloft/fairqueue.h>
#include <balsamloft/loadview.h>

#include <string>
#include <variant>
#include <vector>

namespace balsamloft {

/// What a request is addressed to.
enum class TargetKind : std::uint8_t { Model, Service };

/// A caller's request as the core sees it. The content of a service call
/// stays with the adapter; the prompt is needed to resume a completion.
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
    std::string key; ///< idempotency key; empty when the caller gave none
    std::string contentDigest; ///< tells whether a repeated key has the same content
    bool nonIdempotent = false; ///< as the caller marked it; rules can only add the mark
    Priority priority = Priority::Normal; ///< as asked for; capped by the rules
    Time deadline {};
};

/// The whole answer to a request.
struct Answer
{
    int status = 200; ///< HTTP status, services only
    std::string contentType;
    std::string body; ///< text of a completion or body of a service's answer
    std::uint32_t tokens = 0;
    bool replayed = false; ///< kept from an earlier request with the same key
};

/// Why a request was refused or given up on.
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

/// Returns the name of \a code as callers see it, for example `rate_limited`.
std::string_view toString(RefusalCode code);

/// Identifies one step of one attempt. An answer must match all of it.
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
    StepRef ref; ///< as the endpoint echoed it
    std::string output; ///< activation, or the token from the last stage
    bool end = false; ///< the model ended its answer with this token
    bool prefixHit = false; ///< the prefix was cached
    LoadReport load;
};

/// How an attempt to execute something at an endpoint failed.
enum class FailureKind : std::uint8_t {
    NotSent, ///< refused, or failed before any byte was written: it did not run
    Busy, ///< the endpoint said it has no room: it did not run
    Leaving, ///< the endpoint said it is shutting down: it did not run
    StateLost, ///< the endpoint lost the attempt's state: this step did not run
    Broken, ///< the connection failed after bytes were written: unknown
    Silent, ///< nothing came back in time: unknown
};

/// Returns a short name of \a kind for logs and explanations.
std::string_view toString(FailureKind kind);

/// Returns whether \a kind proves that the step or call was not executed.
bool provesNotExecuted(FailureKind kind);

/// What the table service said about the claim of a key.
struct ClaimAnswer
{
    enum class Kind : std::uint8_t {
        Won, ///< the key is this request's
        Held, ///< another request has it and has not finished, or ended unknown
        Finished, ///< another request has finished; its answer is here
        KeyReused, ///< another request with other content has it
        Unavailable, ///< not claimed, or not known in time
    };
    Kind kind = Kind::Unavailable;
    Answer answer;
};

/// How a claim ends.
enum class ClaimOutcome : std::uint8_t {
    Finished, ///< executed; the answer is kept for repeats
    NotExecuted, ///< nothing was executed; the key is free again
    Unknown, ///< may have been executed; the key stays taken
};

// Actions

struct SendStep
{
    StepRef ref;
    EndpointId endpoint = NoEndpoint;
    bool prefill = false; ///< the first pass of an attempt through this stage
    bool firstStage = false;
    bool lastStage = false;
    bool lastToken = false; ///< the endpoint may drop the attempt's state after it
    Priority priority = Priority::Normal;
    Time deadline {};
    std::string input; ///< prompt and tokens, a token, or an activation
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
    Duration retryAfter {}; ///< zero: coming back makes no sense
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
    ClaimOutcome end = ClaimOutcome::Unknown;
    Answer answer;
};

/// Ask the endpoint over a new connection whether it is there.
struct ProbeEndpoint
{
    EndpointId endpoint = NoEndpoint;
};

/// Close idle connections to the endpoint: one of them has gone silent.
struct CloseConnections
{
    EndpointId endpoint = NoEndpoint;
};

/// The endpoint has said that it is shutting down: let the others know.
struct ReportLeaving
{
    EndpointId endpoint = NoEndpoint;
};

using Action =
    std::variant<SendStep, CancelAttempt, SendCall, EmitToken, FinishRequest, RefuseRequest,
                 StartClaim, ResolveClaim, ProbeEndpoint, CloseConnections, ReportLeaving>;

using Actions = std::vector<Action>;

} // namespace balsamloft
