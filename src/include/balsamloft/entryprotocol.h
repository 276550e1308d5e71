/// \file
/// The wire protocol between an entry instance and its callers, the endpoints and the
/// platform's store: header names, formats and calls. Implementations only encode and
/// decode; routing decisions are made elsewhere.

#pragma once

#include <balsamloft/layerplanner.h>
#include <balsamloft/pathchooser.h>
#include <balsamloft/platform.h>
#include <balsamloft/relay.h>
#include <balsamloft/tablecopy.h>

#include <memory>
#include <span>

namespace balsamloft {

/// Names of header fields; matched case-insensitively.
struct HeaderNames
{
    std::string_view requestId;
    std::string_view deadline; ///< remaining time of the request in milliseconds
    std::string_view teamKey; ///< API key of a team; removed before a request is forwarded
    std::string_view team; ///< name of the team; overwrites what the caller sent
    std::string_view expectedEndpoint; ///< name of the endpoint that the request is meant for
    std::string_view path; ///< engines that process the request in turn, with their layers
    std::string_view urgency;
    std::string_view expectedVersion;
    std::string_view tokenCounts; ///< "prompt,maximum answer"
    /// "ID:TOKENS" of each part of the prompt, see sharedPromptParts()
    std::string_view promptParts;
    std::string_view lengthHint; ///< expected number of tokens in the answer
    std::string_view lastEventId; ///< id of the event after which a stream resumes
    std::string_view executionProof; ///< proof by the endpoint that it executed the request
    std::string_view notExecuted; ///< set when the endpoint did not execute the request
    std::string_view load; ///< "running,waiting,slots"
    std::string_view faultyAddress; ///< address of the engine that caused a failure
    std::string_view rateLimit; ///< requests per second that an endpoint accepts in total
    std::string_view draining; ///< "1": the endpoint is about to exit
    std::string_view storeEra; ///< in answers of the store: number of its era
};

/// An HTTP request to the store or to an engine.
struct OutgoingCall
{
    std::string method;
    std::string target;
    std::string body; ///< empty: none
    std::string header = {}; ///< an additional header line; empty: none
};

/// The decoded answer of the store.
struct StoreReply
{
    enum class Kind : std::uint8_t {
        Done,
        Conflict, ///< a condition of the transaction failed; nothing was written
        HistoryExpired, ///< the changes after the requested version are gone: read a snapshot
        Rejected, ///< the store rejected the call without executing it
        Failed, ///< no usable answer; a write may have been applied
    };
    Kind kind = Kind::Failed;
    std::vector<StoreRow> rows;
    std::uint64_t version = 0; ///< number of the newest row
    std::uint64_t era = 0; ///< in which the numbers of rows and newest row are valid
    std::int64_t storeMs = 0; ///< time on the store's monotonic clock
    bool more = false; ///< further pages follow
};

/// The state that an engine reports.
struct EngineReport
{
    std::uint64_t startedAt = 0; ///< start time of the engine's process; 0: not reported
    LayerRange layers;
    bool busy = false; ///< an order is in progress
    std::uint64_t acceptedOrders = 0; ///< number of orders accepted so far
    double slowdown = 1; ///< step time relative to the normal step time of its accelerator kind
    double usedKv = 0; ///< KV memory that cannot be evicted, in tokens times layers
    std::uint32_t running = 0; ///< number of running requests
    std::uint32_t queued = 0; ///< number of waiting requests
    std::vector<std::string> stalledAddresses; ///< engines that do not answer this engine

    /// Whether the report comes from a process other than \a endpoint, for example after a restart.
    bool isFromOtherProcess(const FleetEndpoint &endpoint) const
    {
        return startedAt != 0 && endpoint.startedAt != 0 && startedAt != endpoint.startedAt;
    }
};

/// The result of an order to an engine.
enum class OrderReply : std::uint8_t { Accepted, Rejected, Unknown };

/// Encodes calls and decodes answers. On malformed input, functions with a `reason`
/// parameter set it and return an empty result.
class EntryProtocol
{
public:
    virtual ~EntryProtocol() = default;

    virtual const HeaderNames &headers() const = 0;
    virtual std::string_view configurationTable() const = 0;
    virtual std::string_view configurationKey() const = 0;
    virtual std::string_view endpointTable() const = 0;
    virtual OutgoingCall readCall(std::string_view table, std::string_view from) const = 0;
    virtual OutgoingCall watchCall(std::string_view table, std::uint64_t after,
                                   Duration wait) const = 0;
    virtual OutgoingCall commitCall(const Transaction &transaction) const = 0;
    virtual StoreReply parseStoreReply(int status, std::string_view body) const = 0;

    /// \a skippedEntries receives a reason for each invalid entry; the others take effect.
    virtual RouteMapPtr parseRouteTable(std::string_view text, std::vector<Reason> &skippedEntries,
                                        Reason &reason) const = 0;

    /// Decodes the row of the endpoint \a id. A row with a missing, unknown or wrongly typed
    /// field was not written by an endpoint and is rejected.
    virtual std::optional<FleetEndpoint> parseEndpoint(std::string_view id, std::string_view text,
                                                       Reason &reason) const = 0;

    /// Request target at which engines report their state.
    virtual std::string_view reportTarget() const = 0;
    virtual std::optional<EngineReport> parseReport(std::string_view body,
                                                    Reason &reason) const = 0;

    /// Returns the call that orders an engine to hold the layers of \a order. The engine rejects
    /// the order unless it has accepted exactly \a expectedOrders orders before. \a fencing: token
    /// of the placement lease.
    virtual OutgoingCall orderCall(const LayerOrder &order, std::uint64_t expectedOrders,
                                   std::uint64_t fencing) const = 0;
    virtual OrderReply parseOrderReply(int status) const = 0;

    /// Decodes the answer to changePathCall(): the result, and the address of the engine that
    /// caused a refusal.
    virtual std::pair<PathReply, std::string> parsePathReply(int status,
                                                             std::string_view body) const = 0;

    /// Returns the call that instructs the first engine of \a path to continue the request with the
    /// id \a request along that path.
    virtual OutgoingCall changePathCall(std::string_view request,
                                        std::span<const PathPart> path) const = 0;
    virtual std::string formatPath(std::span<const PathPart> path) const = 0;
};

/// Returns the protocol of the platform that this program is built for.
std::unique_ptr<EntryProtocol> makeEntryProtocol();

} // namespace balsamloft
