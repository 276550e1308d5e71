// How a table is followed, against sources that answer as they are told.

#include "tablefollower.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace balsamloft;

namespace {

/// Answers each question with the next of a list, and notes what was asked.
class ListedSource : public TableSource
{
public:
    explicit ListedSource(std::string peer)
        : m_peer(std::move(peer))
    {
    }

    const std::string &peer() const override { return m_peer; }

    void read(const std::string & /*from*/, Duration /*wait*/, Callback callback) override
    {
        next(0, callback);
    }

    void watch(std::uint64_t after, Duration /*wait*/, Callback callback) override
    {
        next(after, callback);
    }

    /// An answer of \a rows as of \a version.
    void add(std::vector<StoreRow> rows, std::uint64_t version)
    {
        TableAnswer answer;
        answer.answered = true;
        answer.reply.kind = StoreReply::Kind::Done;
        answer.reply.rows = std::move(rows);
        answer.reply.version = version;
        m_answers.push_back(std::move(answer));
    }

    void addHistoryGone()
    {
        m_answers.emplace_back();
        m_answers.back().answered = true;
        m_answers.back().reply.kind = StoreReply::Kind::HistoryExpired;
    }

    std::vector<std::uint64_t> asked; ///< after which versions

private:
    void next(std::uint64_t after, const Callback &callback)
    {
        asked.push_back(after);
        if (m_answers.empty())
            return; // nothing more happens
        TableAnswer answer = std::move(m_answers.front());
        m_answers.pop_front();
        callback(std::move(answer));
    }

    std::string m_peer;
    std::deque<TableAnswer> m_answers;
};

struct Followed
{
    Followed()
    {
        TableEvents events;
        events.whole = [this](const auto &rows, std::uint64_t, const TableAnswer &) {
            for (const StoreRow &row : rows)
                seen.push_back(row.value);
        };
        events.changed = events.whole;
        events.heard = [](const TableSource &, const TableAnswer &) {};
        events.source = [this] { return sources[std::min(questions++, sources.size() - 1)]; };
        events.failed = [this](const TableSource &source, bool) {
            failed.push_back(source.peer());
        };
        follower = std::make_unique<TableFollower>(context, FollowerSettings {}, events);
    }

    boost::asio::io_context context;
    std::vector<TableSource *> sources; ///< for one question after another
    std::size_t questions = 0;
    std::vector<std::string> seen;
    std::vector<std::string> failed;
    std::unique_ptr<TableFollower> follower;
};

} // namespace

// The store changes a row and holds the change back, while it tells its newest
// version; then its history is dropped. Callers must not be served by the old row until
// the next change comes: the store is asked from the old version, says that this
// history is gone, and the table is read anew.
TEST_CASE("an answer without changes moves the position in the store's history nowhere")
{
    Followed followed;
    ListedSource store("");
    followed.sources = {&store};
    store.add({{"k", "old", 5, false}}, 10);
    store.add({}, 14); // the change of version 13 was held back
    store.addHistoryGone();
    store.add({{"k", "new", 13, false}}, 14);
    followed.follower->start();
    CHECK(store.asked == std::vector<std::uint64_t> {0, 10, 10, 0, 14});
    CHECK(followed.seen == std::vector<std::string> {"old", "new"});
}

// An instance that lost the store still tells what it knew. One that reads the table
// anew must not take that over: an endpoint that left since would get new work.
TEST_CASE("a table is not read anew from one that knows less than was known")
{
    Followed followed;
    ListedSource store("");
    ListedSource stale("n1");
    ListedSource fresh("n2");
    followed.sources = {&store, &store, &stale, &fresh};
    store.add({{"k", "new", 13, false}}, 14);
    store.addHistoryGone();
    stale.add({{"k", "old", 5, false}}, 10);
    fresh.add({{"k", "newer", 15, false}}, 16);
    followed.follower->start();
    CHECK(followed.seen == std::vector<std::string> {"new", "newer"});
    CHECK(followed.failed == std::vector<std::string> {"n1"});
}
