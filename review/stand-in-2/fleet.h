// A small deployment of the project's own programs around stand-ins of the
// platform, for the scripts of the second review. Every machine is a loopback
// address; the ports are the same on all machines.
#ifndef REVIEW_STAND_IN_2_FLEET_H
#define REVIEW_STAND_IN_2_FLEET_H

#include <arpa/inet.h>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

inline std::int64_t
SteadyMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
    .count();
}

inline std::int64_t
UnixMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

/// The file record.txt: what was sent, answered and run.
class Record
{
public:
  static void Open(const std::string& aPath)
  {
    File() = std::fopen(aPath.c_str(), "w");
    Start() = SteadyMs();
  }
  static std::int64_t Now() { return SteadyMs() - Start(); }
  __attribute__((format(printf, 1, 2))) static void Line(const char* aFormat,
                                                         ...)
  {
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    if (File() == nullptr) {
      return;
    }
    std::fprintf(File(), "%9.3f ", static_cast<double>(Now()) / 1000);
    va_list arguments;
    va_start(arguments, aFormat);
    std::vfprintf(File(), aFormat, arguments);
    va_end(arguments);
    std::fputc('\n', File());
    std::fflush(File());
  }

private:
  static std::FILE*& File()
  {
    static std::FILE* file = nullptr;
    return file;
  }
  static std::int64_t& Start()
  {
    static std::int64_t start = 0;
    return start;
  }
};

struct Address
{
  std::string m_ip;
  int m_port = 0;
  std::string Text() const { return m_ip + ":" + std::to_string(m_port); }
};

inline sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(aAddress.m_port));
  inet_pton(AF_INET, aAddress.m_ip.c_str(), &result.sin_addr);
  return result;
}

inline Address
ParseAddress(const std::string& aText)
{
  const auto colon = aText.find(':');
  return { aText.substr(0, colon), std::atoi(aText.c_str() + colon + 1) };
}

/// Ports that are free at the moment on a loopback address.
inline std::vector<int>
FreePorts(std::size_t aCount)
{
  std::vector<int> ports;
  std::vector<int> sockets;
  while (ports.size() < aCount) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = ToSocketAddress({ "127.0.0.1", 0 });
    socklen_t size = sizeof(at);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0) {
      break;
    }
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    ports.push_back(ntohs(at.sin_port));
    sockets.push_back(fd);
  }
  for (const int fd : sockets) {
    ::close(fd);
  }
  return ports;
}

// HTTP ---------------------------------------------------------------------

struct Message
{
  std::string m_start; ///< request line or status line
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;

  std::string Header(const std::string& aName) const
  {
    for (const auto& [name, value] : m_headers) {
      if (::strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  int Status() const
  {
    return m_start.size() < 12 ? 0 : std::atoi(m_start.c_str() + 9);
  }
  std::string Method() const { return m_start.substr(0, m_start.find(' ')); }
  std::string Target() const
  {
    const auto first = m_start.find(' ');
    const auto second = m_start.find(' ', first + 1);
    return m_start.substr(first + 1, second - first - 1);
  }
};

/// A connection with the bytes received after the last message.
class Stream
{
public:
  explicit Stream(int aFd = -1)
    : m_fd(aFd)
  {
  }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream() { Close(); }
  int Fd() const { return m_fd; }
  void Close()
  {
    if (m_fd >= 0) {
      ::close(m_fd);
      m_fd = -1;
    }
  }
  bool Connect(const Address& aTo, std::int64_t aTimeoutMs)
  {
    Close();
    m_input.clear();
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in to = ToSocketAddress(aTo);
    const int result =
      ::connect(m_fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    int error = result == 0 ? 0 : errno;
    if (error == EINPROGRESS) {
      pollfd wait{ m_fd, POLLOUT, 0 };
      socklen_t size = sizeof(error);
      if (::poll(&wait, 1, static_cast<int>(aTimeoutMs)) == 1) {
        ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
      } else {
        error = ETIMEDOUT;
      }
    }
    if (error != 0) {
      Close();
      return false;
    }
    Prepare();
    return true;
  }
  void Prepare()
  {
    const int flags = ::fcntl(m_fd, F_GETFL);
    ::fcntl(m_fd, F_SETFL, flags & ~O_NONBLOCK);
    const int one = 1;
    ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  bool Write(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t size =
        ::send(m_fd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }
  /// Reads one message; false at the end of the connection or of the time.
  bool Read(Message& aMessage, std::int64_t aUntilMs, bool aIsAnswer)
  {
    aMessage = Message();
    std::size_t end = 0;
    while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
      if (!Receive(aUntilMs)) {
        return false;
      }
    }
    ParseHead(m_input.substr(0, end), aMessage);
    m_input.erase(0, end + 4);
    if (::strcasecmp(aMessage.Header("Transfer-Encoding").c_str(), "chunked") ==
        0) {
      return ReadChunks(aMessage, aUntilMs);
    }
    const std::string length = aMessage.Header("Content-Length");
    if (length.empty() && aIsAnswer) {
      while (Receive(aUntilMs)) {
      }
      aMessage.m_body = std::exchange(m_input, "");
      return SteadyMs() < aUntilMs;
    }
    const auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
    while (m_input.size() < size) {
      if (!Receive(aUntilMs)) {
        return false;
      }
    }
    aMessage.m_body = m_input.substr(0, size);
    m_input.erase(0, size);
    return true;
  }

private:
  bool Receive(std::int64_t aUntilMs)
  {
    const std::int64_t left = aUntilMs - SteadyMs();
    pollfd wait{ m_fd, POLLIN, 0 };
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) != 1) {
      return false;
    }
    char bytes[16384];
    const ssize_t size = ::recv(m_fd, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      return false;
    }
    m_input.append(bytes, static_cast<std::size_t>(size));
    return true;
  }
  static void ParseHead(const std::string& aHead, Message& aMessage)
  {
    std::size_t position = aHead.find("\r\n");
    aMessage.m_start = aHead.substr(0, position);
    while (position != std::string::npos) {
      const std::size_t begin = position + 2;
      position = aHead.find("\r\n", begin);
      const std::string line = aHead.substr(
        begin, position == std::string::npos ? position : position - begin);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        aMessage.m_headers.emplace_back(line.substr(0, colon),
                                        line.substr(value));
      }
    }
  }
  bool ReadChunks(Message& aMessage, std::int64_t aUntilMs)
  {
    for (;;) {
      std::size_t end = 0;
      while ((end = m_input.find("\r\n")) == std::string::npos) {
        if (!Receive(aUntilMs)) {
          return false;
        }
      }
      const auto size =
        static_cast<std::size_t>(std::strtoul(m_input.c_str(), nullptr, 16));
      m_input.erase(0, end + 2);
      while (m_input.size() < size + 2) {
        if (!Receive(aUntilMs)) {
          return false;
        }
      }
      aMessage.m_body += m_input.substr(0, size);
      m_input.erase(0, size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  int m_fd;
  std::string m_input;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string
EncodeRequest(const std::string& aMethod,
              const std::string& aTarget,
              const Headers& aHeaders,
              const std::string& aBody)
{
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (aMethod != "GET") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

inline std::string
EncodeAnswer(int aStatus, const Headers& aHeaders, const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

/// One request on a new connection; status 0 without an answer.
inline Message
Call(const Address& aTo,
     const std::string& aMethod,
     const std::string& aTarget,
     Headers aHeaders,
     const std::string& aBody,
     std::int64_t aTimeoutMs)
{
  const std::int64_t until = SteadyMs() + aTimeoutMs;
  Stream stream;
  Message answer;
  if (std::none_of(aHeaders.begin(), aHeaders.end(), [](const auto& aEach) {
        return aEach.first == "Host";
      })) {
    aHeaders.emplace_back("Host", aTo.Text());
  }
  if (!stream.Connect(aTo, std::min<std::int64_t>(1000, aTimeoutMs)) ||
      !stream.Write(EncodeRequest(aMethod, aTarget, aHeaders, aBody)) ||
      !stream.Read(answer, until, true)) {
    answer.m_start.clear();
  }
  return answer;
}

/// A server with one thread for each connection.
class Server
{
public:
  using Handler = std::function<void(const Message&, Stream&)>;

  Server(const Address& aListen, Handler aHandler, std::int64_t aIdleMs = 15000)
    : m_handler(std::move(aHandler))
    , m_idleMs(aIdleMs)
  {
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in at = ToSocketAddress(aListen);
    if (::bind(m_fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
        ::listen(m_fd, 1024) != 0) {
      std::fprintf(stderr, "cannot listen at %s\n", aListen.Text().c_str());
      std::_Exit(kNotRun);
    }
    m_thread = std::thread([this] { Accept(); });
  }
  ~Server() { Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Ends the server as a process that ends does: all its connections close.
  void Stop()
  {
    if (m_isStopped.exchange(true)) {
      return;
    }
    ::shutdown(m_fd, SHUT_RDWR);
    m_thread.join();
    ::close(m_fd);
    {
      const std::lock_guard lock(m_mutex);
      for (const int fd : m_connections) {
        ::shutdown(fd, SHUT_RDWR);
      }
    }
    while (m_running > 0) {
      SleepMs(2);
    }
  }

private:
  void Accept()
  {
    for (;;) {
      const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (m_isStopped) {
        if (fd >= 0) {
          ::close(fd);
        }
        return;
      }
      if (fd < 0) {
        SleepMs(1);
        continue;
      }
      ++m_running;
      {
        const std::lock_guard lock(m_mutex);
        m_connections.insert(fd);
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }
  void Serve(int aFd)
  {
    {
      Stream stream(aFd);
      stream.Prepare();
      Message request;
      while (!m_isStopped && stream.Fd() >= 0 &&
             stream.Read(request, SteadyMs() + m_idleMs, false)) {
        m_handler(request, stream);
      }
      const std::lock_guard lock(m_mutex);
      m_connections.erase(aFd);
    }
    --m_running;
  }

  Handler m_handler;
  std::int64_t m_idleMs;
  int m_fd = -1;
  std::thread m_thread;
  std::atomic<bool> m_isStopped{ false };
  std::atomic<int> m_running{ 0 };
  std::mutex m_mutex;
  std::set<int> m_connections;
};

// Processes ----------------------------------------------------------------

/// One process of the project; ends with the driver at the latest.
class Process
{
public:
  Process(std::string aProgram, std::string aSettings, std::string aLog)
    : m_program(std::move(aProgram))
    , m_settings(std::move(aSettings))
    , m_log(std::move(aLog))
  {
  }
  ~Process() { Signal(SIGKILL); }

  void Start(rlim_t aDescriptors = 0)
  {
    m_pid = ::fork();
    if (m_pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log =
        ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("FULMARQUAY_BOOT", m_settings.c_str(), 1);
      if (aDescriptors > 0) {
        const rlimit limit{ aDescriptors, aDescriptors };
        ::setrlimit(RLIMIT_NOFILE, &limit);
      }
      ::execl(m_program.c_str(), m_program.c_str(), nullptr);
      std::_Exit(127);
    }
  }
  void Signal(int aSignal)
  {
    if (m_pid <= 0) {
      return;
    }
    ::kill(m_pid, aSignal);
    if (aSignal == SIGKILL || aSignal == SIGTERM) {
      ::waitpid(m_pid, nullptr, 0);
      m_pid = 0;
    }
  }
  bool IsRunning() const
  {
    return m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == 0;
  }
  pid_t Pid() const { return m_pid; }
  int Descriptors() const
  {
    int count = 0;
    const std::string folder = "/proc/" + std::to_string(m_pid) + "/fd";
    if (DIR* entries = ::opendir(folder.c_str())) {
      while (const dirent* entry = ::readdir(entries)) {
        count += entry->d_name[0] == '.' ? 0 : 1;
      }
      ::closedir(entries);
    }
    return count;
  }
  const std::string& Log() const { return m_log; }

private:
  std::string m_program;
  std::string m_settings;
  std::string m_log;
  pid_t m_pid = 0;
};

/// An entry of the platform's list of workers.
struct Instance
{
  std::string m_id;
  std::string m_backend;
  std::string m_address;
  std::string m_zone = "za";
  std::string m_version = "v1";
  int m_slots = 64;
  bool m_isDraining = false;
  std::int64_t m_born = 0;
  std::string m_models = "[]"; ///< JSON
};

/// The list of workers at the address `cloud.address`.
class WorkerList
{
public:
  explicit WorkerList(const Address& aListen)
    : m_server(aListen, [this](const Message& aRequest, Stream& aStream) {
      Answer(aRequest, aStream);
    })
  {
  }
  void Set(std::vector<Instance> aInstances)
  {
    const std::lock_guard lock(m_mutex);
    m_instances = std::move(aInstances);
  }
  std::vector<Instance> Get()
  {
    const std::lock_guard lock(m_mutex);
    return m_instances;
  }
  /// While it is down, calls get no answer.
  void SetDown(bool aIsDown) { m_isDown = aIsDown; }

private:
  void Answer(const Message&, Stream& aStream)
  {
    if (m_isDown) {
      SleepMs(1500);
      aStream.Close();
      return;
    }
    std::string body = "{\"instances\":[";
    {
      const std::lock_guard lock(m_mutex);
      for (std::size_t i = 0; i < m_instances.size(); ++i) {
        const Instance& each = m_instances[i];
        body += std::string(i == 0 ? "" : ",") + "{\"backend\":\"" +
                each.m_backend + "\",\"address\":\"" + each.m_address +
                "\",\"zone\":\"" + each.m_zone + "\",\"version\":\"" +
                each.m_version +
                "\",\"slots\":" + std::to_string(each.m_slots) +
                ",\"state\":\"" + (each.m_isDraining ? "draining" : "ready") +
                "\",\"cold-remaining-ms\":0,\"stage\":\"both\",\"models\":" +
                each.m_models + ",\"born\":" + std::to_string(each.m_born) +
                ",\"id\":\"" + each.m_id + "\"}";
      }
    }
    body += "],\"next\":null}";
    aStream.Write(
      EncodeAnswer(200, { { "Content-Type", "application/json" } }, body));
  }

  std::mutex m_mutex;
  std::vector<Instance> m_instances;
  std::atomic<bool> m_isDown{ false };
  Server m_server;
};

/// The bounds of the sheet of `sites/faroles-valle.toml`.
struct Bounds
{
  int m_revokeMs = 5000;
  int m_versionMs = 6000;
  int m_leaseMs = 3000;
  int m_graceS = 8;
  int m_maxFds = 4200;
  int m_toleratedMachines = 1;
  int m_edgeZones = 1; ///< za, zb; edge machines take turns
};

/// Core and edge machines with the project's programs.
class Fleet
{
public:
  /// `aSpares`: further core machines, which StartControl starts.
  Fleet(const std::string& aFolder,
        int aCores,
        int aEdges,
        Bounds aBounds = {},
        int aSpares = 0)
    : m_folder(aFolder)
    , m_bounds(aBounds)
    , m_cores(aCores + aSpares)
    , m_edges(aEdges)
  {
    m_ports = FreePorts(7);
    m_started = aCores;
    m_list = std::make_unique<WorkerList>(ListAddress());
    for (int i = 0; i < m_cores; ++i) {
      ::mkdir(DataFolder(i).c_str(), 0700);
      WriteControlSettings(i, i < aCores);
      m_controls.push_back(std::make_unique<Process>(
        "target/bin/platform-control", ControlFile(i), LogFile("control", i)));
    }
    for (int i = 0; i < aEdges; ++i) {
      WriteEntrySettings(i);
      m_entries.push_back(std::make_unique<Process>(
        "target/bin/platform-entry", EntryFile(i), LogFile("entry", i)));
    }
  }

  void Start()
  {
    for (int i = 0; i < m_started; ++i) {
      m_controls[i]->Start();
    }
    for (auto& each : m_entries) {
      each->Start(static_cast<rlim_t>(m_bounds.m_maxFds));
    }
  }

  Process& Control(int aNumber) { return *m_controls.at(aNumber); }
  Process& Entry(int aNumber) { return *m_entries.at(aNumber); }
  WorkerList& List() { return *m_list; }
  int Cores() const { return m_cores; }
  int Edges() const { return m_edges; }

  Address ControlAddress(int aNumber) const
  {
    return { CoreIp(aNumber), m_ports[1] };
  }
  Address Front(int aNumber) const { return { EdgeIp(aNumber), m_ports[2] }; }
  Address Ready(int aNumber) const { return { EdgeIp(aNumber), m_ports[3] }; }
  Address ListAddress() const { return { "127.73.0.1", m_ports[4] }; }
  /// The address of a worker; all differ.
  Address WorkerAddress(int aGroup, int aNumber) const
  {
    return { "127.74." + std::to_string(aGroup) + "." +
               std::to_string(aNumber + 1),
             m_ports[4] };
  }

  void StartControl(int aNumber)
  {
    WriteControlSettings(aNumber, false);
    m_controls.at(aNumber)->Start();
  }

  /// Loses the disk of a core machine whose process is not running.
  void LoseDisk(int aNumber)
  {
    if (DIR* entries = ::opendir(DataFolder(aNumber).c_str())) {
      while (const dirent* entry = ::readdir(entries)) {
        if (entry->d_name[0] != '.') {
          ::unlink((DataFolder(aNumber) + "/" + entry->d_name).c_str());
        }
      }
      ::closedir(entries);
    }
  }

  /// An order of the operator, sent again to one daemon after the other until
  /// it has a clear answer or the time is over. Returns its status, 0 for none.
  int Order(const std::string& aTarget,
            const std::string& aBody,
            std::int64_t aTimeoutMs)
  {
    const std::int64_t until = SteadyMs() + aTimeoutMs;
    int last = 0;
    for (int i = 0; SteadyMs() < until; ++i) {
      Address to = ControlAddress(i % m_cores);
      std::string target = aTarget;
      for (int hop = 0; hop < 3; ++hop) {
        const Message answer =
          Call(to,
               "POST",
               target,
               {},
               aBody,
               std::min<std::int64_t>(
                 1000, std::max<std::int64_t>(1, until - SteadyMs())));
        const int status = answer.Status();
        last = status == 0 ? last : status;
        if (status == 307) {
          const std::string location = answer.Header("Location");
          const auto slash = location.find('/', 7);
          to = ParseAddress(location.substr(7, slash - 7));
          target = location.substr(slash);
          continue;
        }
        if (status == 200 || status == 400) {
          return status;
        }
        break;
      }
      SleepMs(50 + 20 * std::min(i, 10));
    }
    return last;
  }

  bool IsReady(int aNumber) const
  {
    return Call(Ready(aNumber), "GET", "/-/ready", {}, "", 1000).Status() ==
           200;
  }
  bool AwaitReady(std::int64_t aTimeoutMs) const
  {
    const std::int64_t until = SteadyMs() + aTimeoutMs;
    for (int i = 0; i < m_edges;) {
      if (IsReady(i)) {
        ++i;
      } else if (SteadyMs() >= until) {
        return false;
      } else {
        SleepMs(50);
      }
    }
    return true;
  }

private:
  std::string CoreIp(int aNumber) const
  {
    return "127.71.0." + std::to_string(aNumber + 1);
  }
  std::string EdgeIp(int aNumber) const
  {
    return "127.72.0." + std::to_string(aNumber + 1);
  }
  std::string ZoneOf(int aEntry) const
  {
    return aEntry % m_bounds.m_edgeZones == 0 ? "za" : "zb";
  }
  std::string ControlFile(int aNumber) const
  {
    return m_folder + "/control" + std::to_string(aNumber) + ".ini";
  }
  std::string DataFolder(int aNumber) const
  {
    return m_folder + "/data" + std::to_string(aNumber);
  }
  std::string EntryFile(int aNumber) const
  {
    return m_folder + "/entry" + std::to_string(aNumber) + ".ini";
  }
  std::string LogFile(const char* aName, int aNumber) const
  {
    return m_folder + "/" + aName + std::to_string(aNumber) + ".log";
  }
  std::string Seeds() const
  {
    std::string seeds;
    for (int i = 0; i < std::min(3, m_cores); ++i) {
      seeds += ControlAddress(i).Text() + " ";
    }
    return seeds;
  }
  static void WriteFile(const std::string& aPath, const std::string& aText)
  {
    std::FILE* file = std::fopen(aPath.c_str(), "w");
    std::fputs(aText.c_str(), file);
    std::fclose(file);
  }
  /// platform/control.ini.in, filled in.
  void WriteControlSettings(int aNumber, bool aIsFirstStart) const
  {
    WriteFile(
      ControlFile(aNumber),
      "[control]\nvm = " + CoreIp(aNumber) +
        "\ndata_centre = za\nlisten = " + CoreIp(aNumber) + ":" +
        std::to_string(m_ports[0]) + "\ndata_folder = " + DataFolder(aNumber) +
        "\nbootstrap = " + (aIsFirstStart ? "yes" : "no") +
        "\nseeds = " + Seeds() +
        "\ntolerated_losses = " + std::to_string(m_bounds.m_toleratedMachines) +
        "\noperator_http = " + ControlAddress(aNumber).Text() +
        "\nmetrics_http = " + CoreIp(aNumber) + ":" +
        std::to_string(m_ports[6]) + "\n\n[fleet]\nvm_list = " +
        ListAddress().Text() + "\nchecks_fencing = no\norder_takeover_wait = " +
        std::to_string(m_bounds.m_leaseMs) + "ms\n");
  }
  /// platform/entry.ini.in, filled in.
  void WriteEntrySettings(int aNumber) const
  {
    const std::string ip = EdgeIp(aNumber);
    WriteFile(
      EntryFile(aNumber),
      "[entry]\nvm = edge-" + ZoneOf(aNumber) + "-" +
        std::to_string(aNumber + 1) + "\ndata_centre = " + ZoneOf(aNumber) +
        "\nregions = za=ra zb=ra \nlisten = " + ip + ":" +
        std::to_string(m_ports[0]) + "\nhttp = " + Front(aNumber).Text() +
        "\nready_http = " + Ready(aNumber).Text() + "\nrelay_http = " + ip +
        ":" + std::to_string(m_ports[5]) + "\nmetrics_http = " + ip + ":" +
        std::to_string(m_ports[6]) + "\ncontrol_seeds = " + Seeds() +
        "\nconfiguration = routes\nheartbeat = 1s\nkey_revocation = " +
        std::to_string(m_bounds.m_revokeMs) +
        "ms\nweights_bound = " + std::to_string(m_bounds.m_versionMs) +
        "ms\nretry_ratio = 0.2\nretry_slack = 52\ndrain_delay = "
        "3s\ndrain_limit = " +
        std::to_string(m_bounds.m_graceS) +
        "s\ndescriptors = " + std::to_string(m_bounds.m_maxFds) + "\n");
  }

  std::string m_folder;
  Bounds m_bounds;
  int m_cores; ///< with the spare ones
  int m_started = 0;
  int m_edges;
  std::vector<int> m_ports;
  std::unique_ptr<WorkerList> m_list;
  std::vector<std::unique_ptr<Process>> m_controls;
  std::vector<std::unique_ptr<Process>> m_entries;
};

/// Lets this process use as many descriptors as it may, and returns their
/// number.
inline rlim_t
RaiseDescriptors()
{
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

/// Whether the disruption of the case is to be played.
inline bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

/// Ends the case with its result; all processes end with this one.
[[noreturn]] inline void
Finish(Fleet& aFleet, int aResult)
{
  Record::Line("result %d (%s)",
               aResult,
               aResult == kBroken ? "the rule was broken"
               : aResult == kHeld ? "the rule held"
                                  : "the case couldn't run");
  std::printf("%s\n",
              aResult == kBroken ? "BROKEN"
              : aResult == kHeld ? "held"
                                 : "not run");
  std::fflush(stdout);
  for (int i = 0; i < aFleet.Cores(); ++i) {
    aFleet.Control(i).Signal(SIGKILL);
  }
  for (int i = 0; i < aFleet.Edges(); ++i) {
    aFleet.Entry(i).Signal(SIGKILL);
  }
  std::_Exit(aResult);
}

} // namespace review

#endif
