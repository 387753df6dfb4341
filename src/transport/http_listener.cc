#include "transport/http_listener.h"

#include <gio/gio.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "text.h"
#include "transport/glib_ptr.h"
#include "transport/listen_options.h"
#include "transport/loop.h"
#include "transport/socket_stream.h"

namespace acaciachute {
namespace {

// How long a connection that is being closed, and whose last answer is with the
// kernel, still reads and discards what its client sends. Closing a socket with
// unread bytes resets the connection, which could destroy the last answer
// before the client reads it.
constexpr DurationUs kLingerTimeout = kSecond;
// Maximum number of bytes buffered behind a request in progress.
constexpr std::size_t kMaxPipelinedBytes = 16 << 10;
// Maximum number of connections accepted before others are served.
constexpr int kMaxAcceptsPerTurn = 64;
// How often the time limits are checked; the limits are seconds long.
constexpr DurationUs kSweepPeriod = 250 * kMillisecond;

constexpr int kHttpUnavailable = 503;

std::size_t BytesOf(const HttpRequestHead& head) {
  std::size_t bytes = head.target.size();
  for (const HttpField& it : head.fields) {
    bytes += sizeof it + it.name.size() + it.value.size();
  }
  return bytes;
}

bool HasNoBody(int status) {
  return status == 204 || status == 304;
}

}  // namespace

struct HttpListener::Impl {
  class Connection;

  Impl(ListenerHandler* handler_in, Loop* loop_in, ClientMemory* shared)
      : handler(handler_in),
        loop(loop_in),
        own_memory(limits.buffered_bytes),
        memory(shared == nullptr ? &own_memory : shared) {}
  ~Impl() {
    loop->Cancel(sweep);
    if (accept_source != nullptr) {
      g_source_destroy(accept_source);
      g_source_unref(accept_source);
    }
  }

  static gboolean OnAccept(GSocket*, GIOCondition, gpointer data);
  // Accepts a connection; returns false if none waits.
  bool Accept();
  // Closes the connection that makes least of its place; returns false if all
  // are in use.
  bool MakePlace();
  void Sweep();
  void Remove(Connection* connection);
  Connection* Find(ExchangeId id) const {
    const auto it = exchanges.find(id);
    return it == exchanges.end() ? nullptr : it->second;
  }

  ListenerHandler* const handler;
  Loop* const loop;
  ListenerLimits limits;
  std::string echo_field;
  GPtr<GSocket> socket;
  GSource* accept_source = nullptr;
  Loop::TimerId sweep = 0;
  bool draining = false;
  ClientMemory own_memory;
  ClientMemory* const memory;
  ExchangeId next_id = 1;
  absl::flat_hash_map<ExchangeId, Connection*> exchanges;
  absl::flat_hash_map<Connection*, std::unique_ptr<Connection>> connections;
  const std::shared_ptr<const int> alive = std::make_shared<const int>();
};

class HttpListener::Impl::Connection : public SocketHandler,
                                       public MemoryHolder {
 public:
  Connection(Impl* owner, GPtr<GSocket> socket)
      : owner_(owner),
        reader_(owner->limits.read),
        idle_since_(Loop::Now()),
        stream_(SocketStream::Accepted(owner->loop->sockets(),
                                       std::move(socket),
                                       this)) {
    owner_->memory->Add(this, idle_since_);
  }
  ~Connection() override {
    owner_->memory->Remove(this);
    if (id_ != 0) {
      owner_->exchanges.erase(id_);
    }
    stream_->Close();
  }

  void OnBytes(std::string_view bytes) override {
    if (closing_ || discards_input_) {
      discarded_at_ = Loop::Now();
      return;  // See `kLingerTimeout` and `DropPipeline`.
    }
    input_ += bytes;
    if (!Receives()) {
      // Reading continues while a request is in progress, to detect that the
      // client closes the connection.
      if (input_.size() > kMaxPipelinedBytes) {
        SetReading(false);
      }
      CountHeld();
      return;
    }
    CountProgress(bytes.size());
    ReadNext();
  }

  void OnEnd(const char* error) override {
    const ExchangeId id = id_;
    ListenerHandler* handler = owner_->handler;
    owner_->Remove(this);  // `this` is deleted.
    if (id != 0) {
      handler->OnClientDisconnected(id);
    }
  }

  void OnFlushed() override {
    if (closing_) {
      closing_since_ = Loop::Now();
    }
    idle_since_ = Loop::Now();
    ClientMemory::OnProgress(this, idle_since_);
    CountHeld();
    if (id_ != 0) {
      owner_->handler->OnWritten(id_);
    } else if (!closing_) {
      SetReading(true);
      ReadNext();
    }
  }

  GaveWay GiveWay() override {
    if (unsent() > held_ / 2 || (id_ == 0 && unsent() > 0)) {
      ResetUnread();
      return GaveWay::kAnswerReset;  // `this` is deleted.
    }
    if (id_ != 0) {
      return !input_.empty() || !reads_ ? DropPipeline() : FreeRequest();
    }
    if (reading_since_ == 0) {
      return GaveWay::kNothing;
    }
    Refuse(kHttpUnavailable, "memory is short, and others make more of it");
    return GaveWay::kRefused;
  }

  // Whether the connection could be closed without breaking off a request or
  // an answer, and how much others need its place less, highest first.
  std::optional<std::pair<int, DurationUs>> Dispensable(TimeUs now) const {
    if (id_ != 0 || unsent() > 0) {
      return std::nullopt;
    }
    constexpr int kClosing = 2;
    constexpr int kNeverServed = 1;
    constexpr int kIdle = 0;
    const int rank = closing_ ? kClosing : served_ == 0 ? kNeverServed : kIdle;
    return std::pair(rank, ClientMemory::Stalled(*this, now));
  }

  AnswerEnd Reply(int status,
                  HttpFields fields,
                  const SharedBytes& body,
                  AnswerEnd end) {
    const bool no_body = head_request_ || HasNoBody(status);
    const bool ends_by_close = !no_body && !StatesComplete(end);
    if (!ends_by_close && !no_body) {
      fields.push_back({"Content-Length", std::to_string(body.size())});
    }
    const bool close = AddConnectionField(&fields, ends_by_close);
    stream_->SetResetOnClose(ends_by_close);
    stream_->Write(WriteAnswerHead(status, ReasonOf(status), fields),
                   head_request_ ? SharedBytes() : body);
    EndExchange(close);
    return no_body         ? AnswerEnd::kNoBody
           : ends_by_close ? AnswerEnd::kClosed
                           : AnswerEnd::kLength;
  }

  AnswerEnd BeginStream(int status, HttpFields fields, AnswerEnd expected_end) {
    chunked_ = chunked_ && StatesComplete(expected_end);
    close_after_ = AddConnectionField(&fields, !chunked_);
    stream_->SetResetOnClose(!chunked_);
    if (chunked_) {
      fields.push_back({"Transfer-Encoding", "chunked"});
    }
    stream_->Write(WriteAnswerHead(status, ReasonOf(status), fields));
    return chunked_ ? AnswerEnd::kLastChunk : AnswerEnd::kClosed;
  }

  void StreamData(std::string_view bytes) {
    if (!bytes.empty()) {
      stream_->Write(chunked_ ? WriteChunk(bytes) : std::string(bytes));
      CountHeld();
    }
  }

  void SetCollected(std::size_t bytes) {
    collected_bytes_ = bytes;
    CountHeld();
  }

  // Whether the stream may end as it would if it were complete.
  bool MayEnd(AnswerEnd end) const {
    return chunked_ ? StatesComplete(end) : end != AnswerEnd::kBroken;
  }

  AnswerEnd EndStream() {
    if (chunked_) {
      stream_->Write(kLastChunk);
    }
    EndExchange(close_after_);
    return chunked_ ? AnswerEnd::kLastChunk : AnswerEnd::kClosed;
  }

  void Break() { stream_->Abort(); }

  std::size_t unsent() const { return stream_->unsent(); }

  bool idle() const {
    return id_ == 0 && !closing_ && reading_since_ == 0 && input_.empty() &&
           unsent() == 0;
  }

  // Whether a time limit of the connection has passed. Refuses a request that
  // was not sent in time.
  bool Expired(TimeUs now) {
    if (unsent() > 0) {
      CountSent(now);
    }
    if (closing_) {
      return unsent() > 0 ? now - closing_since_ > owner_->limits.idle
                          : HasLingered(now);
    }
    if (id_ != 0) {
      return false;
    }
    if (reading_since_ != 0 &&
        now - reading_since_ > owner_->limits.request_time) {
      Refuse(408, "the request was not sent in time");
      return false;
    }
    // A client that reads slowly is not idle, and one that does not read at all
    // loses its connection by `SocketStream::kPeerTimeout`.
    return reading_since_ == 0 && unsent() == 0 &&
           now - idle_since_ > owner_->limits.idle;
  }

 private:
  // Whether bytes that arrive are parsed at once. No request is taken before
  // the last answer is with the kernel, or a client that reads none would add
  // one with each request.
  bool Receives() const { return id_ == 0 && unsent() == 0; }

  void SetReading(bool reading) {
    reads_ = reading;
    stream_->SetReading(reading);
  }

  // An assignment would keep the memory.
  void FreeInput() { std::string().swap(input_); }

  // The kernel's buffer counts as full while nothing is read from it.
  void CountHeld() {
    held_ = input_.size() + reader_.body_bytes() + head_bytes_ + body_bytes_ +
            collected_bytes_ + unsent() +
            (reads_ ? 0 : detail::kReceiveBufferBytes);
    owner_->memory->SetHeld(this, held_);
  }

  void CountProgress(std::size_t bytes) {
    progress_bytes_ += bytes;
    if (progress_bytes_ >= ClientMemory::kProgressBytes) {
      progress_bytes_ = 0;
      ClientMemory::OnProgress(this, Loop::Now());
    }
  }

  // Sending in parts is seen here only, as `OnFlushed` tells of its end.
  void CountSent(TimeUs now) {
    if (unsent() + ClientMemory::kProgressBytes <= last_unsent_) {
      ClientMemory::OnProgress(this, now);
    }
    last_unsent_ = unsent();
    CountHeld();
  }

  // A refusal is lost if its client still sends when the connection is closed.
  bool HasLingered(TimeUs now) const {
    return now - std::max(closing_since_, discarded_at_) > kLingerTimeout ||
           now - closing_since_ > owner_->limits.request_time;
  }

  void ReadNext() {
    if (input_.empty()) {
      return;
    }
    if (reading_since_ == 0) {
      reading_since_ = Loop::Now();
      ClientMemory::OnProgress(this, reading_since_);
    }
    const auto state = reader_.Read(&input_);
    if (input_.empty()) {
      FreeInput();
    }
    CountHeld();
    // What is above the limit goes before more is taken, this one perhaps.
    if (state < HttpRequestReader::State::kDone && owner_->memory->IsShort()) {
      Impl* owner = owner_;
      owner->memory->Relieve(Loop::Now());
      if (!owner->connections.contains(this) || closing_) {
        return;
      }
    }
    if (state == HttpRequestReader::State::kBad) {
      Refuse(reader_.error_status(), reader_.error());
    } else if (state == HttpRequestReader::State::kBody) {
      OnPartOfBody();
    } else if (state == HttpRequestReader::State::kDone) {
      Deliver();
    }
  }

  void OnPartOfBody() {
    if (reader_.head().expects_continue && !continued_) {
      continued_ = true;
      stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void Deliver() {
    HttpRequestHead head = reader_.TakeHead();
    std::string body = reader_.TakeBody();
    keep_alive_ = head.keep_alive;
    chunked_ = head.chunked_answer;
    head_request_ = head.method == "HEAD";
    echo_ = EchoOf(head);
    continued_ = false;
    reading_since_ = 0;
    progress_bytes_ = 0;
    ++served_;
    head_bytes_ = BytesOf(head);
    body_bytes_ = body.size();
    reader_.Reset(owner_->limits.read);
    CountHeld();
    id_ = owner_->next_id++;
    owner_->exchanges[id_] = this;
    owner_->handler->OnRequest(id_, std::move(head), std::move(body));
  }

  // Adds the fields that concern the connection and the call. Returns whether
  // the connection is closed after this answer.
  bool AddConnectionField(HttpFields* fields, bool ends_by_close) const {
    const bool close = ends_by_close || owner_->draining || !keep_alive_;
    fields->push_back({"Connection", close ? "close" : "keep-alive"});
    if (echo_ && FindField(*fields, echo_->name) == nullptr) {
      fields->push_back(*echo_);
    }
    return close;
  }

  void EndExchange(bool close) {
    owner_->exchanges.erase(id_);
    id_ = 0;
    head_bytes_ = 0;
    body_bytes_ = 0;
    collected_bytes_ = 0;
    idle_since_ = Loop::Now();
    last_unsent_ = unsent();
    ClientMemory::OnProgress(this, idle_since_);
    if (close) {
      FinishAndLinger();
      return;
    }
    if (unsent() > 0) {
      CountHeld();
      return;  // `OnFlushed` goes on.
    }
    SetReading(true);
    CountHeld();
    // Continues from the loop: the handler must not receive the next request
    // while it is still inside the call that answered this one.
    if (!input_.empty()) {
      owner_->loop->AfterIfAlive(owner_->alive, 0,
                                 [owner = owner_, self = this] {
                                   if (owner->connections.contains(self) &&
                                       self->id_ == 0 && !self->closing_) {
                                     self->ReadNext();
                                   }
                                 });
    }
  }

  void FinishAndLinger() {
    closing_ = true;
    closing_since_ = Loop::Now();
    reading_since_ = 0;
    FreeInput();
    reader_.Reset(owner_->limits.read);
    SetReading(true);
    CountHeld();
    stream_->FinishWriting();
  }

  std::optional<HttpField> EchoOf(const HttpRequestHead& head) const {
    const std::string* value = FindField(head.fields, owner_->echo_field);
    return value == nullptr
               ? std::nullopt
               : std::optional(HttpField{owner_->echo_field, *value});
  }

  void Refuse(int status, const std::string& reason) {
    echo_ = EchoOf(reader_.head());
    owner_->handler->OnListenerEvent(
        {"refused", status, reason, echo_ ? echo_->value : std::string()});
    keep_alive_ = false;
    ListenerRefusal refusal = owner_->handler->WriteRefusal(status, reason);
    refusal.fields.push_back(
        {"Content-Length", std::to_string(refusal.body.size())});
    AddConnectionField(&refusal.fields, true);
    stream_->Write(WriteAnswerHead(status, ReasonOf(status), refusal.fields) +
                   refusal.body);
    FinishAndLinger();
  }

  void Report(const char* what) const {
    owner_->handler->OnListenerEvent(
        {what, 0, "memory is short", echo_ ? echo_->value : std::string()});
  }

  // The client knows from the reset that its answer is incomplete.
  void ResetUnread() {
    const ExchangeId id = id_;
    ListenerHandler* handler = owner_->handler;
    Report("answer_reset");
    stream_->Abort();
    owner_->Remove(this);  // `this` is deleted.
    if (id != 0) {
      handler->OnClientDisconnected(id);
    }
  }

  // The requests behind the one in progress are not read; the connection is
  // closed after its answer, so that their client knows.
  GaveWay DropPipeline() {
    Report("pipeline_dropped");
    keep_alive_ = false;
    close_after_ = true;
    discards_input_ = true;
    FreeInput();
    SetReading(true);
    CountHeld();
    return GaveWay::kPipelineDropped;
  }

  GaveWay FreeRequest() {
    const ExchangeId id = id_;
    Impl* owner = owner_;
    const GaveWay how = owner->handler->OnMemoryShort(id);
    if (how == GaveWay::kBodyReleased && owner->Find(id) == this) {
      body_bytes_ = 0;
      CountHeld();
    }
    return how;
  }

  Impl* const owner_;
  HttpRequestReader reader_;
  TimeUs idle_since_;
  TimeUs reading_since_ = 0;  // Zero if no byte of a request has arrived.
  TimeUs closing_since_ = 0;
  TimeUs discarded_at_ = 0;  // Bytes were discarded last.
  std::string input_;
  std::size_t head_bytes_ = 0;       // Of the request in progress.
  std::size_t body_bytes_ = 0;       // The same, unless released.
  std::size_t collected_bytes_ = 0;  // Of its answer, see `SetCollected`.
  std::size_t held_ = 0;             // The sum, as `ClientMemory` knows it.
  std::size_t progress_bytes_ = 0;   // Received since the last progress.
  std::size_t last_unsent_ = 0;      // At the last sweep.
  std::size_t served_ = 0;           // Requests that were complete.
  bool reads_ = true;
  bool discards_input_ = false;  // See `DropPipeline`.
  ExchangeId id_ = 0;            // Zero if no request is in progress.
  bool keep_alive_ = true;
  bool chunked_ = true;
  std::optional<HttpField> echo_;  // Of the current request.
  bool head_request_ = false;
  bool continued_ = false;
  bool close_after_ = false;
  bool closing_ = false;
  std::shared_ptr<SocketStream> stream_;
};

gboolean HttpListener::Impl::OnAccept(GSocket*, GIOCondition, gpointer data) {
  auto* self = static_cast<Impl*>(data);
  int n = 0;
  while (n < kMaxAcceptsPerTurn && self->Accept()) {
    ++n;
  }
  return G_SOURCE_CONTINUE;
}

bool HttpListener::Impl::Accept() {
  GError* raw_error = nullptr;
  GPtr<GSocket> accepted(g_socket_accept(socket.get(), nullptr, &raw_error));
  if (accepted == nullptr) {
    const GErrorPtr error(raw_error);
    if (!g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
      handler->OnListenerEvent({"accept_failed", 0, error->message, ""});
    }
    return false;
  }
  if (connections.size() >= limits.connections && !MakePlace()) {
    handler->OnListenerEvent({"too_many_connections", 0, "", ""});
    g_socket_close(accepted.get(), nullptr);
    return true;
  }
  auto connection = std::make_unique<Connection>(this, std::move(accepted));
  Connection* key = connection.get();
  connections.emplace(key, std::move(connection));
  return true;
}

bool HttpListener::Impl::MakePlace() {
  const TimeUs now = Loop::Now();
  Connection* least = nullptr;
  std::pair<int, DurationUs> most = {-1, 0};
  for (const auto& [key, connection] : connections) {
    const auto rank = connection->Dispensable(now);
    if (rank && *rank > most) {
      most = *rank;
      least = key;
    }
  }
  if (least == nullptr) {
    return false;
  }
  handler->OnListenerEvent({"place_taken", 0, "", ""});
  Remove(least);
  return true;
}

void HttpListener::Impl::Sweep() {
  const TimeUs now = Loop::Now();
  std::vector<Connection*> expired;
  for (auto& [key, connection] : connections) {
    if (connection->Expired(now)) {
      expired.push_back(key);
    }
  }
  for (Connection* it : expired) {
    Remove(it);
  }
}

void HttpListener::Impl::Remove(Connection* connection) {
  connections.erase(connection);
}

HttpListener::HttpListener(ListenerHandler* handler,
                           Loop* loop,
                           ClientMemory* memory)
    : impl_(std::make_unique<Impl>(handler, loop, memory)) {
  impl_->own_memory.SetShortHandler([impl = impl_.get()] {
    impl->loop->AfterIfAlive(impl->alive, 0,
                             [impl] { impl->own_memory.Relieve(Loop::Now()); });
  });
}
HttpListener::~HttpListener() = default;

absl::Status HttpListener::Listen(const Address& address) {
  GError* raw_error = nullptr;
  impl_->socket.reset(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                   G_SOCKET_PROTOCOL_TCP, &raw_error));
  const GPtr<GSocketAddress> bound(
      g_inet_socket_address_new_from_string(address.ip.c_str(), address.port));
  if (impl_->socket == nullptr || bound == nullptr) {
    return absl::InvalidArgumentError(
        StrCat("cannot listen on ", address.ip, ":", address.port));
  }
  g_socket_set_blocking(impl_->socket.get(), FALSE);
  detail::SetListenOptions(impl_->socket.get());
  if (!g_socket_bind(impl_->socket.get(), bound.get(), TRUE, &raw_error) ||
      !g_socket_listen(impl_->socket.get(), &raw_error)) {
    const GErrorPtr error(raw_error);
    return absl::UnavailableError(StrCat("cannot listen on ", address.ip, ":",
                                         address.port, ": ", error->message));
  }
  impl_->accept_source =
      g_socket_create_source(impl_->socket.get(), G_IO_IN, nullptr);
  g_source_set_callback(impl_->accept_source, G_SOURCE_FUNC(Impl::OnAccept),
                        impl_.get(), nullptr);
  g_source_attach(impl_->accept_source, nullptr);
  impl_->sweep = impl_->loop->Every(kSweepPeriod, [this] { impl_->Sweep(); });
  return absl::OkStatus();
}

void HttpListener::SetLimits(const ListenerLimits& limits) {
  impl_->limits = limits;
  impl_->own_memory.SetLimit(limits.buffered_bytes);
}

void HttpListener::SetEchoField(std::string name) {
  impl_->echo_field = std::move(name);
}

AnswerEnd HttpListener::Reply(ExchangeId id,
                              int status,
                              HttpFields fields,
                              const SharedBytes& body,
                              AnswerEnd end) {
  auto* it = impl_->Find(id);
  return it == nullptr ? AnswerEnd::kBroken
                       : it->Reply(status, std::move(fields), body, end);
}
AnswerEnd HttpListener::BeginStream(ExchangeId id,
                                    int status,
                                    HttpFields fields,
                                    AnswerEnd expected_end) {
  auto* it = impl_->Find(id);
  return it == nullptr
             ? AnswerEnd::kBroken
             : it->BeginStream(status, std::move(fields), expected_end);
}
void HttpListener::StreamData(ExchangeId id, std::string_view bytes) {
  if (auto* it = impl_->Find(id)) {
    it->StreamData(bytes);
  }
}
AnswerEnd HttpListener::EndStream(ExchangeId id, AnswerEnd end) {
  auto* it = impl_->Find(id);
  if (it == nullptr || !it->MayEnd(end)) {
    Break(id);
    return AnswerEnd::kBroken;
  }
  return it->EndStream();
}
void HttpListener::Break(ExchangeId id) {
  if (auto* it = impl_->Find(id)) {
    it->Break();
    impl_->Remove(it);
  }
}
void HttpListener::SetCollected(ExchangeId id, std::size_t bytes) {
  if (auto* it = impl_->Find(id)) {
    it->SetCollected(bytes);
  }
}
std::size_t HttpListener::Unsent(ExchangeId id) const {
  const auto* it = impl_->Find(id);
  return it == nullptr ? 0 : it->unsent();
}
void HttpListener::BeginDrain() {
  impl_->draining = true;
}
void HttpListener::CloseIdle() {
  std::vector<Impl::Connection*> idle;
  for (auto& [key, connection] : impl_->connections) {
    if (connection->idle()) {
      idle.push_back(key);
    }
  }
  for (auto* it : idle) {
    impl_->Remove(it);
  }
}
std::size_t HttpListener::writing() const {
  return static_cast<std::size_t>(
      std::count_if(impl_->connections.begin(), impl_->connections.end(),
                    [](const auto& it) { return it.second->unsent() > 0; }));
}
std::size_t HttpListener::connections() const {
  return impl_->connections.size();
}
std::size_t HttpListener::exchanges() const {
  return impl_->exchanges.size();
}

}  // namespace acaciachute
