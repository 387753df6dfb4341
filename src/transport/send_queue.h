// Bytes that wait to be sent on one connection, in order. Long shared ones are
// referenced, not copied, and each part is freed once it has been sent.
#ifndef ACACIACHUTE_SRC_TRANSPORT_SEND_QUEUE_H_
#define ACACIACHUTE_SRC_TRANSPORT_SEND_QUEUE_H_

#include <cstddef>
#include <list>
#include <string>
#include <string_view>

#include "state/shared_bytes.h"

namespace acaciachute {

class SendQueue {
 public:
  void Add(std::string_view bytes) {
    if (bytes.empty()) {
      return;
    }
    if (parts_.empty() || !parts_.back().shared.empty() ||
        parts_.back().own.size() >= kMaxJoinedBytes) {
      parts_.emplace_back();
    }
    parts_.back().own += bytes;
    size_ += bytes.size();
  }
  void Add(const SharedBytes& bytes) {
    if (bytes.size() < kMinSharedBytes) {
      Add(bytes.view());
      return;
    }
    parts_.emplace_back().shared = bytes;
    size_ += bytes.size();
  }

  // Valid until the queue changes; empty if nothing waits.
  std::string_view front() const {
    return parts_.empty() ? std::string_view()
                          : parts_.front().view().substr(sent_);
  }
  void RemoveFront(std::size_t n) {
    sent_ += n;
    size_ -= n;
    if (sent_ == parts_.front().view().size()) {
      parts_.pop_front();
      sent_ = 0;
    }
  }
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

 private:
  // Shorter bytes are copied behind what waits, which saves a system call.
  static constexpr std::size_t kMinSharedBytes = 16 << 10;
  // A part that has reached this length is not extended, so that what was sent
  // of it is freed before the queue is empty.
  static constexpr std::size_t kMaxJoinedBytes = 64 << 10;

  // Has bytes of its own or shared ones.
  struct Part {
    std::string_view view() const {
      return shared.empty() ? std::string_view(own) : shared.view();
    }
    std::string own;
    SharedBytes shared;
  };

  std::list<Part> parts_;
  std::size_t sent_ = 0;  // Of the first part.
  std::size_t size_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_SEND_QUEUE_H_
