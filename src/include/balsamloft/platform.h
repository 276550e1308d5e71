/// \file
/// Interface to the platform's table service, object store and instance list, with the
/// types of its requests and results.

#pragma once

#include <balsamloft/types.h>

#include <functional>
#include <optional>
#include <vector>

namespace balsamloft {

/// One row of a table. Each write of a row increases its version.
struct TableRow
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

/// A precondition of a transaction: the row has this version; 0: the row does not exist.
struct RowCheck
{
    std::string table;
    std::string key;
    std::uint64_t version = 0;
};

/// One write of a transaction. Without a value, the row is deleted.
struct RowWrite
{
    std::string table;
    std::string key;
    std::optional<std::string> value;
};

/// Atomic transaction: if all checks hold, all writes take effect, otherwise none.
struct Transaction
{
    std::vector<RowCheck> checks;
    std::vector<RowWrite> writes;
};

/// Result of a transaction.
struct TransactionOutcome
{
    enum class Kind : std::uint8_t {
        Committed,
        Conflict, ///< at least one check failed: nothing was written
        NotCommitted, ///< the service was unreachable: nothing was written
        Unknown, ///< no answer: the transaction may or may not have taken effect
    };
    Kind kind = Kind::Unknown;
    std::vector<RowCheck> conflicts; ///< failed checks, with the actual versions
    /// Version of the written rows after a commit; 0: the version of each row rose by one.
    std::uint64_t version = 0;
    std::uint64_t era = 0; ///< of the store when it answered, see StoreVersion
};

/// Result of a read.
struct ReadOutcome
{
    enum class Kind : std::uint8_t { Found, Missing, Unavailable };
    Kind kind = Kind::Unavailable;
    TableRow row;
    std::uint64_t era = 0; ///< of the store when it answered, see StoreVersion
};

/// Result of a scan, sorted by key.
struct ScanOutcome
{
    bool available = false;
    std::vector<TableRow> rows;
};

/// One entry of the platform's instance list, which may be out of date.
struct ListedInstance
{
    std::string name; ///< of an instance or an endpoint
    std::string peerAddress; ///< empty for endpoints
    std::uint64_t generation = 0; ///< increases with each restart under this name
    bool leaving = false;
};

/// The platform's table service, object store and instance list. Calls return
/// immediately; callbacks run later on the caller's thread.
class Platform
{
public:
    virtual ~Platform() = default;

    virtual void transact(Transaction transaction,
                          std::function<void(TransactionOutcome)> callback) = 0;
    virtual void read(std::string table, std::string key,
                      std::function<void(ReadOutcome)> callback) = 0;

    /// Reads up to \a limit rows of \a table with keys greater than \a after.
    virtual void scan(std::string table, std::string after, std::size_t limit,
                      std::function<void(ScanOutcome)> callback) = 0;
    virtual void putObject(std::string name, std::string content,
                           std::function<void(bool)> callback) = 0;
    virtual void getObject(std::string name,
                           std::function<void(std::optional<std::string>)> callback) = 0;

    /// Passes nullopt to \a callback if the list is unavailable.
    virtual void
    listInstances(std::function<void(std::optional<std::vector<ListedInstance>>)> callback) = 0;
};

} // namespace balsamloft
