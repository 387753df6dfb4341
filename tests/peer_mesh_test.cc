// Tests the sockets of the peer mesh.
#include "transport/peer_mesh.h"

#include <gio/gio.h>
#include <gtest/gtest.h>

#include <vector>

#include "state/metrics.h"
#include "transport/glib_ptr.h"

namespace acaciachute {
namespace {

class NoHandler : public PeerHandler {
 public:
  void OnPeerMessage(const NodeId&, Incarnation, const Message&) override {}
  void OnPeerDatagram(const NodeId&, Incarnation, const Message&) override {}
  void OnPeerLost(const NodeId&) override {}
  void OnUnsent(const NodeId&, const Message&) override {}
};

// Guards against starts that fail at random: the kernel chooses a port that is
// free for TCP while another program uses the same number for UDP.
TEST(PeerMeshTest, ChosenPortIsFreeForBoth) {
  constexpr int kTakenPorts = 400;
  constexpr int kStarts = 300;
  const GPtr<GSocketAddress> any(
      g_inet_socket_address_new_from_string("127.0.0.1", 0));
  std::vector<GPtr<GSocket>> taken;
  for (int n = 0; n < kTakenPorts; ++n) {
    taken.emplace_back(g_socket_new(G_SOCKET_FAMILY_IPV4,
                                    G_SOCKET_TYPE_DATAGRAM,
                                    G_SOCKET_PROTOCOL_UDP, nullptr));
    ASSERT_TRUE(g_socket_bind(taken.back().get(), any.get(), FALSE, nullptr));
  }
  NoHandler handler;
  Metrics metrics;
  for (int n = 0; n < kStarts; ++n) {
    PeerMesh mesh({"entry-1", 1, "key", {"127.0.0.1", 0}}, &handler, &metrics);
    const auto status = mesh.Listen();
    EXPECT_TRUE(status.ok()) << "start " << n << ": " << status.message();
  }
}

}  // namespace
}  // namespace acaciachute
