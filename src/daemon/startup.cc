#include "daemon/startup.h"

#include <malloc.h>

#include <iostream>
#include <random>

namespace acaciachute {

std::uint64_t RandomSeed() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

void ReturnFreedMemory() {
  constexpr int kLongBlockBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kLongBlockBytes);
}

void PrintListening(const NodeId& node,
                    std::uint16_t frame_port,
                    std::uint16_t http_port) {
  std::cout << "{\"listening\":\"" << node << "\",\"frames\":" << frame_port
            << ",\"http\":" << http_port << "}" << std::endl;
}

}  // namespace acaciachute
