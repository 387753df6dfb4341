// One TCP connection on GLib's loop: reads as bytes arrive, writes without
// blocking, bounds what it holds.
#ifndef ACACIACHUTE_SRC_TRANSPORT_SOCKET_STREAM_H_
#define ACACIACHUTE_SRC_TRANSPORT_SOCKET_STREAM_H_

#include <gio/gio.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "transport/glib_ptr.h"
#include "transport/socket_poller.h"
#include "types.h"

namespace acaciachute {

class SocketHandler {
 public:
  virtual ~SocketHandler() = default;
  virtual void OnConnected() {}
  virtual void OnBytes(std::string_view bytes) = 0;
  // The other side sent its last byte (`error` is null) or the connection
  // broke. Nothing follows.
  virtual void OnEnd(const char* error) = 0;
  // Everything written has reached the kernel.
  virtual void OnFlushed() {}
};

class SocketStream : public std::enable_shared_from_this<SocketStream>,
                     private SocketWatcher {
 public:
  // Unacknowledged bytes end the connection after this, and so do unanswered
  // probes of one that this side opened. A peer that lost power answers
  // nothing, and without it a write waits for the kernel's own 15 minutes.
  static constexpr DurationUs kPeerSilence = 3 * kSecond;
  static constexpr DurationUs kProbeEvery = kSecond;
  static constexpr int kProbes = 2;  // That may stay unanswered.

  // Takes an accepted socket. `poller` outlives the stream.
  static std::shared_ptr<SocketStream> Accepted(SocketPoller* poller,
                                                GPtr<GSocket> socket,
                                                SocketHandler* handler);
  // `OnConnected` or `OnEnd` follows.
  static absl::StatusOr<std::shared_ptr<SocketStream>>
  Connect(SocketPoller* poller, const Address& address, SocketHandler* handler);
  ~SocketStream() override;
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  void Write(std::string_view bytes);
  // Stops reading, so that the peer's window fills; hang-ups go unnoticed.
  void SetReading(bool reading);
  // Ends the sending side once everything is written.
  void FinishWriting();
  // No callback follows either of these. `Abort` tells the peer that the bytes
  // before were not all; `Close` ends in order.
  void Close();
  void Abort();

  std::size_t unsent() const { return out_.size(); }
  bool connected() const { return connected_; }

 private:
  SocketStream(SocketPoller* poller,
               GPtr<GSocket> socket,
               SocketHandler* handler);

  // SocketWatcher:
  void OnReadable() override;
  void OnWritable() override;

  void Watch(bool readable, bool writable);
  void Flush();
  void End(const char* error);

  SocketPoller* const poller_;
  const GPtr<GSocket> socket_;
  SocketHandler* handler_;
  std::string out_;
  std::string send_error_;  // Told from the loop.
  bool connected_ = false;
  bool finishing_ = false;
  bool reads_ = false;  // What is watched.
  bool writes_ = false;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_SOCKET_STREAM_H_
