// Records streams in the store, so that clients can take them up after all
// gateways that remember them have ended.
//
// Beside one version a stream can go on anywhere; beside several, of one
// service or, as routes move, of two, it goes on only at the one that began it,
// which gateways remember in their memory. If all of them end at once, as in a
// failure of the platform that restarts every host, nobody knows, and all
// streams in progress are refused. So each gateway writes rows with the streams
// that begin there, from the second version on: clients name the attempt that
// began their stream only after a failure, which is too late to begin. A stream
// never waits for its row.
//
// Bounds: a gateway has `kRows` rows, written in turn over one another, with
// `kRowStreams` streams each. It writes one transaction an interval, with the
// rows that changed; the interval grows with the number of gateways, so that
// all together keep to `kFleetWriteInterval`. The table is read only when a
// client takes up a stream that no gateway knows, and the next reading comes
// the later the larger the table is.
//
// Rows of a process that ended must stay until others have read them, so its
// successor reads the table first and goes on after the newest one.
#ifndef ACACIACHUTE_SRC_COORDINATION_STREAMS_STREAM_RECORDER_H_
#define ACACIACHUTE_SRC_COORDINATION_STREAMS_STREAM_RECORDER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "messages.h"
#include "state/event_log.h"
#include "state/metrics.h"
#include "types.h"

namespace acaciachute {

// One of the rows of a gateway.
struct StreamRow {
  NodeId node;
  std::uint32_t slot = 0;  // Below `StreamRecorder::kRows`.
  std::vector<StreamOrigin> streams;
};

// A part of the table.
struct StreamRowsPage {
  std::vector<StreamRow> rows;
  std::size_t bytes = 0;
  std::string last_key;
  bool truncated = false;  // More rows follow the last key.
};

class StreamRecorderOutput {
 public:
  virtual ~StreamRecorderOutput() = default;
  // Writes the rows in one transaction; `StreamRecorder::OnWritten` follows.
  virtual void WriteStreamRows(const std::vector<StreamRow>& rows) = 0;
  // Reads the rows of all gateways after a key; `StreamRecorder::OnRead`
  // follows.
  virtual void ReadStreamRows(const std::string& after) = 0;
};

// What the store says of a stream that no gateway knows.
enum class StreamRowsState {
  kRead,      // All rows were read, lately enough.
  kAwaited,   // They are being read.
  kNotKnown,  // The store does not answer, or is not to be asked again yet.
};
inline constexpr std::array<std::string_view, 3> kStreamRowsStateNames = {
    "read", "awaited", "not_known"};
constexpr std::string_view Name(StreamRowsState v) {
  return detail::NameIn(kStreamRowsStateNames, v);
}

class StreamRecorder {
 public:
  static constexpr std::uint64_t kRows = 8;
  static constexpr std::uint64_t kRowStreams = 64;
  // Streams older than this are not taken up.
  static constexpr DurationUs kLifetime = 60 * kSecond;
  // Streams that are remembered until they may be written.
  static constexpr std::size_t kMaxRemembered = 1024;
  // What begins within this time before all gateways end may be lost.
  static constexpr DurationUs kMinWriteInterval = 250 * kMillisecond;
  // Interval between the writes of all gateways together: a fraction of what
  // the store can write.
  static constexpr DurationUs kFleetWriteInterval = 20 * kMillisecond;
  // Bounds what a row costs the link, beside the store's calls.
  static constexpr std::uint64_t kMaxStreamsPerSecond = 64;
  static constexpr DurationUs kRetryDelay = 300 * kMillisecond;
  // Interval between looks for streams to write while there are none.
  static constexpr DurationUs kCheckInterval = 50 * kMillisecond;
  // A reading serves the streams that are taken up within this time after it.
  static constexpr DurationUs kReadAge = kSecond;
  // Share of a host's link for readings of the table.
  static constexpr std::int64_t kReadBytesPerSecond = 10'000;
  // The store returns at most 500 rows, or 1 MB, at once.
  static constexpr int kMaxPages = 8;

  using SeveralFn = std::function<bool()>;

  // `several`: whether several versions are known.
  StreamRecorder(NodeId node,
                 StreamRecorderOutput* output,
                 SeveralFn several,
                 Metrics* metrics,
                 EventLog* log)
      : node_(std::move(node)),
        output_(output),
        several_(std::move(several)),
        metrics_(metrics),
        log_(log) {}

  // A stream began here.
  void OnBegun(TimeUs now, const StreamOrigin& origin);
  // `gateways`: those that write. Call it every 10 ms.
  void OnTick(TimeUs now, std::size_t gateways);
  // What the rows say of a stream that a client took up at `since`. Asks the
  // store if it has to.
  StreamRowsState Ask(TimeUs now, TimeUs since);

  // `done`: the rows are in the store; otherwise that is not known.
  void OnWritten(TimeUs now, bool done);
  // Empty if the reading failed. Returns the streams that were found.
  std::vector<StreamOrigin> OnRead(TimeUs now,
                                   const std::optional<StreamRowsPage>& page);

 private:
  struct Stream {
    StreamOrigin origin;
    TimeUs began_at = 0;
  };

  void RemoveOld(TimeUs now);
  // Appends the streams that are to be written to the rows, the newest `most`.
  void Place(std::uint64_t most);
  void Write(TimeUs now);
  void BeginRead(TimeUs now);
  void ReadPage(const std::string& after);
  void OnAllRead(TimeUs now);

  const NodeId node_;
  StreamRecorderOutput* const output_;
  const SeveralFn several_;
  Metrics* const metrics_;
  EventLog* const log_;
  std::deque<Stream> remembered_;  // In order of their beginning.
  // In order of their writing, of each write in that of their beginning. The
  // streams in the rows have consecutive numbers; `number / kRowStreams`
  // modulo `kRows` is the slot of the row.
  std::deque<Stream> recorded_;
  std::uint64_t next_number_ = 0;  // Of the stream after the last.
  std::uint64_t written_ = 0;      // Those below are in the store.
  std::uint64_t being_written_ = 0;
  bool placed_ = false;  // The former life's rows are known.
  bool writing_ = false;
  std::optional<bool> write_succeeded_;
  TimeUs next_write_at_ = 0;
  // The reading in progress.
  std::optional<TimeUs> reading_since_;
  int pages_ = 0;
  std::size_t read_bytes_ = 0;
  std::size_t read_streams_ = 0;
  // The youngest own stream that was read, and the slot of its row.
  std::optional<std::pair<DurationUs, std::uint32_t>> newest_own_;
  TimeUs next_read_at_ = 0;
  std::optional<TimeUs> read_at_;  // When the last one began that succeeded.
  std::optional<TimeUs> failed_read_at_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STREAMS_STREAM_RECORDER_H_
