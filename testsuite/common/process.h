/// \file
/// Starts the programs under test as separate processes.

#pragma once

#include <boost/process.hpp>

#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace balsamloft::testsuite {

/// One child process; its output is collected. Ended with SIGKILL if it still
/// runs when this goes.
class Process
{
public:
    Process(const std::string &program, const std::vector<std::string> &arguments,
            const std::vector<std::string> &environment = {});
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Waits until the output matches \a pattern and returns its first group.
    /// Throws when the process ends first or a minute passes.
    std::string waitFor(const std::string &pattern);

    void signal(int number);
    int id() const { return m_child.id(); }

    /// Waits for the end of the process and its output, and returns the exit code (128 + signal if
    /// killed).
    int wait();
    bool running();
    std::string output() const;

private:
    boost::process::ipstream m_stream;
    boost::process::child m_child;
    mutable std::mutex m_mutex;
    std::string m_output;
    std::thread m_reader;
};

/// Directory of the programs under test.
std::string programDirectory();

} // namespace balsamloft::testsuite
