// A cereal input archive that reads the format of
// `cereal::PortableBinaryOutputArchive` from untrusted bytes.
//
// cereal's own reader allocates memory for the number of elements that a
// message states before it finds that their bytes are missing; a few frames
// with a wrong count kept a process busy for minutes. This reader rejects a
// count above the number of remaining bytes and constructs elements one by one,
// so that memory stays within a constant factor of the message's size.
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

// Throws `cereal::Exception` if the bytes are not a valid message.
class FrameReader
    : public cereal::InputArchive<FrameReader, cereal::AllowEmptyClassElision> {
 public:
  // The first byte states whether numbers are little-endian.
  explicit FrameReader(std::string_view bytes)
      : InputArchive(this), remaining_(bytes) {
    std::uint8_t little = 0;
    Read(&little, sizeof little, sizeof little);
    constexpr bool kLittle = std::endian::native == std::endian::little;
    swap_ = (little != 0) != kLittle;
  }

  // Reads `size` bytes, which are numbers of `width` bytes each.
  void Read(void* data, std::size_t size, std::size_t width) {
    if (size > remaining_.size()) {
      throw cereal::Exception("message is truncated");
    }
    auto* const bytes = static_cast<char*>(data);
    std::memcpy(bytes, remaining_.data(), size);
    remaining_.remove_prefix(size);
    for (std::size_t n = 0; swap_ && n < size; n += width) {
      std::reverse(bytes + n, bytes + n + width);
    }
  }
  // Reads the number of elements that follow. As each takes at least one byte,
  // the count cannot exceed the number of remaining bytes.
  std::size_t ReadCount() {
    cereal::size_type count = 0;
    Read(&count, sizeof count, sizeof count);
    if (count > remaining_.size()) {
      throw cereal::Exception("element count exceeds the message size");
    }
    return static_cast<std::size_t>(count);
  }

 private:
  std::string_view remaining_;
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

// Declares the archive whose output `FrameReader` reads. cereal checks at
// compile time that types serialize alike in both.
template <>
struct get_output_from_input<acaciachute::FrameReader> {
  using type = PortableBinaryOutputArchive;
};

}  // namespace traits::detail

// In namespace cereal, where overload resolution finds it for vectors.
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
