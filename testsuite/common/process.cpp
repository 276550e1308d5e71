#include "process.h"

#include "wait.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <regex>
#include <stdexcept>

namespace bp = boost::process;

namespace balsamloft::testsuite {

namespace {

bp::environment environmentWith(const std::vector<std::string> &extra)
{
    bp::environment environment = boost::this_process::environment();
    for (const std::string &item : extra) {
        const auto equals = item.find('=');
        environment[item.substr(0, equals)] = item.substr(equals + 1);
    }
    return environment;
}

/// Whether the thread with the directory \a task stands still by a signal.
bool isStopped(const std::filesystem::path &task)
{
    std::ifstream status(task / "status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("State:"))
            return line.find("T (stopped)") != std::string::npos;
    return true; // the thread has ended
}

} // namespace

std::string programDirectory()
{
    return BALSAMLOFT_PROGRAMS;
}

Process::Process(const std::string &program, const std::vector<std::string> &arguments,
                 const std::vector<std::string> &environment)
    : m_child(programDirectory() + "/" + program, bp::args(arguments), environmentWith(environment),
              (bp::std_out & bp::std_err) > m_stream, bp::std_in < bp::null)
    , m_reader([this] {
        std::string line;
        while (std::getline(m_stream, line)) {
            const std::scoped_lock lock(m_mutex);
            m_output += line + "\n";
        }
    })
{
}

Process::~Process()
{
    if (running()) {
        signal(SIGCONT);
        signal(SIGKILL);
    }
    m_child.wait();
    if (m_reader.joinable())
        m_reader.join();
}

void Process::pause()
{
    signal(SIGSTOP);
    waitUntil([this] {
        const std::filesystem::directory_iterator tasks("/proc/" + std::to_string(id()) + "/task");
        return std::all_of(begin(tasks), end(tasks),
                           [](const auto &task) { return isStopped(task.path()); });
    });
}

std::string Process::waitFor(const std::string &pattern)
{
    const std::regex regex(pattern);
    std::smatch match;
    std::string text;
    const bool found = waitUntil([&] {
        text = output();
        return std::regex_search(text, match, regex) || !running();
    });
    text = output();
    if (!found || !std::regex_search(text, match, regex))
        throw std::runtime_error("process output does not match \"" + pattern + "\":\n" + text);
    return match.size() > 1 ? match[1].str() : match[0].str();
}

void Process::signal(int number)
{
    ::kill(m_child.id(), number);
}

int Process::wait()
{
    m_child.wait();
    // The reader thread finishes when the process closes its output.
    if (m_reader.joinable())
        m_reader.join();
    const int status = m_child.native_exit_code();
    return WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
}

bool Process::running()
{
    std::error_code error;
    return m_child.running(error);
}

std::string Process::output() const
{
    const std::scoped_lock lock(m_mutex);
    return m_output;
}

} // namespace balsamloft::testsuite
