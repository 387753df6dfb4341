#include "tests/soak/gateway_process.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <vector>

#include "address_text.h"
#include "glog/logging.h"
#include "tests/soak/loopback.h"
#include "text.h"

namespace acaciachute {

GatewayProcess::GatewayProcess(const GatewayProcessOptions& options)
    : options_(options),
      clients_(FreeAddress()),
      readiness_(FreeAddress()),
      peers_(FreeAddress()) {
  constexpr int kGraceSeconds = 8;
  gchar* path = nullptr;
  close(g_file_open_tmp("acaciachute-XXXXXX", &path, nullptr));
  file_ = path;
  g_free(path);
  WriteSettings(kGraceSeconds);
}

void GatewayProcess::SetGrace(int seconds) {
  WriteSettings(seconds);
}

void GatewayProcess::WriteSettings(int grace_seconds) const {
  std::ofstream file(file_);
  file << "node_name=" << options_.name
       << "\nip=127.0.0.1\nzone=" << options_.domain
       << "\nlisten.front=" << AddressText(clients_)
       << "\nlisten.ready_addr=" << AddressText(readiness_)
       << "\ninternal_ports=" << peers_.port << "," << peers_.port
       << "\nplatform.address=" << AddressText(options_.store)
       << "\nbounds.grace_s=" << grace_seconds << "\nbounds.revoke_ms=5000"
       << "\nbounds.retry_budget_ratio=" << options_.retries.ratio
       << "\nbounds.retry_slack=" << options_.retries.slack
       << "\nbounds.retry_window_s=" << options_.retries.window / kSecond
       << "\n";
  if (options_.memory_megabytes != 0) {
    file << "limits.memory_mb=" << options_.memory_megabytes << "\n";
  }
  if (options_.max_descriptors != 0) {
    file << "limits.max_fds=" << options_.max_descriptors << "\n";
  }
}

GatewayProcess::~GatewayProcess() {
  if (process_ != nullptr) {
    g_subprocess_force_exit(process_.get());
    g_subprocess_wait(process_.get(), nullptr, nullptr);
  }
  g_remove(file_.c_str());
}

void GatewayProcess::Start() {
  const GPtr<GSubprocessLauncher> launcher(g_subprocess_launcher_new(
      options_.log.empty() ? G_SUBPROCESS_FLAGS_STDOUT_SILENCE
                           : G_SUBPROCESS_FLAGS_NONE));
  if (!options_.log.empty()) {
    // Appends, so that a restarted process continues the same log.
    const int fd =
        g_open(options_.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    PCHECK(fd >= 0) << options_.log;
    g_subprocess_launcher_take_stdout_fd(launcher.get(), fd);
  }
  // The kernel kills the gateway when the test program dies.
  g_subprocess_launcher_set_child_setup(
      launcher.get(), [](gpointer) { prctl(PR_SET_PDEATHSIG, SIGKILL); },
      nullptr, nullptr);
  g_subprocess_launcher_setenv(launcher.get(), "ACACIACHUTE_BOOT",
                               file_.c_str(), TRUE);
  process_.reset(g_subprocess_launcher_spawn(
      launcher.get(), nullptr, ACACIACHUTE_BIN_DIR "/acaciachuted", "--gateway",
      nullptr));
  PCHECK(process_ != nullptr);
  pid_ = g_subprocess_get_identifier(process_.get());
  // Each process has its own flag, because the loop may report the end of a
  // process after the next one was started or after this object was destroyed.
  ended_ = std::make_shared<bool>(false);
  g_subprocess_wait_async(
      process_.get(), nullptr,
      [](GObject*, GAsyncResult*, gpointer data) {
        const std::unique_ptr<std::shared_ptr<bool>> ended(
            static_cast<std::shared_ptr<bool>*>(data));
        **ended = true;
      },
      new std::shared_ptr<bool>(ended_));
}

void GatewayProcess::Signal(int signal) {
  if (process_ != nullptr && !Ended()) {
    g_subprocess_send_signal(process_.get(), signal);
  }
}

bool GatewayProcess::Ended() const {
  return *ended_;
}

bool GatewayProcess::ExitedCleanly() const {
  return g_subprocess_get_if_exited(process_.get()) &&
         g_subprocess_get_successful(process_.get());
}

int GatewayProcess::pid() const {
  return ParseNumber<int>(pid_).value_or(0);
}

std::string GatewayProcess::ReadProcFile(const std::string& name) const {
  std::ifstream in(StrCat("/proc/", pid_, "/", name));
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

DurationUs GatewayProcess::ProcessorTime() const {
  // The fields of proc(5) are counted after the command name in parentheses.
  const std::string text = ReadProcFile("stat");
  const auto parts = Split(text.substr(text.rfind(')') + 2), ' ');
  constexpr std::size_t kUser = 11;
  constexpr std::size_t kSystem = 12;
  const DurationUs tick = kSecond / sysconf(_SC_CLK_TCK);
  return tick * (ParseNumber<std::int64_t>(parts[kUser]).value_or(0) +
                 ParseNumber<std::int64_t>(parts[kSystem]).value_or(0));
}

std::uint64_t GatewayProcess::PeakMemoryBytes() const {
  constexpr std::string_view kField = "VmHWM:";
  constexpr std::uint64_t kKilobyte = 1024;
  const std::string text = ReadProcFile("status");
  const auto at = text.find(kField);
  return at == std::string::npos
             ? 0
             : kKilobyte * std::strtoull(text.c_str() + at + kField.size(),
                                         nullptr, 10);
}

std::uint64_t GatewayProcess::MemoryBytes() const {
  const auto parts = Split(ReadProcFile("statm"), ' ');
  return ParseNumber<std::uint64_t>(parts[1]).value_or(0) *
         static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace acaciachute
