// Reads what cereal's portable binary archive wrote, from bytes that may be
// anything.
//
// Failure: a count of elements in a message is wrong. Symptom: memory is taken
// for that many before the bytes turn out to be missing, and a few such frames
// keep a process busy for minutes. Here no count is taken that is above the
// bytes left, and elements are made one by one, so that memory stays within a
// constant factor of the message.
#ifndef ACACIACHUTE_SRC_PROTOCOL_FRAME_READER_H_
#define ACACIACHUTE_SRC_PROTOCOL_FRAME_READER_H_

#include <algorithm>
#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <string_view>
#include <vector>

namespace acaciachute {

// Throws `cereal::Exception` where the bytes do not fit what is read.
class FrameReader
    : public cereal::InputArchive<FrameReader, cereal::AllowEmptyClassElision> {
 public:
  // The first byte tells the order of bytes within numbers.
  explicit FrameReader(std::string_view bytes)
      : InputArchive(this), left_(bytes) {
    std::uint8_t little = 0;
    Read(&little, sizeof little, sizeof little);
    constexpr bool kLittle = std::endian::native == std::endian::little;
    swap_ = (little != 0) != kLittle;
  }

  // `size` bytes of numbers of `width` bytes each.
  void Read(void* data, std::size_t size, std::size_t width) {
    if (size > left_.size()) {
      throw cereal::Exception("a message that ends early");
    }
    auto* const bytes = static_cast<char*>(data);
    std::memcpy(bytes, left_.data(), size);
    left_.remove_prefix(size);
    for (std::size_t n = 0; swap_ && n < size; n += width) {
      std::reverse(bytes + n, bytes + n + width);
    }
  }
  // Elements that follow; each takes a byte at least.
  std::size_t ReadCount() {
    cereal::size_type count = 0;
    Read(&count, sizeof count, sizeof count);
    if (count > left_.size()) {
      throw cereal::Exception("a count beyond the message");
    }
    return static_cast<std::size_t>(count);
  }

 private:
  std::string_view left_;
  bool swap_ = false;
};

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(FrameReader& in, T& v) {
  in.Read(&v, sizeof v, sizeof v);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(FrameReader& in, cereal::NameValuePair<T>& v) {
  in(v.value);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(FrameReader& in, cereal::SizeTag<T>& v) {
  v.size = in.ReadCount();
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(FrameReader& in, cereal::BinaryData<T>& v) {
  using Element = std::remove_pointer_t<T>;
  in.Read(v.data, static_cast<std::size_t>(v.size), sizeof(Element));
}

}  // namespace acaciachute

namespace cereal {

namespace traits::detail {

// Whose output is read; cereal compares what both serialize.
template <>
struct get_output_from_input<acaciachute::FrameReader> {
  using type = PortableBinaryOutputArchive;
};

}  // namespace traits::detail

// In this namespace, where cereal looks for vectors.
template <class T, class A>
void CEREAL_LOAD_FUNCTION_NAME(acaciachute::FrameReader& in,
                               std::vector<T, A>& v) {
  v.clear();
  for (std::size_t count = in.ReadCount(); count > 0; --count) {
    in(v.emplace_back());
  }
}

}  // namespace cereal

CEREAL_REGISTER_ARCHIVE(acaciachute::FrameReader)

#endif  // ACACIACHUTE_SRC_PROTOCOL_FRAME_READER_H_
