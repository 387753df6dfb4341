// One TCP connection on the main loop: delivers bytes as they arrive, writes
// without blocking, and closes connections whose peer is unresponsive.
#ifndef ACACIACHUTE_SRC_TRANSPORT_SOCKET_STREAM_H_
#define ACACIACHUTE_SRC_TRANSPORT_SOCKET_STREAM_H_

#include <gio/gio.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "state/shared_bytes.h"
#include "transport/glib_ptr.h"
#include "transport/send_queue.h"
#include "transport/socket_poller.h"
#include "types.h"

namespace acaciachute {

class SocketHandler {
 public:
  virtual ~SocketHandler() = default;
  virtual void OnConnected() {}
  virtual void OnBytes(std::string_view bytes) = 0;
  // The peer closed its sending side (`error` is null) or the connection broke.
  // No further callback follows.
  virtual void OnEnd(const char* error) = 0;
  // All bytes written have been passed to the kernel.
  virtual void OnFlushed() {}
};

class SocketStream : public std::enable_shared_from_this<SocketStream>,
                     private SocketWatcher {
 public:
  // A connection is closed when sent bytes stay unacknowledged, or, on a
  // connection that this side opened, when probes stay unanswered, for this
  // long. A peer that lost power acknowledges nothing, and by the kernel's
  // default a write would wait for 15 minutes.
  static constexpr DurationUs kPeerTimeout = 3 * kSecond;
  static constexpr DurationUs kProbeInterval = kSecond;
  static constexpr int kMaxUnansweredProbes = 2;

  // Wraps an accepted socket. `poller` must outlive the stream.
  static std::shared_ptr<SocketStream> Accepted(SocketPoller* poller,
                                                GPtr<GSocket> socket,
                                                SocketHandler* handler);
  // Starts to connect. The handler's `OnConnected` or `OnEnd` follows. The
  // error of a connection that is refused at once is `NotFound`.
  static absl::StatusOr<std::shared_ptr<SocketStream>>
  Connect(SocketPoller* poller, const Address& address, SocketHandler* handler);
  ~SocketStream() override;
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  void Write(std::string_view bytes);
  // Writes both, and keeps a reference to `body` until it has been passed to
  // the kernel.
  void Write(std::string_view head, const SharedBytes& body);
  // Pauses or resumes reading. While paused, the receive window fills, so that
  // the peer stops sending, and a disconnect is not detected.
  void SetReading(bool reading);
  // While set, the connection is reset however it is closed, also by the end of
  // this process. `FinishWriting` ends this once all bytes have been passed to
  // the kernel. For bytes whose end the peer knows only by the closing.
  void SetResetOnClose(bool reset);
  // Shuts down the sending side once all bytes have been written.
  void FinishWriting();
  // Both end the stream without a further callback. `Close` closes the
  // connection in order; `Abort` resets it, so that the peer knows that the
  // bytes sent so far are incomplete.
  void Close();
  void Abort();

  std::size_t unsent() const { return unsent_.size(); }
  bool connected() const { return connected_; }
  // Whether the peer refused the connection: no process listens there.
  bool refused() const { return refused_; }

 private:
  SocketStream(SocketPoller* poller,
               GPtr<GSocket> socket,
               SocketHandler* handler);

  // SocketWatcher:
  void OnReadable() override;
  void OnWritable() override;

  void Watch(bool readable, bool writable);
  void Flush();
  void ShutDownWriting();
  void End(const char* error);

  SocketPoller* const poller_;
  const GPtr<GSocket> socket_;
  SocketHandler* handler_;
  SendQueue unsent_;
  std::string send_error_;  // Reported from the loop.
  bool connected_ = false;
  bool refused_ = false;
  bool finishing_ = false;
  bool watches_readable_ = false;  // Events watched now.
  bool watches_writable_ = false;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_SOCKET_STREAM_H_
