/// \file
/// Starts the programs under test as separate processes.

#pragma once

#include <boost/process.hpp>

#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace balsamloft::testsuite {

/// A child process whose standard output and error are collected. The destructor kills it with
/// SIGKILL if it is still running.
class Process
{
public:
    Process(const std::string &program, const std::vector<std::string> &arguments,
            const std::vector<std::string> &environment = {});
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Waits until the output matches \a pattern and returns the first group, or the whole match if
    /// the pattern has no group. Throws if the process exits first or waitUntil() times out.
    std::string waitFor(const std::string &pattern);

    void signal(int number);

    /// Stops the process by SIGSTOP, and waits until each of its threads stands still.
    void pause();
    int id() const { return m_child.id(); }

    /// Waits until the process has exited and its output is read. Returns the exit code, or 128
    /// plus the signal number if a signal terminated the process.
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
