// One request of a client on a connection of its own, written as given, so that
// it can also speak HTTP/1.0, and the answer with the end that it showed.
#ifndef ACACIACHUTE_TESTS_SOAK_RAW_CLIENT_H_
#define ACACIACHUTE_TESTS_SOAK_RAW_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "protocol/http1.h"
#include "transport/loop.h"
#include "transport/socket_stream.h"

namespace acaciachute {

class RawClient : public SocketHandler {
 public:
  // `done` is called once, when the answer or the connection has ended; it may
  // delete this object.
  RawClient(Loop* loop,
            const Address& address,
            std::string_view request,
            std::function<void()> done)
      : done_(std::move(done)) {
    auto stream = SocketStream::Connect(loop->sockets(), address, this);
    if (stream.ok()) {
      stream_ = *std::move(stream);
      stream_->Write(request);
    }
  }
  // `task` is called whenever bytes of the body have arrived.
  void SetBodyHandler(std::function<void()> task) {
    on_body_ = std::move(task);
  }
  ~RawClient() override {
    if (stream_ != nullptr) {
      stream_->Close();
    }
  }

  void OnBytes(std::string_view bytes) override {
    input_ += bytes;
    const auto state = reader_.Read(&input_);
    const std::string bytes_of_body = reader_.TakeBody();
    body_ += bytes_of_body;
    if (!bytes_of_body.empty() && on_body_) {
      on_body_();
    }
    if (state == HttpAnswerReader::State::kDone ||
        state == HttpAnswerReader::State::kBad) {
      Finish();
    }
  }
  void OnEnd(const char* error) override {
    if (error == nullptr) {
      reader_.ReadEnd();
    }
    Finish();
  }

  bool ended() const { return ended_; }
  // Zero if no head arrived.
  int status() const { return reader_.head().status; }
  const HttpFields& fields() const { return reader_.head().fields; }
  const std::string& body() const { return body_; }
  AnswerEnd end() const { return reader_.end(); }

 private:
  void Finish() {
    if (!std::exchange(ended_, true) && done_) {
      std::exchange(done_, nullptr)();
    }
  }

  std::function<void()> done_;
  std::function<void()> on_body_;
  std::shared_ptr<SocketStream> stream_;
  HttpAnswerReader reader_{false};
  std::string input_;
  std::string body_;
  bool ended_ = false;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_RAW_CLIENT_H_
