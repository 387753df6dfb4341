// Bytes that several owners hold and none changes, kept once: a request's body,
// which every attempt sends, or an answer on its way to a client. A copy for
// each owner would multiply what one client makes the process hold.
#ifndef ACACIACHUTE_SRC_STATE_SHARED_BYTES_H_
#define ACACIACHUTE_SRC_STATE_SHARED_BYTES_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace acaciachute {

// Implicit from texts, as it stands where a text would.
class SharedBytes {
 public:
  SharedBytes() = default;
  SharedBytes(std::string bytes)
      : bytes_(bytes.empty()
                   ? nullptr
                   : std::make_shared<const std::string>(std::move(bytes))) {}
  SharedBytes(std::string_view bytes) : SharedBytes(std::string(bytes)) {}
  SharedBytes(const char* bytes) : SharedBytes(std::string(bytes)) {}

  std::string_view view() const {
    return bytes_ == nullptr ? std::string_view() : *bytes_;
  }
  std::size_t size() const { return view().size(); }
  bool empty() const { return bytes_ == nullptr; }
  // Whether this is the only owner, so that its end frees the bytes.
  bool unique() const { return bytes_.use_count() == 1; }

 private:
  std::shared_ptr<const std::string> bytes_;  // Null if there are none.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_SHARED_BYTES_H_
