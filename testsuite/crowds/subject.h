/// \file
/// The process that a crowd of clients meets, and what it takes of its machine.

#pragma once

#include "../common/fleet.h"
#include "../entry/callerconnection.h"
#include "../entry/entryharness.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace balsamloft::testsuite {

/// What the smallest machine of a site offers, or a test takes in its place.
struct Machine
{
    int memoryMb = 160;
    int descriptors = 4100;
};

/// Of the descriptors of a machine, so many are for files; the rest is for sockets and pipes.
inline constexpr int FileDescriptors = 200;

inline constexpr std::size_t MaxBodyBytes = 4U << 20U; ///< of a request

/// Those of \a flags that \a program knows. An earlier release has no settings for its machine.
std::vector<std::string> knownFlags(const std::string &program,
                                    const std::vector<std::string> &flags);

/// The flags that tell \a program its machine.
std::vector<std::string> machineFlags(const std::string &program, const Machine &machine);

/// Follows what a process takes of its machine: its memory, what the system holds for its sockets,
/// and its descriptors.
class UsageMonitor
{
public:
    UsageMonitor(int process, std::vector<std::string> addresses);
    ~UsageMonitor();

    /// Peak of the resident memory with the bytes that the system holds for the sockets at the
    /// addresses.
    int peakMemoryMb() const { return static_cast<int>(m_peakKilobytes / 1024); }
    int peakSockets() const { return m_peakSockets; }

    /// Waits until the peak of the memory has not risen for a while.
    void waitUntilSteady() const;

    /// The memory now.
    int memoryMb() const;

private:
    std::int64_t kilobytes() const;
    int sockets() const;
    std::int64_t bytesInSystem() const;

    const int m_process;
    std::vector<std::string> m_ports; ///< as the system writes them
    std::atomic<std::int64_t> m_peakKilobytes {0};
    std::atomic<int> m_peakSockets {0};
    std::atomic<bool> m_stop {false};
    std::thread m_thread;
};

/// A program with an endpoint that answers small requests at once.
class Subject
{
public:
    explicit Subject(const Machine &machine)
        : machine(machine)
    {
    }
    virtual ~Subject() = default;

    virtual Process &process() = 0;
    virtual std::string callers() const = 0;

    /// The beginning of a request for the program's endpoint, up to its last field.
    virtual std::string requestHead(const std::string &id) const = 0;

    /// The path by which callers get an answer of MaxBodyBytes.
    virtual std::string largeAnswerHead(const std::string &id) const = 0;

    /// The ports for operators, the balancer and other instances that speak HTTP, each with a
    /// head that one of them could send.
    struct Port
    {
        std::string address;
        std::string head;
    };
    virtual std::vector<Port> otherPorts() const = 0;

    /// Sends one ordinary request, and repeats it as long as it is refused.
    /// \return whether it was answered.
    bool answersOrdinary() const;

    /// Sends one request of the largest legal size. Returns the status of the answer, 0: none.
    int statusOfLargest() const;

    const Machine machine;
    std::atomic<bool> released {false}; ///< the endpoint answers large requests, too

protected:
    /// Handles requests as the endpoint.
    RawAnswer answer(const std::string &request) const;
};

/// `balsamloft-entry`.
class EntrySubject : public Subject
{
public:
    explicit EntrySubject(const Machine &machine = {});
    ~EntrySubject() override;

    Process &process() override { return *m_entry->process; }
    std::string callers() const override { return m_entry->callers; }
    std::string requestHead(const std::string &id) const override;
    std::string largeAnswerHead(const std::string &id) const override;
    std::vector<Port> otherPorts() const override;
    const std::string &forwardAddress() const { return m_forward; }

private:
    const std::string m_metrics = freeAddress();
    const std::string m_peers = freeAddress();
    const std::string m_forward = freeAddress();
    RawServer m_endpoint;
    std::unique_ptr<EntryHarness> m_entry;
};

/// `balsamloftd`.
class DaemonSubject : public Subject
{
public:
    explicit DaemonSubject(const Machine &machine = {});
    ~DaemonSubject() override;

    Process &process() override { return *m_fleet.daemon("d1").process; }
    std::string callers() const override { return m_callers; }
    std::string requestHead(const std::string &id) const override;
    std::string largeAnswerHead(const std::string &id) const override;
    std::vector<Port> otherPorts() const override;
    const std::string &peerAddress() { return m_fleet.daemon("d1").peers; }

private:
    RawServer m_endpoint;
    Fleet m_fleet;
    std::string m_callers;
    std::string m_admin;
};

} // namespace balsamloft::testsuite
