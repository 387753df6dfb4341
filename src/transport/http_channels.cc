#include "transport/http_channels.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/hash/hash.h"
#include "text.h"
#include "transport/loop.h"
#include "transport/socket_stream.h"

namespace acaciachute {
namespace {

// How long an idle connection is kept when the server states no Keep-Alive
// timeout.
constexpr DurationUs kDefaultIdleTimeout = 4 * kSecond;
// An idle connection is used for this share of the Keep-Alive timeout that the
// server states, because the server's timer started before the answer arrived
// here.
constexpr double kIdleTimeoutShare = 0.7;
constexpr DurationUs kSweepPeriod = 250 * kMillisecond;

// Returns the `timeout` parameter of the Keep-Alive field, which is in whole
// seconds.
std::optional<DurationUs> StatedIdleTimeout(const HttpFields& fields) {
  const std::string* field = FindField(fields, "keep-alive");
  if (field == nullptr) {
    return std::nullopt;
  }
  constexpr std::string_view kName = "timeout=";
  const auto at = field->find(kName);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const char* first = field->data() + at + kName.size();
  const auto end =
      std::from_chars(first, field->data() + field->size(), seconds);
  if (end.ec != std::errc()) {
    return std::nullopt;
  }
  return seconds * kSecond;
}

}  // namespace

struct HttpChannels::Impl {
  class Channel;

  explicit Impl(Loop* loop_in) : loop(loop_in) {
    sweep = loop->Every(kSweepPeriod, [this] { Sweep(); });
  }
  ~Impl() { loop->Cancel(sweep); }

  Channel* TakeIdle(const Address& address,
                    const ChannelRequest& request,
                    DurationUs max_idle_time);
  void Remove(Channel* channel);
  void Notify(const ChannelEvent& event) const;
  void Sweep();

  Loop* const loop;
  Loop::TimerId sweep = 0;
  CallId next_id = 1;
  std::uint64_t opened = 0;
  absl::flat_hash_map<CallId, Channel*> calls;
  absl::flat_hash_map<Address, std::vector<Channel*>> idle;
  absl::flat_hash_map<Channel*, std::unique_ptr<Channel>> channels;
  absl::flat_hash_map<Address, std::size_t> connected;  // Connections.
  std::function<void(const Address&)> lost;
  std::function<void(const ChannelEvent&)> on_event;
  std::function<void(const Address&)> first;
  const std::shared_ptr<const int> alive = std::make_shared<const int>();
};

// One connection and the call in progress on it, if any.
class HttpChannels::Impl::Channel : public SocketHandler {
 public:
  Channel(Impl* owner, Address address)
      : owner_(owner), address_(std::move(address)) {}
  ~Channel() override {
    if (stream_ != nullptr) {
      stream_->Close();
    }
  }

  // Starts to connect. A failure is reported from the loop, as all others are.
  void Open() {
    auto stream =
        SocketStream::Connect(owner_->loop->sockets(), address_, this);
    if (stream.ok()) {
      stream_ = *std::move(stream);
      return;
    }
    owner_->loop->AfterIfAlive(owner_->alive, 0,
                               [owner = owner_, self = this,
                                why = std::string(stream.status().message())] {
                                 if (owner->channels.contains(self)) {
                                   self->Fail(CallFailureKind::kConnect, why);
                                 }
                               });
  }

  void Begin(CallId id,
             const ChannelRequest& request,
             const ChannelOptions& options,
             CallSink* sink) {
    id_ = id;
    sink_ = sink;
    echo_ = request.echo;
    alike_ = request.alike;
    ++calls_;
    if (echo_) {
      carried_.push_back(absl::HashOf(echo_->value));
    }
    started_ = Loop::Now();
    connect_deadline_ = started_ + options.connect;
    answer_deadline_ = options.total > 0 ? started_ + options.total : 0;
    progress_timeout_ = options.progress;
    max_kept_ = std::min(kMaxIdlePerAddress,
                         options.max_kept.value_or(kMaxIdlePerAddress));
    max_body_bytes_ = options.max_body_bytes;
    body_bytes_ = 0;
    foreign_answers_ = 0;
    foreign_bytes_ = 0;
    is_own_named_ = false;
    is_head_request_ = request.method == "HEAD";
    reader_.emplace(is_head_request_);
    head_delivered_ = false;
    discarding_ = false;
    HttpFields fields = request.fields;
    if (!request.body.empty() || request.method != "GET") {
      fields.push_back({"Content-Length", std::to_string(request.body.size())});
    }
    unsent_head_ = WriteRequestHead(request.method, request.target, fields);
    unsent_body_ = request.body;
    if (stream_ != nullptr && stream_->connected()) {
      SendPending();
    }
  }

  // `Sweep` checks the deadlines only every `kSweepPeriod`. A connection that
  // is established after its deadline but before the next sweep is rejected
  // here: the caller may prefer another address by now.
  void OnConnected() override {
    connected_ = true;
    const bool is_first = ++owner_->connected[address_] == 1;
    if (id_ != 0 && Loop::Now() > connect_deadline_) {
      Fail(CallFailureKind::kConnect, "no connection in time");
      return;
    }
    SendPending();
    if (is_first && owner_->first) {
      owner_->first(address_);
    }
    if (sink_ != nullptr) {
      sink_->OnConnected(id_);
    }
  }

  void OnBytes(std::string_view bytes) override {
    if (id_ == 0) {
      Impl* owner = owner_;
      const ChannelEvent event = {ChannelEvent::Kind::kUnaskedBytes, address_,
                                  "", ""};
      owner->Remove(this);  // `this` is deleted.
      owner->Notify(event);
      return;
    }
    if (answer_deadline_ != 0 && progress_timeout_ != 0) {
      answer_deadline_ =
          std::max(answer_deadline_, Loop::Now() + progress_timeout_);
    }
    input_ += bytes;
    // Callbacks may cancel the call, which removes this channel.
    Impl* owner = owner_;
    while (owner->channels.contains(this) && id_ != 0 && Step()) {
    }
  }

  void OnEnd(const char* error) override {
    ended_by_peer_ = true;
    if (id_ == 0) {
      owner_->Remove(this);
      return;
    }
    const bool in_order = error == nullptr;
    if (in_order && reader_->ReadEnd() == HttpAnswerReader::State::kDone &&
        !discarding_) {
      ended_by_peer_ = false;  // As its answer said.
      closed_by_peer_ = true;
      Finish();
      return;
    }
    Fail(sent_ ? CallFailureKind::kBroken : CallFailureKind::kConnect,
         in_order ? "the connection ended before the answer" : error);
  }

  void SetReading(bool reading) {
    if (stream_ != nullptr) {
      stream_->SetReading(reading);
    }
  }

  // Whether no answer to an earlier call on this connection can be taken for
  // the one to this request, or none that says anything else.
  bool MayCarry(const ChannelRequest& request) const {
    if (request.alike != alike_) {
      return false;
    }
    return request.echo
               ? std::find(carried_.begin(), carried_.end(),
                           absl::HashOf(request.echo->value)) == carried_.end()
               : !alike_.empty();
  }

  bool IsFresh(TimeUs now, DurationUs max_idle_time) const {
    return now - idle_since_ <= std::min(max_idle_time, idle_timeout_);
  }

  // Fails the call if a deadline has passed. Returns true if the idle
  // connection has expired and is to be removed.
  bool Expired(TimeUs now) {
    if (id_ == 0) {
      return now - idle_since_ > idle_timeout_;
    }
    if (!sent_ && now > connect_deadline_) {
      Fail(CallFailureKind::kConnect, "no connection in time");
    } else if (answer_deadline_ != 0 && now > answer_deadline_) {
      Fail(CallFailureKind::kTimeout, "no answer in time");
    }
    return false;
  }

  const Address& address() const { return address_; }
  CallId id() const { return id_; }
  bool connected() const { return connected_; }
  bool ended_by_peer() const { return ended_by_peer_; }
  bool sent() const { return sent_; }

 private:
  void SendPending() {
    if (unsent_head_.empty()) {
      return;
    }
    sent_ = true;
    // The head goes first, with a short body in the same packet.
    stream_->Write(std::exchange(unsent_head_, {}),
                   std::exchange(unsent_body_, {}));
  }

  // Parses the bytes received so far. Returns true if more can be parsed at
  // once.
  bool Step() {
    const std::size_t before = input_.size();
    const auto state = reader_->Read(&input_);
    const std::size_t consumed = before - input_.size();
    if (state == HttpAnswerReader::State::kBad) {
      Fail(CallFailureKind::kBadAnswer, reader_->error());
      return false;
    }
    if (state == HttpAnswerReader::State::kHead) {
      return false;
    }
    if (!head_delivered_ && !discarding_ && !TakeHead(reader_->head())) {
      return false;
    }
    if (discarding_) {
      return DiscardAnswer(state, consumed);
    }
    return Deliver(state);
  }

  // Finds out whether the answer belongs to this call. Returns false if the
  // call has failed.
  bool TakeHead(const HttpAnswerHead& head) {
    if (!echo_) {
      return true;  // The only call on its connection, or one of many alike.
    }
    const std::string* id = FindField(head.fields, echo_->name);
    is_own_named_ = id != nullptr && *id == echo_->value;
    discarding_ = id != nullptr && !is_own_named_;
    if (discarding_) {
      owner_->Notify(
          {ChannelEvent::Kind::kForeignAnswer, address_, echo_->value, *id});
      if (++foreign_answers_ > kMaxForeignAnswers) {
        Fail(CallFailureKind::kBadAnswer, "too many other answers");
        return false;
      }
    } else if (id == nullptr && calls_ > 1) {
      Fail(CallFailureKind::kBadAnswer,
           "an answer without an id on a connection that was used before");
      return false;
    }
    return true;
  }

  bool DiscardAnswer(HttpAnswerReader::State state, std::size_t consumed) {
    reader_->TakeBody();
    foreign_bytes_ += consumed;
    if (foreign_bytes_ > kMaxForeignBytes) {
      Fail(CallFailureKind::kBadAnswer, "too many bytes of other answers");
      return false;
    }
    if (state != HttpAnswerReader::State::kDone) {
      return false;
    }
    discarding_ = false;
    reader_.emplace(is_head_request_);
    return !input_.empty();
  }

  bool Deliver(HttpAnswerReader::State state) {
    Impl* owner = owner_;
    const CallId id = id_;
    const auto still_running = [&] {
      return owner->channels.contains(this) && id_ == id;
    };
    if (!head_delivered_) {
      head_delivered_ = true;
      sink_->OnAnswerHead(id, reader_->head());
      if (!still_running()) {
        return false;
      }
    }
    const std::string body = reader_->TakeBody();
    body_bytes_ += body.size();
    if (max_body_bytes_ != kUnlimitedBodyBytes &&
        body_bytes_ > max_body_bytes_) {
      Fail(CallFailureKind::kBadAnswer, "the answer is too long");
      return false;
    }
    if (!body.empty()) {
      sink_->OnAnswerBody(id, body);
      if (!still_running()) {
        return false;
      }
    }
    if (state == HttpAnswerReader::State::kDone) {
      Finish();
    }
    return false;
  }

  // Ends the call. The connection is kept for reuse if neither side has unread
  // or unsent bytes of this call, and a second copy of its answer could be told
  // from the next one.
  void Finish() {
    const CallId id = std::exchange(id_, 0);
    CallSink* sink = std::exchange(sink_, nullptr);
    const AnswerEnd end = reader_->end();
    Impl* owner = owner_;
    owner->calls.erase(id);
    const bool keep = (is_own_named_ || !alike_.empty()) &&
                      calls_ < kMaxCallsPerConnection && !closed_by_peer_ &&
                      reader_->head().keep_alive && input_.empty() &&
                      stream_->unsent() == 0;
    if (keep) {
      KeepIdle();
    } else if (!closed_by_peer_ && stream_->unsent() > 0 && input_.empty()) {
      // The server answered before it had read the whole request. It may still
      // read, so the rest of the body is sent before the connection is closed.
      stream_->FinishWriting();
      idle_since_ = Loop::Now();
    } else {
      owner->Remove(this);
    }
    sink->OnAnswerEnd(id, end);
  }

  void KeepIdle() {
    idle_since_ = Loop::Now();
    const auto stated = StatedIdleTimeout(reader_->head().fields);
    idle_timeout_ = stated
                        ? static_cast<DurationUs>(kIdleTimeoutShare *
                                                  static_cast<double>(*stated))
                        : kDefaultIdleTimeout;
    stream_->SetReading(true);
    auto& idle = owner_->idle[address_];
    if (idle_timeout_ == 0 || idle.size() >= max_kept_) {
      owner_->Remove(this);
      return;
    }
    idle.push_back(this);
  }

  void Fail(CallFailureKind kind, std::string reason) {
    const CallFailure failure = {kind, sent_, std::move(reason)};
    const CallId id = std::exchange(id_, 0);
    CallSink* sink = std::exchange(sink_, nullptr);
    Impl* owner = owner_;
    owner->calls.erase(id);
    owner->Remove(this);  // `this` is deleted.
    if (sink != nullptr) {
      sink->OnCallFailed(id, failure);
    }
  }

  Impl* const owner_;
  const Address address_;
  std::shared_ptr<SocketStream> stream_;
  std::optional<HttpAnswerReader> reader_;
  std::string input_;
  std::string unsent_head_;  // With the body, held until connected.
  SharedBytes unsent_body_;
  CallId id_ = 0;  // Zero while the connection is idle.
  CallSink* sink_ = nullptr;
  std::optional<HttpField> echo_;
  std::string alike_;                 // See `ChannelRequest`; of all calls.
  std::size_t calls_ = 0;             // On this connection.
  std::vector<std::size_t> carried_;  // Hashes of the ids of its calls.
  std::size_t max_body_bytes_ = kUnlimitedBodyBytes;
  std::size_t body_bytes_ = 0;  // Of the call's answer.
  // Discarded during the call.
  std::size_t foreign_answers_ = 0;
  std::size_t foreign_bytes_ = 0;
  bool is_own_named_ = false;  // The call's answer carries its id.
  TimeUs started_ = 0;
  TimeUs connect_deadline_ = 0;
  TimeUs answer_deadline_ = 0;
  DurationUs progress_timeout_ = 0;
  TimeUs idle_since_ = 0;
  DurationUs idle_timeout_ = kDefaultIdleTimeout;
  std::size_t max_kept_ = kMaxIdlePerAddress;
  bool sent_ = false;  // Whether a byte of the current request was sent.
  bool is_head_request_ = false;
  bool head_delivered_ = false;
  bool discarding_ = false;
  bool closed_by_peer_ = false;
  bool connected_ = false;
  bool ended_by_peer_ = false;  // And not as part of an answer.

  friend struct HttpChannels::Impl;
};

HttpChannels::Impl::Channel* HttpChannels::Impl::TakeIdle(
    const Address& address,
    const ChannelRequest& request,
    DurationUs max_idle_time) {
  const auto of_address = idle.find(address);
  if (of_address == idle.end() || of_address->second.empty()) {
    return nullptr;
  }
  std::vector<Channel*>& all = of_address->second;
  // The most recently used connection is the least likely to have been closed
  // by the server.
  for (auto it = all.rbegin(); it != all.rend(); ++it) {
    Channel* channel = *it;
    if (!channel->IsFresh(Loop::Now(), max_idle_time)) {
      // All others have been idle for longer. The oldest is closed in exchange
      // for the new connection; otherwise each request that needs a fresh
      // connection would add an idle one, until the replica refuses further
      // connections.
      Remove(all.front());
      return nullptr;
    }
    if (channel->MayCarry(request)) {
      all.erase(std::next(it).base());
      channel->sent_ = false;
      return channel;
    }
  }
  return nullptr;
}

void HttpChannels::Impl::Notify(const ChannelEvent& event) const {
  if (on_event) {
    on_event(event);
  }
}

void HttpChannels::Impl::Remove(Channel* channel) {
  const auto it = idle.find(channel->address());
  if (it != idle.end()) {
    std::erase(it->second, channel);
    if (it->second.empty()) {
      idle.erase(it);
    }
  }
  calls.erase(channel->id());
  // NOLINTNEXTLINE(performance-unnecessary-copy-initialization): outlives it.
  const Address address = channel->address();
  if (channel->connected() && --connected[address] == 0) {
    connected.erase(address);
  }
  const bool is_lost = channel->ended_by_peer() && !connected.contains(address);
  channels.erase(channel);
  if (is_lost && lost) {
    lost(address);
  }
}

void HttpChannels::Impl::Sweep() {
  const TimeUs now = Loop::Now();
  std::vector<Channel*> all;
  all.reserve(channels.size());
  for (const auto& [key, channel] : channels) {
    all.push_back(key);
  }
  for (Channel* it : all) {
    if (channels.contains(it) && it->Expired(now)) {
      Remove(it);
    }
  }
}

HttpChannels::HttpChannels(Loop* loop) : impl_(std::make_unique<Impl>(loop)) {}
HttpChannels::~HttpChannels() = default;

CallId HttpChannels::Start(const Address& address,
                           const ChannelRequest& request,
                           const ChannelOptions& options,
                           CallSink* sink) {
  const CallId id = impl_->next_id++;
  Impl::Channel* channel =
      impl_->TakeIdle(address, request, options.max_idle_time);
  if (channel == nullptr) {
    auto made = std::make_unique<Impl::Channel>(impl_.get(), address);
    channel = made.get();
    impl_->channels.emplace(channel, std::move(made));
    ++impl_->opened;
    channel->Open();
  }
  impl_->calls[id] = channel;
  channel->Begin(id, request, options, sink);
  return id;
}

void HttpChannels::Cancel(CallId id) {
  const auto it = impl_->calls.find(id);
  if (it != impl_->calls.end()) {
    impl_->Remove(it->second);
  }
}

bool HttpChannels::CancelIfUnsent(CallId id) {
  const auto it = impl_->calls.find(id);
  if (it == impl_->calls.end() || it->second->sent()) {
    return false;
  }
  impl_->Remove(it->second);
  return true;
}

void HttpChannels::SetReading(CallId id, bool reading) {
  const auto it = impl_->calls.find(id);
  if (it != impl_->calls.end()) {
    it->second->SetReading(reading);
  }
}

void HttpChannels::SetEventHandler(
    std::function<void(const ChannelEvent&)> handle) {
  impl_->on_event = std::move(handle);
}

void HttpChannels::SetLostHandler(std::function<void(const Address&)> lost) {
  impl_->lost = std::move(lost);
}

void HttpChannels::SetFirstHandler(std::function<void(const Address&)> first) {
  impl_->first = std::move(first);
}

void HttpChannels::DropIdle(const Address& address) {
  const auto it = impl_->idle.find(address);
  if (it == impl_->idle.end()) {
    return;
  }
  const std::vector<Impl::Channel*> idle_channels = it->second;
  for (Impl::Channel* channel : idle_channels) {
    impl_->Remove(channel);
  }
}

std::size_t HttpChannels::open() const {
  return impl_->channels.size();
}
std::uint64_t HttpChannels::opened() const {
  return impl_->opened;
}

}  // namespace acaciachute
