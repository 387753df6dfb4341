// Stand-in for a replica that crashes: answers the first request with bytes
// from a file and kills its own process with SIGKILL, so that the kernel closes
// the connection as it does for any process that dies.
//
// Usage: standin-replica PORT FILE
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <iterator>
#include <string>

namespace {

// Reads a request up to the end of its head and a body of `body_size` bytes.
bool ReadRequest(int connection, std::size_t body_size) {
  constexpr std::size_t kBufferBytes = 4096;
  std::string request;
  std::array<char, kBufferBytes> buf;
  while (true) {
    const auto head_end = request.find("\r\n\r\n");
    if (head_end != std::string::npos &&
        request.size() >= head_end + 4 + body_size) {
      return true;
    }
    const ssize_t n = read(connection, buf.data(), buf.size());
    if (n <= 0) {
      return false;
    }
    request.append(buf.data(), static_cast<std::size_t>(n));
  }
}

}  // namespace

int main(int argc, char** argv) {
  constexpr std::size_t kBodySize = 4;
  if (argc != 3) {
    return 2;
  }
  std::ifstream file(argv[2], std::ios::binary);
  const std::string answer((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int reuse = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(argv[1])));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(listener, 1) != 0) {
    return 1;
  }
  const int connection = accept(listener, nullptr, nullptr);
  if (!ReadRequest(connection, kBodySize) ||
      write(connection, answer.data(), answer.size()) !=
          static_cast<ssize_t>(answer.size())) {
    return 1;
  }
  raise(SIGKILL);
}
