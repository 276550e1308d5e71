#include "subject.h"

#include <sys/resource.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

namespace fs = std::filesystem;

namespace balsamloft::testsuite {

namespace {

constexpr std::chrono::milliseconds SampleInterval {5};
constexpr std::chrono::milliseconds SteadyTime {1500};
constexpr std::chrono::milliseconds AnswerLimit {10'000}; ///< only a hang reaches it
constexpr int OrdinaryAttempts = 12;
constexpr std::chrono::milliseconds RetryPause {250};

void limitDescriptors(const Process &process, int descriptors)
{
    const rlimit limit {static_cast<rlim_t>(descriptors), static_cast<rlim_t>(descriptors)};
    ::prlimit(process.id(), RLIMIT_NOFILE, &limit, nullptr);
}

/// The port of "IP:port" as the system lists it.
std::string hexPort(const std::string &address)
{
    char text[8];
    std::snprintf(text, sizeof text, "%04X", std::stoi(address.substr(address.find(':') + 1)));
    return text;
}

std::string ordinaryRequest(const std::string &head)
{
    return head + "Content-Length: 2\r\n\r\nhi";
}

} // namespace

std::vector<std::string> knownFlags(const std::string &program,
                                    const std::vector<std::string> &flags)
{
    Process help(program, {"--help"});
    help.wait();
    std::vector<std::string> known;
    for (const std::string &flag : flags) {
        const std::string name = flag.substr(1, flag.find('=') - 1); // gflags prints "-name"
        if (std::regex_search(help.output(), std::regex(name + "\\b")))
            known.push_back(flag);
    }
    return known;
}

std::vector<std::string> machineFlags(const std::string &program, const Machine &machine)
{
    return knownFlags(program, {"--memory_mb=" + std::to_string(machine.memoryMb),
                                "--max_descriptors=" + std::to_string(machine.descriptors)});
}

UsageMonitor::UsageMonitor(int process, std::vector<std::string> addresses)
    : m_process(process)
{
    for (const std::string &address : addresses)
        m_ports.push_back(hexPort(address));
    m_thread = std::thread([this] {
        while (!m_stop) {
            m_peakKilobytes = std::max(m_peakKilobytes.load(), kilobytes());
            m_peakSockets = std::max(m_peakSockets.load(), sockets());
            std::this_thread::sleep_for(SampleInterval);
        }
    });
}

UsageMonitor::~UsageMonitor()
{
    m_stop = true;
    m_thread.join();
}

void UsageMonitor::waitUntilSteady() const
{
    int before = -1;
    waitUntil([&] {
        std::this_thread::sleep_for(SteadyTime);
        const int now = peakMemoryMb();
        return std::exchange(before, now) == now;
    });
}

int UsageMonitor::memoryMb() const
{
    return static_cast<int>(kilobytes() / 1024);
}

std::int64_t UsageMonitor::kilobytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmRSS:"))
            return std::stoll(line.substr(6)) + bytesInSystem() / 1024;
    return 0;
}

/// Bytes that the process's ends of the connections hold unread or unsent.
std::int64_t UsageMonitor::bytesInSystem() const
{
    std::int64_t bytes = 0;
    std::ifstream table("/proc/" + std::to_string(m_process) + "/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        const std::string port = local.substr(local.find(':') + 1);
        constexpr std::string_view Listening = "0A";
        if (state == Listening || std::find(m_ports.begin(), m_ports.end(), port) == m_ports.end())
            continue;
        const std::size_t colon = queues.find(':');
        bytes += std::stoll(queues.substr(0, colon), nullptr, 16)
                 + std::stoll(queues.substr(colon + 1), nullptr, 16);
    }
    return bytes;
}

int UsageMonitor::sockets() const
{
    int count = 0;
    std::error_code error;
    for (const auto &each :
         fs::directory_iterator("/proc/" + std::to_string(m_process) + "/fd", error)) {
        const fs::path target = fs::read_symlink(each.path(), error);
        count += target.string().starts_with("socket:") ? 1 : 0;
    }
    return count;
}

bool Subject::answersOrdinary() const
{
    for (int attempt = 0; attempt < OrdinaryAttempts; ++attempt) {
        CallerConnection caller(callers());
        caller.send(ordinaryRequest(requestHead("ordinary")));
        const auto answer = caller.receiveAnswer(AnswerLimit);
        if (answer && answer->starts_with("HTTP/1.1 200"))
            return true;
        std::this_thread::sleep_for(RetryPause);
    }
    return false;
}

int Subject::statusOfLargest() const
{
    CallerConnection caller(callers());
    caller.send(requestHead("largest") + "Content-Length: " + std::to_string(MaxBodyBytes)
                + "\r\n\r\n");
    caller.send(std::string(MaxBodyBytes, 'x'));
    const auto answer = caller.receiveAnswer();
    return answer ? std::stoi(answer->substr(9, 3)) : 0;
}

RawAnswer Subject::answer(const std::string &request) const
{
    const bool large = request.size() > MaxBodyBytes / 2;
    while (large && !released)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    const bool wantsLarge =
        request.substr(0, request.find('\r')).find("large") != std::string::npos;
    return {okAnswer(request, wantsLarge ? std::string(MaxBodyBytes, 'a') : "done")};
}

EntrySubject::EntrySubject(const Machine &machine)
    : Subject(machine)
    , m_endpoint([this](const std::string &request) { return answer(request); })
{
    std::vector<std::string> flags = machineFlags("balsamloft-entry-standin", machine);
    flags.push_back("--metrics_listen=" + m_metrics);
    flags.push_back("--peer_listen=" + m_peers);
    flags.push_back("--forward_listen=" + m_forward);
    m_entry = std::make_unique<EntryHarness>(true, "30000", flags);
    m_entry->addEndpoint("e1", "plain", m_endpoint.address(), R"(,"slots":200)");
    limitDescriptors(process(), machine.descriptors);
    waitUntil([this] { return answersOrdinary(); });
}

EntrySubject::~EntrySubject()
{
    released = true;
}

std::string EntrySubject::requestHead(const std::string &id) const
{
    return "POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
           + "\r\nTeam-Key: good-key\r\nDeadline-Ms: 30000\r\n";
}

std::string EntrySubject::largeAnswerHead(const std::string &id) const
{
    return "POST /safe/large HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
           + "\r\nTeam-Key: good-key\r\nDeadline-Ms: 30000\r\n";
}

std::vector<Subject::Port> EntrySubject::otherPorts() const
{
    return {{m_entry->ready, "GET /ready HTTP/1.1\r\nHost: h\r\n"},
            {m_metrics, "GET /metrics HTTP/1.1\r\nHost: h\r\n"},
            {m_peers, "POST /crashes HTTP/1.1\r\nHost: h\r\n"}};
}

DaemonSubject::DaemonSubject(const Machine &machine)
    : Subject(machine)
    , m_endpoint([this](const std::string &request) {
        return request.starts_with("GET /v1/health") ? RawAnswer {okAnswer(request, "{}")}
                                                     : answer(request);
    })
{
    m_fleet.addService("s1", m_endpoint.address(), "a", 200);
    const Daemon &daemon = m_fleet.startDaemon("d1", "a", machineFlags("balsamloftd", machine));
    m_callers = daemon.callers;
    m_admin = daemon.admin;
    m_fleet.configure();
    limitDescriptors(process(), machine.descriptors);
    waitUntil([this] { return answersOrdinary(); });
}

DaemonSubject::~DaemonSubject()
{
    released = true;
}

std::string DaemonSubject::requestHead(const std::string & /*id*/) const
{
    return "POST /services/s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer t\r\n"
           "Balsamloft-Deadline-Ms: 30000\r\n";
}

std::string DaemonSubject::largeAnswerHead(const std::string & /*id*/) const
{
    return "POST /services/s/large HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer t\r\n"
           "Balsamloft-Deadline-Ms: 30000\r\n";
}

std::vector<Subject::Port> DaemonSubject::otherPorts() const
{
    return {
        {m_admin, "POST /admin/v1/rules HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer wrong\r\n"}};
}

} // namespace balsamloft::testsuite
