#include <balsamloft/actions.h>

namespace balsamloft {

std::string_view toString(RefusalCode code)
{
    switch (code) {
    case RefusalCode::NotReady:
        return "not_ready";
    case RefusalCode::Draining:
        return "draining";
    case RefusalCode::UnknownModel:
        return "unknown_model";
    case RefusalCode::UnknownService:
        return "unknown_service";
    case RefusalCode::InvalidRequest:
        return "invalid_request";
    case RefusalCode::RateLimited:
        return "rate_limited";
    case RefusalCode::ConcurrencyLimited:
        return "concurrency_limited";
    case RefusalCode::QueueFull:
        return "queue_full";
    case RefusalCode::DeadlineUnmeetable:
        return "deadline_unmeetable";
    case RefusalCode::DeadlineExceeded:
        return "deadline_exceeded";
    case RefusalCode::NoEndpoint:
        return "no_endpoint";
    case RefusalCode::EndpointFailed:
        return "endpoint_failed";
    case RefusalCode::RetriesExhausted:
        return "retries_exhausted";
    case RefusalCode::ClaimUnavailable:
        return "claim_unavailable";
    case RefusalCode::DuplicateInProgress:
        return "duplicate_in_progress";
    case RefusalCode::KeyReused:
        return "key_reused";
    case RefusalCode::CallerGone:
        return "caller_gone";
    }
    return "unknown";
}

std::string_view toString(FailureKind kind)
{
    switch (kind) {
    case FailureKind::NotSent:
        return "not sent";
    case FailureKind::Busy:
        return "busy";
    case FailureKind::Leaving:
        return "leaving";
    case FailureKind::StateLost:
        return "state lost";
    case FailureKind::Broken:
        return "connection broken";
    case FailureKind::Silent:
        return "silent";
    }
    return "unknown";
}

bool provesNotExecuted(FailureKind kind)
{
    return kind == FailureKind::NotSent || kind == FailureKind::Busy || kind == FailureKind::Leaving
           || kind == FailureKind::StateLost;
}

} // namespace balsamloft
