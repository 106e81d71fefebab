#include <utility>

#include "fulmarquay/core/LogEvent.h"
#include "fulmarquay/core/MemoryWatch.h"
#include "fulmarquay/core/Program.h"
#include "fulmarquay/core/SettingsSpec.h"
#include "fulmarquay/daemon/PeerLinks.h"
#include "fulmarquay/daemon/SettingsReload.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

SettingsSpec
MakeSpec()
{
  SettingsSpec::Builder builder("test");
  builder.Section("s").Required("n", SettingKind::Integer, "a number");
  return builder.Build();
}

void
WriteFile(const std::string& aFile, const std::string& aText)
{
  std::ofstream(aFile) << aText;
}

} // namespace

Test(settings_reload, valid_file_is_applied_and_invalid_file_is_ignored)
{
  char path[] = "/tmp/fulmarquay-reload-XXXXXX";
  const std::string folder = ::mkdtemp(path);
  const std::string file = folder + "/f.ini";
  const SettingsSpec spec = MakeSpec();
  boost::asio::io_context context;
  std::vector<std::int64_t> applied;
  const SettingsReload reload(
    context, file, spec, [&](const Settings& aSettings) {
      applied.push_back(aSettings.Integer("s", "n"));
    });
  for (const char* text : { "[s]\nn = 1\n", "[s]\nm = 2\n", "[s]\nn = 3\n" }) {
    WriteFile(file, text);
    std::raise(SIGHUP);
    // The first handler delivers the signal; the next one reloads the file.
    context.run_one();
    context.poll();
  }
  cr_assert(applied == (std::vector<std::int64_t>{ 1, 3 }));
  std::filesystem::remove_all(folder);
}

namespace {

/// Runs `aBody` as a daemon with a buffered log; returns its exit code.
int
RunTestDaemon(const std::function<void()>& aBody)
{
  char path[] = "/tmp/fulmarquay-daemon-XXXXXX";
  const std::string folder = ::mkdtemp(path);
  const std::string file = folder + "/f.ini";
  WriteFile(file, "[s]\nn = 1\n");
  std::string words[] = { "test-daemon", "--settings", file };
  char* arguments[] = { words[0].data(), words[1].data(), words[2].data() };
  CommandSpec spec;
  spec.m_program = words[0];
  return RunDaemon(3, arguments, spec, MakeSpec(), [&](auto&&...) {
    std::filesystem::remove_all(folder);
    StartLog("test-daemon", "text");
    ReportCrashes();
    LogProcessStarted({});
    BufferLog();
    WriteLog(LogEvent::RequestSent, { { "id", "last" } });
    aBody();
  });
}

/// What a child process that runs `aBody` as a daemon writes to its standard
/// output.
std::string
OutputOfDaemon(const std::function<void()>& aBody)
{
  int ends[2];
  cr_assert_eq(::pipe(ends), 0);
  const pid_t child = ::fork();
  if (child == 0) {
    ::dup2(ends[1], STDOUT_FILENO);
    ::close(ends[0]);
    ::close(ends[1]);
    std::_Exit(RunTestDaemon(aBody));
  }
  ::close(ends[1]);
  std::string output;
  char bytes[4096];
  for (ssize_t size = 0; (size = ::read(ends[0], bytes, sizeof(bytes))) > 0;) {
    output.append(bytes, static_cast<std::size_t>(size));
  }
  ::close(ends[0]);
  int status = 0;
  ::waitpid(child, &status, 0);
  return output;
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

Test(process_end, exception_out_of_the_event_loop_leaves_its_line)
{
  const std::string output = OutputOfDaemon([] {
    boost::asio::io_context context;
    boost::asio::post(context, [] { throw std::length_error("too long"); });
    context.run();
  });
  cr_assert(Contains(output, "name=ProcessStarted"), "%s", output.c_str());
  cr_assert(Contains(output, "id=\"last\""), "%s", output.c_str());
  cr_assert(Contains(output, "name=ProcessFailed"), "%s", output.c_str());
  cr_assert(Contains(output, "reason=\"too long\""), "%s", output.c_str());
}

Test(process_end, exception_of_another_thread_leaves_its_line)
{
  const std::string output = OutputOfDaemon(
    [] { std::thread([] { throw std::length_error("in a thread"); }).join(); });
  cr_assert(Contains(output, "id=\"last\""), "%s", output.c_str());
  cr_assert(Contains(output, "reason=\"in a thread\""), "%s", output.c_str());
}

Test(process_end, crash_leaves_the_last_lines_and_its_signal)
{
  for (const int signal : { SIGSEGV, SIGFPE, SIGBUS, SIGILL, SIGABRT }) {
    const std::string output = OutputOfDaemon([=] { std::raise(signal); });
    cr_assert(Contains(output, "id=\"last\""), "%s", output.c_str());
    cr_assert(Contains(output, "name=ProcessCrashed"), "%s", output.c_str());
    cr_assert(Contains(output, "signal=\"" + std::to_string(signal) + "\""),
              "%s",
              output.c_str());
  }
}

namespace {

int
Recurse(int aDepth)
{
  volatile char frame[4096] = {};
  frame[0] = static_cast<char>(aDepth);
  return aDepth < 0 ? 0 : Recurse(aDepth + 1) + frame[0];
}

} // namespace

Test(process_end, stack_overflow_leaves_its_signal)
{
  const std::string output = OutputOfDaemon([] { std::_Exit(Recurse(1)); });
  cr_assert(Contains(output, "name=ProcessCrashed"), "%s", output.c_str());
}

// Guards against a crashed process that keeps its connections because nobody
// reads its log.
Test(process_end,
     a_crash_ends_the_process_while_nobody_reads_its_log,
     .timeout = 10)
{
  int ends[2];
  cr_assert_eq(::pipe(ends), 0);
  const pid_t child = ::fork();
  if (child == 0) {
    ::dup2(ends[1], STDOUT_FILENO);
    RunTestDaemon([] {
      // More than a pipe holds.
      for (int i = 0; i < 2'000; ++i) {
        WriteLog(LogEvent::RequestSent, { { "id", "later" } });
      }
      FlushLog();
      std::raise(SIGSEGV);
    });
    std::_Exit(0);
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  ::close(ends[0]);
  ::close(ends[1]);
  cr_assert(WIFSIGNALED(status));
}

Test(process_end, lack_of_memory_leaves_its_line)
{
  const std::string output = OutputOfDaemon([] {
    const rlimit limit{ 1U << 30U, 1U << 30U };
    ::setrlimit(RLIMIT_AS, &limit);
    std::vector<std::string> held;
    boost::asio::io_context context;
    boost::asio::post(context, [&] {
      for (;;) {
        held.emplace_back(std::size_t{ 64U << 20U }, 'x');
      }
    });
    context.run();
  });
  cr_assert(Contains(output, "id=\"last\""), "%s", output.c_str());
  cr_assert(Contains(output, "name=ProcessFailed"), "%s", output.c_str());
  cr_assert(Contains(output, "bad_alloc"), "%s", output.c_str());
}

Test(process_end, a_killed_process_leaves_no_line_of_its_end)
{
  const std::string output = OutputOfDaemon([] {
    FlushLog();
    std::raise(SIGKILL);
  });
  cr_assert(Contains(output, "id=\"last\""), "%s", output.c_str());
  cr_assert_not(Contains(output, "ProcessFailed"), "%s", output.c_str());
  cr_assert_not(Contains(output, "ProcessStopped"), "%s", output.c_str());
}

// Guards against an end of the process, with all requests that it runs, when
// the reader of its log ends.
Test(process_end, a_log_reader_that_ends_does_not_end_the_process)
{
  constexpr int kReachedEnd = 7;
  int ends[2];
  cr_assert_eq(::pipe(ends), 0);
  const pid_t child = ::fork();
  if (child == 0) {
    ::dup2(ends[1], STDOUT_FILENO);
    ::close(ends[0]);
    ::close(ends[1]);
    RunTestDaemon([] {
      for (int i = 0; i < 20; ++i) {
        WriteLog(LogEvent::RequestSent, { { "id", "later" } });
        FlushLog();
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
      std::_Exit(kReachedEnd);
    });
    std::_Exit(0);
  }
  ::close(ends[1]);
  char byte = 0;
  cr_assert_eq(::read(ends[0], &byte, 1), 1);
  ::close(ends[0]);
  int status = 0;
  ::waitpid(child, &status, 0);
  cr_assert(WIFEXITED(status), "ended by signal %d", WTERMSIG(status));
  cr_assert_eq(WEXITSTATUS(status), kReachedEnd);
}

// Guards against an end of the process when its log's file may not grow.
Test(process_end, a_log_file_at_its_size_limit_does_not_end_the_process)
{
  constexpr int kReachedEnd = 7;
  constexpr rlim_t kMaxFileBytes = 4096;
  std::FILE* file = std::tmpfile();
  const pid_t child = ::fork();
  if (child == 0) {
    ::dup2(::fileno(file), STDOUT_FILENO);
    RunTestDaemon([] {
      const rlimit limit{ kMaxFileBytes, kMaxFileBytes };
      ::setrlimit(RLIMIT_FSIZE, &limit);
      for (int i = 0; i < 100; ++i) {
        WriteLog(LogEvent::RequestSent, { { "id", "later" } });
        FlushLog();
      }
      std::_Exit(kReachedEnd);
    });
    std::_Exit(0);
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  std::fclose(file);
  cr_assert(WIFEXITED(status), "ended by signal %d", WTERMSIG(status));
  cr_assert_eq(WEXITSTATUS(status), kReachedEnd);
}

// Guards against an end of the process when the settings change while it
// starts.
Test(process_end, a_reload_signal_during_the_start_does_not_end_the_process)
{
  const std::string output = OutputOfDaemon([] {
    std::raise(SIGHUP);
    WriteLog(LogEvent::ProcessStopped);
  });
  cr_assert(Contains(output, "ProcessStopped"), "%s", output.c_str());
}

Test(memory_watch, each_step_is_told_once)
{
  MemoryWatch watch;
  const TimePoint start(Duration(1'000'000));
  const std::int64_t step = MemoryWatch::kStep.Count();
  cr_assert(watch.IsDue(start));
  cr_assert_not(watch.OnSample(start, Bytes(step - 1)).has_value());
  cr_assert_not(watch.IsDue(start + MemoryWatch::kInterval - Duration(1)));
  cr_assert(watch.OnSample(start, Bytes(step)).has_value());
  cr_assert_not(watch.OnSample(start, Bytes(step + 1)).has_value());
  cr_assert_not(watch.OnSample(start, Bytes(1)).has_value());
  cr_assert_not(watch.OnSample(start, Bytes(step)).has_value());
  cr_assert(watch.OnSample(start, Bytes(3 * step)).has_value());
  cr_assert_eq(watch.Resident().Count(), 3 * step);
}

namespace {

class IgnoringHandler : public FrameHandler
{
public:
  void OnConnected(ConnectionId) override {}
  void OnFrame(ConnectionId, Frame) override {}
  void OnClosed(ConnectionId) override {}
};

/// Counts the open connections and the frames of a listener.
class CountingPeer : public FrameHandler
{
public:
  CountingPeer(boost::asio::io_context& aContext, const Endpoint& aAddress)
    : m_hub(aContext, *this)
  {
    m_hub.Listen(aAddress);
  }

  void OnConnected(ConnectionId) override { ++m_connections; }
  void OnFrame(ConnectionId, Frame) override { ++m_frames; }
  void OnClosed(ConnectionId) override { --m_connections; }

  int Connections() const { return m_connections; }
  int Frames() const { return m_frames; }

private:
  FrameHub m_hub;
  int m_connections = 0;
  int m_frames = 0;
};

std::uint16_t
FindFreePort()
{
  boost::asio::io_context context;
  using boost::asio::ip::tcp;
  const tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
  return tcp::acceptor(context, any).local_endpoint().port();
}

/// Links of VM `vm1` to peers at two addresses.
class LinkedPeers
{
public:
  LinkedPeers()
    : m_firstAddress("127.0.0.1", FindFreePort())
    , m_secondAddress("127.0.0.2", m_firstAddress.Port())
    , m_first(m_context, m_firstAddress)
    , m_second(m_context, m_secondAddress)
    , m_hub(m_context, m_ignoring)
  {
  }

  const Endpoint& FirstAddress() const { return m_firstAddress; }
  const Endpoint& SecondAddress() const { return m_secondAddress; }
  const CountingPeer& First() const { return m_first; }
  const CountingPeer& Second() const { return m_second; }
  FrameHub& Hub() { return m_hub; }

  /// Waits until this many connections to each peer are open.
  bool Await(PeerLinks& aLinks, int aFirst, int aSecond)
  {
    return Await(aLinks, [&] {
      return m_first.Connections() == aFirst &&
             m_second.Connections() == aSecond;
    });
  }

  bool Await(PeerLinks& aLinks, const std::function<bool()>& aIsReached)
  {
    for (int i = 0; i < 200 && !aIsReached(); ++i) {
      aLinks.Reconnect();
      m_context.run_for(std::chrono::milliseconds(10));
    }
    return aIsReached();
  }

private:
  boost::asio::io_context m_context;
  Endpoint m_firstAddress;
  Endpoint m_secondAddress;
  CountingPeer m_first;
  CountingPeer m_second;
  IgnoringHandler m_ignoring;
  FrameHub m_hub;
};

Membership
VotersOf(const std::vector<Member>& aVoters)
{
  Membership membership;
  membership.m_voters = aVoters;
  return membership;
}

const Member kSelf{ ReplicaId(1), "vm1", "127.0.0.1:1" };

} // namespace

// A member states its address itself, and may join from another version.
Test(peer_links, a_member_without_an_address_hides_no_other)
{
  boost::asio::io_context context;
  IgnoringHandler handler;
  FrameHub hub(context, handler);
  PeerLinks links(hub, "vm1", {});
  Membership membership;
  membership.m_voters = { { ReplicaId(1), "vm1", "10.0.0.1:1" },
                          { ReplicaId(2), "vm2", "core-b-1:7100" },
                          { ReplicaId(3), "vm3", "127.0.0.1:1" } };
  links.SetMembership(membership);
  links.Reconnect();
  cr_assert_eq(links.Size(), 1);
}

Test(peer_links, new_replica_of_a_vm_that_has_moved_is_reached)
{
  LinkedPeers peers;
  PeerLinks links(peers.Hub(), "vm1", {});
  const Member former{ ReplicaId(2), "vm2", peers.FirstAddress().ToString() };
  const Member moved{ ReplicaId(3), "vm2", peers.SecondAddress().ToString() };
  Membership membership = VotersOf({ kSelf, former });
  links.SetMembership(membership);
  cr_assert(peers.Await(links, 1, 0));
  membership.m_learners = { moved };
  links.SetMembership(membership);
  cr_assert(peers.Await(links, 0, 1));
  links.Send(moved.m_id, { Channel::Consensus, "append" });
  cr_assert(peers.Await(links, [&] { return peers.Second().Frames() == 1; }));
}

Test(peer_links, members_that_are_gone_are_not_dialled)
{
  LinkedPeers peers;
  PeerLinks links(peers.Hub(), "vm1", { { "vm2", peers.FirstAddress() } });
  links.SetMembership(
    VotersOf({ kSelf,
               { ReplicaId(2), "vm2", peers.FirstAddress().ToString() },
               { ReplicaId(3), "vm3", peers.SecondAddress().ToString() } }));
  cr_assert(peers.Await(links, 1, 1));
  links.SetMembership(VotersOf({ kSelf }));
  cr_assert(peers.Await(links, 1, 0), "the address of the settings remains");
  cr_assert_eq(links.Size(), 1U);
}

Test(peer_links, seeds_that_left_the_settings_are_not_dialled)
{
  LinkedPeers peers;
  PeerLinks links(peers.Hub(), "vm1", { { "vm2", peers.FirstAddress() } });
  links.SetMembership(VotersOf({ kSelf }));
  cr_assert(peers.Await(links, 1, 0));
  links.Configure({ { "vm3", peers.SecondAddress() } });
  cr_assert(peers.Await(links, 0, 1));
  cr_assert_eq(links.Size(), 1U);
}

Test(peer_links, address_of_the_settings_precedes_that_of_the_membership)
{
  LinkedPeers peers;
  PeerLinks links(peers.Hub(), "vm1", { { "vm2", peers.FirstAddress() } });
  const Member member{ ReplicaId(2), "vm2", peers.SecondAddress().ToString() };
  links.SetMembership(VotersOf({ kSelf, member }));
  cr_assert(peers.Await(links, 1, 0));
  links.Configure({});
  cr_assert(peers.Await(links, 0, 1));
}
