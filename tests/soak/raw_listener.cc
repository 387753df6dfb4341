#include "tests/soak/raw_listener.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "glog/logging.h"
#include "tests/soak/loopback.h"
#include "transport/socket_stream.h"

namespace acaciachute {

// Heads with the handles of 1,000 results are longer than a client's.
constexpr HttpReadLimits kReadLimits = {.head_bytes = 64 << 10};

class RawListener::Connection : public SocketHandler {
 public:
  Connection(RawListener* owner, GPtr<GSocket> socket)
      : owner_(owner),
        stream_(SocketStream::Accepted(owner->loop_->sockets(),
                                       std::move(socket),
                                       this)) {}
  ~Connection() override {
    owner_->exchanges_.erase(id_);
    stream_->Close();
  }

  void OnBytes(std::string_view bytes) override {
    input_ += bytes;
    if (!owner_->early_answer_.empty()) {
      AnswerEarly();
      return;
    }
    ReadNext();
  }
  void OnEnd(const char*) override {
    RawListener* owner = owner_;
    const ExchangeId id = id_;
    owner->Remove(this);  // `this` is deleted.
    if (id != 0) {
      owner->handler_->OnClientDisconnected(id);
    }
  }

  void Write(std::string_view bytes) {
    if (owner_->late_copy_period_ != 0) {
      answer_ += bytes;
    }
    stream_->Write(bytes);
  }
  void Keep() {
    const int period = owner_->late_copy_period_;
    if (period != 0 && ++owner_->kept_answers_ % period == 0) {
      late_copy_ = answer_;
    }
    EndExchange();
    ReadNext();
  }
  void WriteWithoutEnd(std::string bytes) {
    endless_ = std::move(bytes);
    Pump();
  }
  bool endless() const { return !endless_.empty(); }
  void Close() {
    EndExchange();
    closing_ = true;
    stream_->FinishWriting();
  }
  void Reset() { stream_->Abort(); }
  bool idle() const { return id_ == 0 && !closing_; }

 private:
  // Repeats the id of the request, if it has arrived.
  void AnswerEarly() {
    if (std::exchange(closing_, true)) {
      return;
    }
    std::string answer = owner_->early_answer_;
    constexpr std::string_view kField = "Attempt-Id: ";
    const auto begin = input_.find(kField) + kField.size();
    const auto end = input_.find("\r\n", begin);
    if (const auto at = answer.find("ID"); at != std::string::npos) {
      answer.replace(at, 2, input_.substr(begin, end - begin));
    }
    stream_->SetReading(false);
    stream_->Write(answer);
    RunAfter(owner_->loop_, owner_->until_reset_, alive_,
             [this] { stream_->Abort(); });
  }
  void Pump() {
    constexpr int kMostAtOnce = 16;
    for (int n = 0; n < kMostAtOnce && stream_->unsent() == 0; ++n) {
      owner_->endless_bytes_ += endless_.size();
      stream_->Write(endless_);
    }
    RunAfter(owner_->loop_, kMillisecond, alive_, [this] { Pump(); });
  }
  void EndExchange() {
    owner_->exchanges_.erase(id_);
    id_ = 0;
    answer_.clear();
  }
  void ReadNext() {
    if (id_ != 0 || closing_ ||
        reader_.Read(&input_) != HttpRequestReader::State::kDone) {
      return;
    }
    HttpRequestHead head = reader_.TakeHead();
    std::string body = reader_.TakeBody();
    reader_.Reset(kReadLimits);
    id_ = owner_->next_id_++;
    owner_->exchanges_[id_] = this;
    stream_->Write(std::exchange(late_copy_, {}));
    owner_->handler_->OnRequest(id_, std::move(head), std::move(body));
  }

  RawListener* const owner_;
  HttpRequestReader reader_{kReadLimits};
  std::string input_;
  std::string answer_;     // Of the request in progress, if copies are sent.
  std::string late_copy_;  // Sent when the next request arrives.
  std::string endless_;    // Written without end; empty: nothing is.
  const std::shared_ptr<int> alive_ = std::make_shared<int>();
  ExchangeId id_ = 0;  // Zero if no request is in progress.
  bool closing_ = false;
  std::shared_ptr<SocketStream> stream_;
};

RawListener::RawListener(ListenerHandler* handler,
                         Loop* loop,
                         const Address& address)
    : handler_(handler), loop_(loop), address_(address) {
  Listen();
}

void RawListener::Listen() {
  constexpr int kBacklog = 1024;
  socket_.reset(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, nullptr));
  const GPtr<GSocketAddress> bound(g_inet_socket_address_new_from_string(
      address_.ip.c_str(), address_.port));
  g_socket_set_blocking(socket_.get(), FALSE);
  g_socket_set_listen_backlog(socket_.get(), kBacklog);
  PCHECK(g_socket_bind(socket_.get(), bound.get(), TRUE, nullptr));
  PCHECK(g_socket_listen(socket_.get(), nullptr));
  source_ = g_socket_create_source(socket_.get(), G_IO_IN, nullptr);
  g_source_set_callback(source_, G_SOURCE_FUNC(OnAccept), this, nullptr);
  g_source_attach(source_, nullptr);
}

RawListener::~RawListener() {
  Stop();
}

void RawListener::Stop() {
  if (socket_ == nullptr) {
    return;
  }
  g_source_destroy(source_);
  g_source_unref(source_);
  socket_.reset();
  while (!connections_.empty()) {
    Remove(connections_.begin()->first);
  }
}

gboolean RawListener::OnAccept(GSocket*, GIOCondition, gpointer data) {
  auto* self = static_cast<RawListener*>(data);
  GPtr<GSocket> socket(g_socket_accept(self->socket_.get(), nullptr, nullptr));
  if (socket != nullptr) {
    auto connection = std::make_unique<Connection>(self, std::move(socket));
    Connection* key = connection.get();
    self->connections_.emplace(key, std::move(connection));
  }
  return G_SOURCE_CONTINUE;
}

RawListener::Connection* RawListener::Find(ExchangeId id) const {
  const auto it = exchanges_.find(id);
  return it == exchanges_.end() ? nullptr : it->second;
}

void RawListener::Remove(Connection* connection) {
  connections_.erase(connection);
}

void RawListener::Write(ExchangeId id, std::string_view bytes) {
  if (auto* it = Find(id)) {
    it->Write(bytes);
  }
}
void RawListener::WriteWithoutEnd(ExchangeId id, std::string bytes) {
  if (auto* it = Find(id)) {
    it->WriteWithoutEnd(std::move(bytes));
  }
}
std::size_t RawListener::endless() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& it) { return it.second->endless(); }));
}
void RawListener::Keep(ExchangeId id) {
  if (auto* it = Find(id)) {
    it->Keep();
  }
}
void RawListener::Close(ExchangeId id) {
  if (auto* it = Find(id)) {
    it->Close();
  }
}
void RawListener::Reset(ExchangeId id) {
  if (auto* it = Find(id)) {
    it->Reset();
    Remove(it);
  }
}
void RawListener::CloseIdle() {
  std::vector<Connection*> idle;
  for (auto& [key, connection] : connections_) {
    if (connection->idle()) {
      idle.push_back(key);
    }
  }
  for (Connection* it : idle) {
    Remove(it);
  }
}

}  // namespace acaciachute
