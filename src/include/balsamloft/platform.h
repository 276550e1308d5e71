/// \file
/// The platform's services as the core and the daemon use them: typed
/// requests and outcomes, and the interface that carries them.

#pragma once

#include <balsamloft/types.h>

#include <functional>
#include <optional>
#include <vector>

namespace balsamloft {

/// One row of a table. Each write of a row raises its version.
struct TableRow
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

/// A condition of a transaction: the row is at this version; 0: there is none.
struct RowCheck
{
    std::string table;
    std::string key;
    std::uint64_t version = 0;
};

/// A write of a transaction. No value: the row is deleted.
struct RowWrite
{
    std::string table;
    std::string key;
    std::optional<std::string> value;
};

/// Either all writes take effect, if all checks hold, or none.
struct Transaction
{
    std::vector<RowCheck> checks;
    std::vector<RowWrite> writes;
};

/// What became of a transaction.
struct TransactionOutcome
{
    enum class Kind : std::uint8_t {
        Committed,
        Conflict, ///< some check failed: nothing was written
        NotCommitted, ///< the service was not reached: nothing was written
        Unknown, ///< no answer: it may or may not have taken effect
    };
    Kind kind = Kind::Unknown;
    std::vector<RowCheck> conflicts; ///< failed checks, with the versions found
    std::uint64_t version = 0; ///< of the rows written, once committed; 0: one more than before
};

/// What a read found.
struct ReadOutcome
{
    enum class Kind : std::uint8_t { Found, Missing, Unavailable };
    Kind kind = Kind::Unavailable;
    TableRow row;
};

/// What a scan found, in the order of keys.
struct ScanOutcome
{
    bool available = false;
    std::vector<TableRow> rows;
};

/// One entry of the platform's lagging list.
struct ListedInstance
{
    std::string name; ///< of an instance or an endpoint
    std::string peerAddress; ///< empty for endpoints
    std::uint64_t generation = 0; ///< raised each time the name is started anew
    bool leaving = false;
};

/// The platform's table service, object store and instance list. Calls return
/// at once; callbacks run later on the caller's thread.
class Platform
{
public:
    virtual ~Platform() = default;

    virtual void transact(Transaction transaction,
                          std::function<void(TransactionOutcome)> callback) = 0;
    virtual void read(std::string table, std::string key,
                      std::function<void(ReadOutcome)> callback) = 0;

    /// Reads up to \a limit rows of \a table with keys above \a after.
    virtual void scan(std::string table, std::string after, std::size_t limit,
                      std::function<void(ScanOutcome)> callback) = 0;
    virtual void putObject(std::string name, std::string content,
                           std::function<void(bool)> callback) = 0;
    virtual void getObject(std::string name,
                           std::function<void(std::optional<std::string>)> callback) = 0;

    /// Nothing when the list cannot be had.
    virtual void
    listInstances(std::function<void(std::optional<std::vector<ListedInstance>>)> callback) = 0;
};

} // namespace balsamloft
