#include "tests/crowd/crowd.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

#include "tests/soak/loopback.h"
#include "text.h"
#include "transport/socket_stream.h"

namespace acaciachute {
namespace {

// Time after which a client opens another connection.
constexpr DurationUs kReconnectDelay = 20 * kMillisecond;
// Time for the other side to read what was sent.
constexpr DurationUs kResetDelay = 100 * kMillisecond;
constexpr DurationUs kSamplePeriod = 5 * kMillisecond;
// Times that an endless part is written before other clients have their turn.
constexpr int kMaxPartsAtOnce = 4;

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace

struct Crowd::Impl {
  class Client;

  Impl(Loop* loop_in, const Address& address_in, CrowdPlan plan_in)
      : loop(loop_in), address(address_in), plan(std::move(plan_in)) {}

  Loop* const loop;
  const Address address;
  const CrowdPlan plan;
  bool resting = false;
  std::size_t opened = 0;
  std::vector<std::unique_ptr<Client>> clients;
};

class Crowd::Impl::Client : public SocketHandler {
 public:
  explicit Client(Impl* owner) : owner_(owner) { Open(); }
  ~Client() override {
    if (stream_ != nullptr) {
      stream_->Close();
    }
  }

  void OnConnected() override {
    if (!owner_->plan.reads) {
      stream_->SetReading(false);
    }
  }
  void OnBytes(std::string_view) override {}
  void OnEnd(const char*) override { OpenLater(); }
  void OnFlushed() override {
    if (owner_->plan.resets) {
      RunAfter(owner_->loop, kResetDelay, alive_, [this] { Reset(); });
    }
  }

 private:
  void Open() {
    ++owner_->opened;
    auto stream =
        SocketStream::Connect(owner_->loop->sockets(), owner_->address, this);
    if (!stream.ok()) {
      OpenLater();
      return;
    }
    stream_ = *std::move(stream);
    stream_->Write(owner_->plan.begin);
    if (!owner_->plan.endless.empty()) {
      Pump(stream_);
    }
  }
  void Reset() {
    if (stream_ != nullptr) {
      stream_->Abort();
      OpenLater();
    }
  }
  // Without a pause, the kernel is kept full.
  void Pump(const std::weak_ptr<SocketStream>& to) {
    const DurationUs pause = owner_->plan.pause;
    RunAfter(owner_->loop, std::max(pause, kMillisecond), alive_,
             [this, to, pause] {
               const auto stream = to.lock();
               if (stream == nullptr || stream != stream_) {
                 return;
               }
               const int parts = pause == 0 ? kMaxPartsAtOnce : 1;
               for (int n = 0; n < parts && stream->unsent() == 0; ++n) {
                 stream->Write(owner_->plan.endless);
               }
               Pump(to);
             });
  }
  void OpenLater() {
    stream_ = nullptr;
    if (!owner_->plan.again) {
      return;
    }
    RunAfter(owner_->loop, kReconnectDelay, alive_, [this] {
      if (!owner_->resting) {
        Open();
      }
    });
  }

  Impl* const owner_;
  std::shared_ptr<SocketStream> stream_;
  const std::shared_ptr<int> alive_ = std::make_shared<int>();
};

Crowd::Crowd(Loop* loop, const Address& address, const CrowdPlan& plan)
    : impl_(std::make_unique<Impl>(loop, address, plan)) {
  for (std::size_t n = 0; n < plan.clients; ++n) {
    impl_->clients.push_back(std::make_unique<Impl::Client>(impl_.get()));
  }
}
Crowd::~Crowd() = default;

void Crowd::Rest() {
  impl_->resting = true;
}
std::size_t Crowd::opened() const {
  return impl_->opened;
}

struct ProcessWatch::Impl {
  void Sample() {
    peak_bytes = std::max(peak_bytes, ResidentBytes() + UnreadBytes());
    peak_descriptors = std::max(peak_descriptors, Descriptors());
  }

  std::uint64_t ResidentBytes() const {
    const auto parts = Split(ReadFile(StrCat("/proc/", pid, "/statm")), ' ');
    return parts.size() < 2
               ? 0
               : ParseNumber<std::uint64_t>(parts[1]).value_or(0) *
                     static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  }

  // Reads /proc/net/tcp, whose lines begin with number, local address, remote
  // address, state, and the bytes that are not sent and not read, all in
  // hexadecimal digits.
  std::uint64_t UnreadBytes() const {
    constexpr unsigned kListening = 10;
    std::istringstream lines(ReadFile("/proc/net/tcp"));
    std::string line;
    std::uint64_t sum = 0;
    while (std::getline(lines, line)) {
      unsigned port = 0;
      unsigned state = 0;
      unsigned unread = 0;
      if (std::sscanf(line.c_str(), " %*d: %*8x:%4x %*8x:%*4x %2x %*8x:%8x",
                      &port, &state, &unread) == 3 &&
          state != kListening &&
          std::find(ports.begin(), ports.end(), port) != ports.end()) {
        sum += unread;
      }
    }
    return sum;
  }

  std::size_t Descriptors() const {
    std::error_code ec;
    const std::filesystem::directory_iterator all(StrCat("/proc/", pid, "/fd"),
                                                  ec);
    return static_cast<std::size_t>(
        std::distance(begin(all), std::filesystem::directory_iterator()));
  }

  int pid = 0;
  std::vector<std::uint16_t> ports;
  std::uint64_t peak_bytes = 0;
  std::size_t peak_descriptors = 0;
  std::shared_ptr<int> alive = std::make_shared<int>();
};

ProcessWatch::ProcessWatch(Loop* loop,
                           int pid,
                           std::vector<std::uint16_t> ports)
    : impl_(std::make_unique<Impl>()) {
  impl_->pid = pid;
  impl_->ports = std::move(ports);
  impl_->Sample();
  RunEvery(loop, kSamplePeriod, impl_->alive,
           [impl = impl_.get()] { impl->Sample(); });
}
ProcessWatch::~ProcessWatch() = default;

std::uint64_t ProcessWatch::peak_bytes() const {
  return impl_->peak_bytes;
}
std::size_t ProcessWatch::peak_descriptors() const {
  return impl_->peak_descriptors;
}

}  // namespace acaciachute
