// Sends and receives frames between this system's processes: TCP for stage
// calls, results and settings, UDP for heartbeats.
#ifndef ACACIACHUTE_SRC_TRANSPORT_PEER_MESH_H_
#define ACACIACHUTE_SRC_TRANSPORT_PEER_MESH_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "messages.h"
#include "protocol/node_settings.h"
#include "state/metrics.h"
#include "types.h"

namespace acaciachute {
namespace detail {
struct PeerMeshImpl;
}  // namespace detail

class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  virtual void OnPeerMessage(const NodeId& from,
                             Incarnation incarnation,
                             const Message& message) = 0;
  virtual void OnPeerDatagram(const NodeId& from,
                              Incarnation incarnation,
                              const Message& message) = 0;
  // The connection to `peer` was closed. Messages sent on it may or may not
  // have arrived.
  virtual void OnPeerLost(const NodeId& peer) = 0;
  // The connection could not be established, so `message` was not sent.
  virtual void OnUnsent(const NodeId& peer, const Message& message) = 0;
  // A message, the one with this index in `Message`, would have made a frame
  // above the limit and was not sent.
  virtual void OnTooLong(const NodeId& peer,
                         std::size_t index,
                         std::size_t bytes) {
    static_cast<void>(peer);
    static_cast<void>(index);
    static_cast<void>(bytes);
  }
};

struct PeerOptions {
  NodeId node;
  Incarnation incarnation = 0;
  std::string frame_key;
  Address listen;
};

class PeerMesh {
 public:
  PeerMesh(PeerOptions options, PeerHandler* handler, Metrics* metrics);
  ~PeerMesh();
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  // Binds TCP and UDP to the same port.
  absl::Status Listen();
  std::uint16_t port() const;

  // Sets the address on which `peer` listens. Not needed to reply to a peer
  // that sent a message first.
  void SetAddress(const NodeId& peer, const Address& address);
  void Send(const NodeId& peer, const Message& message);
  void SendDatagram(const NodeId& peer, const Message& message);

  // Whether all messages passed to `Send` have been written to their sockets.
  bool Flushed() const;

 private:
  std::unique_ptr<detail::PeerMeshImpl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_PEER_MESH_H_
