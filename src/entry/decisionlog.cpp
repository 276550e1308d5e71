#include "decisionlog.h"

#include "fieldtext.h"

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <chrono>

namespace json = boost::json;
namespace sinks = boost::log::sinks;

namespace balsamloft {

namespace {

constexpr std::size_t MaxBufferedBytes = 256 * 1024;
/// A pipe that poll() reports as writable accepts this many bytes without blocking.
constexpr std::size_t NonBlockingWriteBytes = 4096;

std::atomic<std::uint64_t> droppedLines {0};

/// Buffers lines up to a limit and writes only as much as does not block: if the reader of
/// standard output stops reading, requests must not be delayed.
class BoundedBackend : public sinks::basic_formatted_sink_backend<char, sinks::synchronized_feeding>
{
public:
    // NOLINTNEXTLINE(readability-identifier-naming): name set by the library
    void consume(const boost::log::record_view & /*record*/, const std::string &line)
    {
        if (m_buffered.size() + line.size() + 1 > MaxBufferedBytes) {
            droppedLines += 1;
            return;
        }
        m_buffered += line;
        m_buffered += '\n';
        if (m_buffered.size() >= NonBlockingWriteBytes)
            write(NonBlockingWriteBytes);
    }

    void flushAll() { write(1); }

private:
    void write(std::size_t minBytes)
    {
        while (m_buffered.size() >= minBytes && !m_buffered.empty()) {
            pollfd ready {STDOUT_FILENO, POLLOUT, 0};
            if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
                return;
            // Only complete lines are written, unless a line exceeds the limit, so that lines of
            // several processes on one pipe do not mix.
            const std::size_t maxLength = std::min(m_buffered.size(), NonBlockingWriteBytes);
            const std::size_t end = m_buffered.rfind('\n', maxLength - 1);
            const std::size_t length = end == std::string::npos ? maxLength : end + 1;
            const auto count = ::write(STDOUT_FILENO, m_buffered.data(), length);
            if (count <= 0)
                return;
            m_buffered.erase(0, static_cast<std::size_t>(count));
        }
    }

    std::string m_buffered;
};

using BoundedSink = sinks::synchronous_sink<BoundedBackend>;

boost::shared_ptr<BoundedSink> &sink()
{
    static boost::shared_ptr<BoundedSink> instance = boost::make_shared<BoundedSink>();
    return instance;
}

std::string &commonFields()
{
    static std::string fields;
    return fields;
}

void append(std::string &line, const LogValue &value)
{
    if (const auto *text = std::get_if<std::string_view>(&value))
        line += json::serialize(json::string_view(text->data(), text->size()));
    else if (const auto *number = std::get_if<std::int64_t>(&value))
        line += std::to_string(*number);
    else if (const auto *flag = std::get_if<bool>(&value))
        line += *flag ? "true" : "false";
    else
        line += json::serialize(json::value(std::get<double>(value)));
}

} // namespace

void setUpDecisionLog(std::string_view name, std::string_view domain)
{
    commonFields() = ",\"instance\":" + json::serialize(json::string_view(name))
                     + ",\"domain\":" + json::serialize(json::string_view(domain));
    sink()->set_formatter(
        [](const boost::log::record_view &record, boost::log::formatting_ostream &stream) {
            if (const auto line = record["Message"].extract<std::string>())
                stream << line.get();
        });
    boost::log::core::get()->add_sink(sink());
}

void logDecision(std::string_view part, std::string_view event, std::span<const LogField> fields)
{
    using namespace std::chrono;
    thread_local boost::log::sources::logger logger;
    const auto wall =
        duration_cast<std::chrono::milliseconds>(system_clock::now().time_since_epoch()).count();
    const auto steady =
        duration_cast<std::chrono::milliseconds>(steady_clock::now().time_since_epoch()).count();
    std::string line = "{\"at\":" + std::to_string(wall) + ",\"up\":" + std::to_string(steady)
                       + ",\"part\":\"" + std::string(part) + "\",\"event\":\"" + std::string(event)
                       + "\"";
    for (const LogField &field : fields) {
        line.append(",\"").append(field.name).append("\":");
        append(line, field.value);
    }
    line += commonFields() + "}";
    BOOST_LOG(logger) << line;
}

void logLoopDelay(std::string_view thread, LoopDelay::Change change, const LoopDelay &delay)
{
    if (change == LoopDelay::Change::FellBehind)
        logDecision("loop", "behind",
                    {{"thread", thread}, {"delay_ms", milliseconds(delay.last())}});
    else if (change == LoopDelay::Change::CaughtUp)
        logDecision("loop", "caught up",
                    {{"thread", thread},
                     {"behind_ms", milliseconds(delay.behindFor())},
                     {"longest_ms", milliseconds(delay.longest())}});
}

void flushDecisionLog()
{
    sink()->locked_backend()->flushAll();
}

std::uint64_t droppedLogLines()
{
    return droppedLines;
}

} // namespace balsamloft
