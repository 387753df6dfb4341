#include "transport/connect_probes.h"

#include <utility>

#include "transport/socket_stream.h"

namespace acaciachute {

class ConnectProbes::Probe : public SocketHandler {
 public:
  using DoneFn = std::function<void(ProbeOutcome outcome)>;

  explicit Probe(DoneFn done) : done_(std::move(done)) {}
  ~Probe() override {
    if (stream_ != nullptr) {
      stream_->Close();
    }
  }

  void Connect(SocketPoller* poller, const Address& address) {
    auto stream = SocketStream::Connect(poller, address, this);
    if (stream.ok()) {
      stream_ = *std::move(stream);
    } else {
      refused_at_once_ = absl::IsNotFound(stream.status());
      failed_at_once_ = true;
    }
  }
  bool failed_at_once() const { return failed_at_once_; }

  void OnConnected() override { End(ProbeOutcome::kAccepted); }
  void OnBytes(std::string_view) override {}
  void OnEnd(const char*) override {
    const bool refused =
        refused_at_once_ || (stream_ != nullptr && stream_->refused());
    End(refused ? ProbeOutcome::kRefused : ProbeOutcome::kUnknown);
  }
  void End(ProbeOutcome outcome) {
    if (done_) {
      std::exchange(done_, nullptr)(outcome);
    }
  }

 private:
  DoneFn done_;
  std::shared_ptr<SocketStream> stream_;
  bool refused_at_once_ = false;
  bool failed_at_once_ = false;
};

ConnectProbes::ConnectProbes(Loop* loop) : loop_(loop) {}
ConnectProbes::~ConnectProbes() = default;

void ConnectProbes::Start(const Address& address,
                          DurationUs timeout,
                          std::function<void(ProbeOutcome)> done) {
  const std::uint64_t id = next_id_++;
  auto& probe = probes_[id];
  probe = std::make_unique<Probe>(
      [this, id, done = std::move(done)](ProbeOutcome outcome) {
        // Deleted from the loop, as this may be a callback of its socket.
        loop_->AfterIfAlive(alive_, 0, [this, id] { probes_.erase(id); });
        done(outcome);
      });
  probe->Connect(loop_->sockets(), address);
  const DurationUs delay = probe->failed_at_once() ? 0 : timeout;
  loop_->AfterIfAlive(alive_, delay, [this, id] {
    if (const auto it = probes_.find(id); it != probes_.end()) {
      it->second->OnEnd(nullptr);
    }
  });
}

}  // namespace acaciachute
