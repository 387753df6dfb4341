#include "transport/http_channels.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "text.h"
#include "transport/loop.h"
#include "transport/socket_stream.h"

namespace acaciachute {
namespace {

// A connection whose other side does not say how long it keeps it.
constexpr DurationUs kDefaultKeep = 4 * kSecond;
// Used only up to this share of the time that the other side states: its clock
// started before the answer arrived here.
constexpr double kKeepShare = 0.7;
constexpr DurationUs kSweep = 250 * kMillisecond;

// The time stated in a Keep-Alive field, in whole seconds.
std::optional<DurationUs> StatedKeep(const HttpFields& fields) {
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
    sweep = loop->Every(kSweep, [this] { Sweep(); });
  }
  ~Impl() { loop->Cancel(sweep); }

  Channel* TakeIdle(const Address& address, DurationUs most_idle);
  void Remove(Channel* channel);
  void Sweep();

  Loop* const loop;
  Loop::TimerId sweep = 0;
  CallId next_id = 1;
  std::uint64_t opened = 0;
  absl::flat_hash_map<CallId, Channel*> calls;
  absl::flat_hash_map<Address, std::vector<Channel*>> idle;
  absl::flat_hash_map<Channel*, std::unique_ptr<Channel>> channels;
  const std::shared_ptr<const int> alive = std::make_shared<const int>();
};

// One connection, and the call that it carries.
class HttpChannels::Impl::Channel : public SocketHandler {
 public:
  Channel(Impl* owner, Address address)
      : owner_(owner), address_(std::move(address)) {}
  ~Channel() override {
    if (stream_ != nullptr) {
      stream_->Close();
    }
  }

  // The connection itself; a failure is reported from the loop like any other.
  void Open() {
    auto stream =
        SocketStream::Connect(owner_->loop->sockets(), address_, this);
    if (stream.ok()) {
      stream_ = *std::move(stream);
      return;
    }
    owner_->loop->AfterWhile(owner_->alive, 0,
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
    started_ = Loop::Now();
    connect_by_ = started_ + options.connect;
    end_by_ = options.total > 0 ? started_ + options.total : 0;
    most_kept_ = std::min(kMostIdle, options.most_kept.value_or(kMostIdle));
    to_head_ = request.method == "HEAD";
    reader_.emplace(to_head_);
    told_head_ = false;
    passing_over_ = false;
    HttpFields fields = request.fields;
    if (!request.body.empty() || request.method != "GET") {
      fields.push_back({"Content-Length", std::to_string(request.body.size())});
    }
    pending_ = WriteRequestHead(request.method, request.target, fields);
    pending_ += request.body;
    if (stream_ != nullptr && stream_->connected()) {
      SendPending();
    }
  }

  // Expired connections are looked for now and then; one that is made between
  // is too late as well: whoever chose the address may know better by now.
  void OnConnected() override {
    if (id_ != 0 && Loop::Now() > connect_by_) {
      Fail(CallFailureKind::kConnect, "no connection in time");
      return;
    }
    SendPending();
    if (sink_ != nullptr) {
      sink_->OnConnected(id_);
    }
  }

  void OnBytes(std::string_view bytes) override {
    if (id_ == 0) {
      owner_->Remove(this);  // Nobody asked for these.
      return;
    }
    in_ += bytes;
    // Callbacks may cancel the call, which removes this channel.
    Impl* owner = owner_;
    while (owner->channels.contains(this) && id_ != 0 && Step()) {
    }
  }

  void OnEnd(const char* error) override {
    if (id_ == 0) {
      owner_->Remove(this);
      return;
    }
    const bool in_order = error == nullptr;
    if (in_order && reader_->ReadEnd() == HttpAnswerReader::State::kDone &&
        !passing_over_) {
      broken_ = true;
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

  bool FreshEnough(TimeUs now, DurationUs most_idle) const {
    return now - idle_since_ <= std::min(most_idle, keep_);
  }

  // Ends what has taken too long; true when the channel is to be removed.
  bool Expired(TimeUs now) {
    if (id_ == 0) {
      return now - idle_since_ > keep_;
    }
    if (!sent_ && now > connect_by_) {
      Fail(CallFailureKind::kConnect, "no connection in time");
    } else if (end_by_ != 0 && now > end_by_) {
      Fail(CallFailureKind::kTimeout, "no answer in time");
    }
    return false;
  }

  const Address& address() const { return address_; }
  CallId id() const { return id_; }

 private:
  void SendPending() {
    if (pending_.empty()) {
      return;
    }
    sent_ = true;
    stream_->Write(pending_);
    pending_.clear();
  }

  // Reads on in what has arrived; true while there is more to do.
  bool Step() {
    const auto state = reader_->Read(&in_);
    if (state == HttpAnswerReader::State::kBad) {
      Fail(CallFailureKind::kBadAnswer, reader_->error());
      return false;
    }
    if (state == HttpAnswerReader::State::kHead) {
      return false;
    }
    if (!told_head_ && !passing_over_) {
      passing_over_ = OfAnotherRequest(reader_->head());
    }
    if (passing_over_) {
      return PassOver(state);
    }
    return Tell(state);
  }

  bool OfAnotherRequest(const HttpAnswerHead& head) const {
    if (!echo_) {
      return false;
    }
    const std::string* id = FindField(head.fields, echo_->name);
    return id != nullptr && *id != echo_->value;
  }

  bool PassOver(HttpAnswerReader::State state) {
    reader_->TakeBody();
    if (state != HttpAnswerReader::State::kDone) {
      return false;
    }
    passing_over_ = false;
    reader_.emplace(to_head_);
    return !in_.empty();
  }

  bool Tell(HttpAnswerReader::State state) {
    Impl* owner = owner_;
    const CallId id = id_;
    const auto still_ours = [&] {
      return owner->channels.contains(this) && id_ == id;
    };
    if (!told_head_) {
      told_head_ = true;
      sink_->OnAnswerHead(id, reader_->head());
      if (!still_ours()) {
        return false;
      }
    }
    const std::string body = reader_->TakeBody();
    if (!body.empty()) {
      sink_->OnAnswerBody(id, body);
      if (!still_ours()) {
        return false;
      }
    }
    if (state == HttpAnswerReader::State::kDone) {
      Finish();
    }
    return false;
  }

  // Keeps the connection when nothing is left over on either side.
  void Finish() {
    const CallId id = std::exchange(id_, 0);
    CallSink* sink = std::exchange(sink_, nullptr);
    Impl* owner = owner_;
    owner->calls.erase(id);
    const bool keep = !broken_ && reader_->head().keep_alive && in_.empty() &&
                      stream_->unsent() == 0;
    if (keep) {
      Keep();
    } else if (!broken_ && stream_->unsent() > 0 && in_.empty()) {
      // The other side answered before it read the whole request. It still
      // reads on, and the rest of the body is due on this connection.
      closing_ = true;
      stream_->FinishWriting();
      idle_since_ = Loop::Now();
    } else {
      owner->Remove(this);
    }
    sink->OnAnswerEnd(id);
  }

  void Keep() {
    idle_since_ = Loop::Now();
    const auto stated = StatedKeep(reader_->head().fields);
    keep_ =
        stated
            ? static_cast<DurationUs>(kKeepShare * static_cast<double>(*stated))
            : kDefaultKeep;
    stream_->SetReading(true);
    auto& idle = owner_->idle[address_];
    if (keep_ == 0 || idle.size() >= most_kept_) {
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
    owner->Remove(this);  // `this` is gone.
    if (sink != nullptr) {
      sink->OnCallFailed(id, failure);
    }
  }

  Impl* const owner_;
  const Address address_;
  std::shared_ptr<SocketStream> stream_;
  std::optional<HttpAnswerReader> reader_;
  std::string in_;
  std::string pending_;  // Until the connection is made.
  CallId id_ = 0;        // Zero: idle.
  CallSink* sink_ = nullptr;
  std::optional<HttpField> echo_;
  TimeUs started_ = 0;
  TimeUs connect_by_ = 0;
  TimeUs end_by_ = 0;
  TimeUs idle_since_ = 0;
  DurationUs keep_ = kDefaultKeep;
  std::size_t most_kept_ = kMostIdle;
  bool sent_ = false;  // Any byte of the present request.
  bool to_head_ = false;
  bool told_head_ = false;
  bool passing_over_ = false;
  bool broken_ = false;
  bool closing_ = false;

  friend struct HttpChannels::Impl;
};

HttpChannels::Impl::Channel* HttpChannels::Impl::TakeIdle(
    const Address& address,
    DurationUs most_idle) {
  const auto it = idle.find(address);
  if (it == idle.end() || it->second.empty()) {
    return nullptr;
  }
  // The one used last is the least likely to have been closed meanwhile.
  Channel* channel = it->second.back();
  if (!channel->FreshEnough(Loop::Now(), most_idle)) {
    // All others have been idle for longer. The new connection takes the place
    // of the oldest, or requests that need a fresh one would leave a trail of
    // idle ones until the replica takes no more.
    Remove(it->second.front());
    return nullptr;
  }
  it->second.pop_back();
  channel->sent_ = false;
  return channel;
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
  channels.erase(channel);
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
  Impl::Channel* channel = impl_->TakeIdle(address, options.most_idle);
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

void HttpChannels::SetReading(CallId id, bool reading) {
  const auto it = impl_->calls.find(id);
  if (it != impl_->calls.end()) {
    it->second->SetReading(reading);
  }
}

void HttpChannels::DropIdle(const Address& address) {
  const auto it = impl_->idle.find(address);
  if (it == impl_->idle.end()) {
    return;
  }
  const std::vector<Impl::Channel*> gone = it->second;
  for (Impl::Channel* channel : gone) {
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
