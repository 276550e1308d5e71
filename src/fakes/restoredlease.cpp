#include "restoredlease.h"

#include <balsamloft/lease.h>
#include <balsamloft/storeeras.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

namespace balsamloft::fakes {

namespace {

constexpr Duration Step {50'000};
constexpr Duration RunTime {30'000'000};
constexpr Duration CallTimeout {900'000};
constexpr Duration MaxCopyAge {8'000'000};
constexpr Duration MaxAway {1'500'000};
constexpr std::size_t ProcessCount = 3;

/// The rows of the lease in a store that can be set back.
struct LeaseRows
{
    std::uint64_t number = 10;
    std::map<std::string, TableRow> rows;

    std::uint64_t versionOf(const std::string &key) const
    {
        const auto it = rows.find(key);
        return it == rows.end() ? 0 : it->second.version;
    }
};

class LeaseWorld
{
public:
    explicit LeaseWorld(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < ProcessCount; ++i)
            startProcess(i);
    }

    LeaseWorldResult run()
    {
        planRestores();
        const Time end = m_now + RunTime;
        for (; m_now < end; m_now += Step) {
            changeStore();
            for (std::size_t i = 0; i < ProcessCount; ++i) {
                if (draw(0, 400) == 0)
                    startProcess(i);
                runProcess(m_processes[i]);
            }
            performCalls();
            check();
        }
        return m_result;
    }

private:
    struct Process
    {
        std::string name;
        LeaseManager manager {{}};
        StoreEras eras;
        std::optional<std::uint64_t> seenEra;
        std::optional<Time> eraBeganAt;
    };

    /// A call on its way to the store or back.
    struct Call
    {
        std::size_t process = 0;
        std::string sender; ///< a replaced process gets no answer
        LeaseAction action;
        Time performAt {};
        std::optional<Time> answerAt; ///< not set: no answer in time
        Time timeoutAt {};
        StoreVersion before;
        bool performed = false;
        ReadOutcome read;
        std::vector<TableRow> rows;
        TransactionOutcome written;
        std::uint64_t answerNumber = 0;
    };

    std::int64_t draw(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(m_random);
    }

    Duration drawTime(Duration max) { return Duration(draw(0, max.count())); }

    void startProcess(std::size_t index)
    {
        Process &process = m_processes[index];
        process = {};
        process.name = "p" + std::to_string(++m_started);
        LeaseSettings settings;
        settings.key = "l";
        settings.holder = process.name;
        settings.duration = Duration(2'400'000);
        settings.renewEvery = Duration(800'000);
        settings.pollEvery = Duration(1'000'000);
        settings.margin = Duration(300'000);
        process.manager = LeaseManager(settings);
    }

    /// A process that starts asks the others what they know of the present era.
    void askOthers(Process &process)
    {
        for (const Process &other : m_processes) {
            if (&other == &process || !other.seenEra)
                continue;
            process.eras.recordPeer({*other.seenEra, 0});
            if (*other.seenEra < process.eras.era())
                process.manager.storeRestored(m_now);
            else if (other.eraBeganAt)
                process.manager.storeRestored(*other.eraBeganAt);
        }
    }

    void planRestores()
    {
        const std::int64_t count = draw(1, 3);
        for (std::int64_t i = 0; i < count; ++i)
            m_restoreAt.push_back(m_now + drawTime(RunTime));
        std::sort(m_restoreAt.begin(), m_restoreAt.end());
    }

    void changeStore()
    {
        m_history.emplace_back(m_now, m_table);
        while (m_now - m_history.front().first > MaxCopyAge)
            m_history.pop_front();
        if (m_now >= m_awayUntil && draw(0, 3) == 0)
            m_table.number += static_cast<std::uint64_t>(draw(1, 3)); // other writes
        if (m_restoreAt.empty() || m_now < m_restoreAt.front())
            return;
        m_restoreAt.pop_front();
        m_table = m_history[static_cast<std::size_t>(draw(0, std::ssize(m_history) - 1))].second;
        m_history.clear();
        m_history.emplace_back(m_now, m_table);
        m_era += 1;
        m_awayUntil = m_now + (draw(0, 1) == 0 ? Duration {} : drawTime(MaxAway));
        m_result.restores += 1;
    }

    void noticeEra(Process &process)
    {
        const std::uint64_t era = process.eras.era();
        if (era == 0 || (process.seenEra && era <= *process.seenEra))
            return;
        if (process.seenEra)
            process.eraBeganAt = m_now;
        const bool isFirst = !process.seenEra;
        process.seenEra = era;
        process.manager.setEra(era, m_now);
        if (isFirst) {
            askOthers(process);
            noticeEra(process);
        }
    }

    void runProcess(Process &process)
    {
        LeaseActions actions;
        process.manager.tick(m_now, actions);
        send(process, std::move(actions));
    }

    void send(Process &process, LeaseActions actions)
    {
        for (LeaseAction &action : actions) {
            Call call;
            call.process = static_cast<std::size_t>(&process - m_processes.data());
            call.sender = process.name;
            call.action = std::move(action);
            call.before = process.eras.newest();
            call.timeoutAt = m_now + CallTimeout;
            call.performAt = m_now + drawTime(Duration(300'000));
            const std::int64_t luck = draw(0, 9);
            if (luck == 0) // performed late, without an answer
                call.performAt = m_now + Duration(1'000'000) + drawTime(Duration(5'000'000));
            else if (luck > 1) // in one case in ten the answer is lost
                call.answerAt = call.performAt + drawTime(Duration(300'000));
            m_calls.push_back(std::move(call));
        }
    }

    void perform(Call &call)
    {
        call.performed = true;
        if (m_now < m_awayUntil) {
            call.answerAt.reset();
            return;
        }
        call.answerNumber = m_table.number;
        if (std::holds_alternative<ReadLease>(call.action)) {
            for (const auto &[key, row] : m_table.rows)
                call.rows.push_back(row);
            call.read.era = m_era;
            return;
        }
        const Transaction &transaction = std::get<WriteLease>(call.action).transaction;
        call.written.era = m_era;
        for (const RowCheck &check : transaction.checks)
            if (check.version != m_table.versionOf(check.key)) {
                call.written.kind = TransactionOutcome::Kind::Conflict;
                return;
            }
        m_table.number += 1;
        for (const RowWrite &write : transaction.writes) {
            if (write.value)
                m_table.rows[write.key] = {write.key, m_table.number, *write.value};
            else
                m_table.rows.erase(write.key);
        }
        call.answerNumber = m_table.number;
        call.written.kind = TransactionOutcome::Kind::Committed;
        call.written.version = m_table.number;
    }

    void performCalls()
    {
        std::vector<Call> finished;
        for (Call &call : m_calls)
            if (!call.performed && m_now >= call.performAt)
                perform(call);
        std::erase_if(m_calls, [&](Call &call) {
            const bool answered = call.answerAt && call.performed && m_now >= *call.answerAt;
            const bool due = answered || m_now >= call.timeoutAt;
            if (due && m_processes[call.process].name == call.sender) {
                finished.push_back(call);
                if (!answered)
                    finished.back().answerAt.reset();
                call.sender.clear();
            }
            return due && call.performed;
        });
        for (const Call &call : finished)
            finish(call);
    }

    void finish(const Call &call)
    {
        Process &process = m_processes[call.process];
        const auto *read = std::get_if<ReadLease>(&call.action);
        const std::uint64_t era = read ? call.read.era : call.written.era;
        const bool valid =
            call.answerAt && process.eras.recordAnswer(call.before, era, call.answerNumber);
        noticeEra(process);
        LeaseActions actions;
        ReadOutcome outcome;
        if (valid) {
            outcome = call.read;
            const TableRow *row = process.manager.chooseRow(call.rows);
            outcome.kind = row ? ReadOutcome::Kind::Found : ReadOutcome::Kind::Missing;
            if (row)
                outcome.row = *row;
        }
        if (read)
            process.manager.readDone(read->id, outcome, m_now, actions);
        else
            process.manager.writeDone(std::get<WriteLease>(call.action).id,
                                      valid ? call.written : TransactionOutcome {}, m_now, actions);
        send(process, std::move(actions));
    }

    void check()
    {
        std::size_t holders = 0;
        for (const Process &process : m_processes) {
            if (!process.manager.holds(m_now))
                continue;
            holders += 1;
            const std::uint64_t token = process.manager.fencing();
            const auto [it, inserted] = m_tokens.emplace(token, process.name);
            if (!inserted && it->second != process.name)
                m_result.repeatedTokens += 1;
            if (!inserted)
                continue;
            m_result.grants += 1;
            if (token < m_maxToken)
                m_result.loweredTokens += 1;
            m_maxToken = std::max(m_maxToken, token);
        }
        m_result.steps += 1;
        m_result.heldSteps += holders > 0 ? 1 : 0;
        m_result.twoHolders += holders > 1 ? 1 : 0;
    }

    std::mt19937_64 m_random;
    Time m_now {std::chrono::hours(1)};
    std::array<Process, ProcessCount> m_processes;
    int m_started = 0;
    LeaseRows m_table;
    std::uint64_t m_era = 1;
    Time m_awayUntil {};
    std::deque<std::pair<Time, LeaseRows>> m_history;
    std::deque<Time> m_restoreAt;
    std::vector<Call> m_calls;
    std::map<std::uint64_t, std::string> m_tokens; ///< holder by token
    std::uint64_t m_maxToken = 0;
    LeaseWorldResult m_result;
};

} // namespace

LeaseWorldResult &LeaseWorldResult::operator+=(const LeaseWorldResult &other)
{
    twoHolders += other.twoHolders;
    repeatedTokens += other.repeatedTokens;
    loweredTokens += other.loweredTokens;
    grants += other.grants;
    restores += other.restores;
    steps += other.steps;
    heldSteps += other.heldSteps;
    return *this;
}

LeaseWorldResult runLeaseWorld(std::uint64_t seed)
{
    return LeaseWorld(seed).run();
}

} // namespace balsamloft::fakes
