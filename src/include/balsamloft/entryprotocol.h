/// \file
/// What an entry instance speaks with callers, endpoints and the platform's
/// store, as names, formats and calls. An implementation decides nothing.

#pragma once

#include <balsamloft/layerplanner.h>
#include <balsamloft/pathchooser.h>
#include <balsamloft/platform.h>
#include <balsamloft/relay.h>
#include <balsamloft/tablecopy.h>

#include <memory>
#include <span>

namespace balsamloft {

/// Header names. Compared without regard to case.
struct HeaderNames
{
    std::string_view requestId;
    std::string_view deadline; ///< milliseconds that the sender will wait
    std::string_view key; ///< of a team; never passed on
    std::string_view team; ///< set here, whatever a caller sent
    std::string_view expectedEndpoint; ///< id that the receiver must have
    std::string_view path; ///< engines that a request passes through
    std::string_view urgency;
    std::string_view expectedVersion;
    std::string_view tokenCount; ///< "prompt,answer at most"
    std::string_view lengthHint; ///< expected tokens of the answer
    std::string_view lastEvent; ///< a stream goes on after this event
    std::string_view executionProof; ///< mark of an endpoint's answer
    std::string_view notExecuted; ///< the endpoint did not run the request
    std::string_view load; ///< "running,waiting,slots"
    std::string_view atAddress; ///< engine at fault
    std::string_view rateLimit; ///< requests a second that an endpoint takes from all instances
};

/// A call to the store or to an engine.
struct OutgoingCall
{
    std::string method;
    std::string target;
    std::string body; ///< empty: none
    std::string header = {}; ///< a further line of the head; empty: none
};

/// What the store answered.
struct StoreReply
{
    enum class Kind : std::uint8_t {
        Done,
        Conflict, ///< a condition did not hold: nothing was written
        HistoryExpired, ///< changes since then are no longer known: read anew
        Rejected, ///< turned away: nothing was done
        Failed, ///< an answer that says nothing
    };
    Kind kind = Kind::Failed;
    std::vector<StoreRow> rows;
    std::uint64_t version = 0; ///< of the newest row
    std::int64_t storeMs = 0; ///< the store's steady clock
    bool more = false;
};

/// What an engine says of itself.
struct EngineReport
{
    std::uint64_t startedAt = 0; ///< when the process started that answered; 0: not told
    LayerRange layers;
    bool busy = false;
    std::uint64_t orders = 0;
    double pace = 1;
    double used = 0; ///< KV memory that cannot yield, in tokens times layers
    std::uint32_t active = 0; ///< requests that run on it
    std::uint32_t queued = 0; ///< requests that wait there
    std::vector<std::string> stalledAddresses; ///< addresses that do not answer it

    /// Whether another process answered than the one that \a endpoint lists.
    bool isFromOtherProcess(const FleetEndpoint &endpoint) const
    {
        return startedAt != 0 && endpoint.startedAt != 0 && startedAt != endpoint.startedAt;
    }
};

/// How an engine answered an order.
enum class OrderReply : std::uint8_t { Taken, Refused, Unknown };

/// Names, formats and calls. Functions that read return nothing and leave a
/// reason when what they read is malformed.
class EntryProtocol
{
public:
    virtual ~EntryProtocol() = default;

    virtual const HeaderNames &headers() const = 0;
    virtual std::string_view configurationTable() const = 0;
    virtual std::string_view configurationKey() const = 0;
    virtual std::string_view endpointTable() const = 0;
    virtual OutgoingCall read(std::string_view table, std::string_view from) const = 0;
    virtual OutgoingCall watch(std::string_view table, std::uint64_t after,
                               Duration wait) const = 0;
    virtual OutgoingCall commit(const Transaction &transaction) const = 0;
    virtual StoreReply reply(int status, std::string_view body) const = 0;

    /// \a leftOut: reasons for entries that could not be taken over.
    virtual RouteMapPtr parseRouteTable(std::string_view text, std::vector<Reason> &leftOut,
                                        Reason &reason) const = 0;
    /// An endpoint's entry under the name \a id. Nothing when another writer than
    /// an endpoint wrote it: a field is missing, of another type, or unknown.
    virtual std::optional<FleetEndpoint> endpoint(std::string_view id, std::string_view text,
                                                  Reason &reason) const = 0;

    virtual std::string_view reportTarget() const = 0;
    virtual std::optional<EngineReport> report(std::string_view body, Reason &reason) const = 0;
    virtual OutgoingCall order(const LayerOrder &order, std::uint64_t expectedOrders,
                               std::uint64_t fencing) const = 0;
    virtual OrderReply parseOrderReply(int status) const = 0;

    /// How an engine answered changePath(), and the address of the engine at fault.
    virtual std::pair<PathReply, std::string> parsePathReply(int status,
                                                             std::string_view body) const = 0;

    /// Has the first engine of \a path carry the request with id \a request on along it.
    virtual OutgoingCall changePath(std::string_view request,
                                    std::span<const PathPart> path) const = 0;
    virtual std::string pathText(std::span<const PathPart> path) const = 0;
};

/// The protocol of the platform that this program is built for.
std::unique_ptr<EntryProtocol> makeEntryProtocol();

} // namespace balsamloft
