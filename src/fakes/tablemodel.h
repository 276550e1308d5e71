/// \file
/// In-memory model of the platform's tables, shared by the fake_platform process and by
/// tests in virtual time.

#pragma once

#include <balsamloft/platform.h>

#include <map>

namespace balsamloft::fakes {

/// Transactional tables without latency or faults. Not thread-safe.
class TableModel
{
public:
    TransactionOutcome transact(const Transaction &transaction)
    {
        ++m_transactions;
        TransactionOutcome outcome {TransactionOutcome::Kind::Committed, {}};
        for (const RowCheck &check : transaction.checks) {
            const std::uint64_t found = version(check.table, check.key);
            if (found != check.version)
                outcome.conflicts.push_back({check.table, check.key, found});
        }
        if (!outcome.conflicts.empty()) {
            outcome.kind = TransactionOutcome::Kind::Conflict;
            return outcome;
        }
        for (const RowWrite &write : transaction.writes) {
            auto &table = m_tables[write.table];
            if (!write.value) {
                table.erase(write.key);
                continue;
            }
            TableRow &row = table[write.key];
            row.key = write.key;
            row.version += 1;
            row.value = *write.value;
        }
        return outcome;
    }

    ReadOutcome read(const std::string &table, const std::string &key)
    {
        ++m_reads;
        const auto &rows = m_tables[table];
        const auto it = rows.find(key);
        if (it == rows.end())
            return {ReadOutcome::Kind::Missing, {}};
        return {ReadOutcome::Kind::Found, it->second};
    }

    ScanOutcome scan(const std::string &table, const std::string &after, std::size_t limit)
    {
        ++m_reads;
        ScanOutcome outcome;
        outcome.available = true;
        const auto &rows = m_tables[table];
        for (auto it = rows.upper_bound(after); it != rows.end() && outcome.rows.size() < limit;
             ++it)
            outcome.rows.push_back(it->second);
        return outcome;
    }

    std::size_t rows(const std::string &table) { return m_tables[table].size(); }
    std::uint64_t transactions() const { return m_transactions; }
    std::uint64_t reads() const { return m_reads; }

private:
    std::uint64_t version(const std::string &table, const std::string &key)
    {
        const auto &rows = m_tables[table];
        const auto it = rows.find(key);
        return it == rows.end() ? 0 : it->second.version;
    }

    std::map<std::string, std::map<std::string, TableRow>> m_tables;
    std::uint64_t m_transactions = 0;
    std::uint64_t m_reads = 0;
};

} // namespace balsamloft::fakes
