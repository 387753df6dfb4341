// Streams that began at a process whose row is not read yet.
//
// Where a replica was replaced under its id, its row comes later than its first
// streams, and the version in the list is not theirs. The process says when it
// started; its row, once it is read, says so too and names its version. Without
// this a client could not take up any stream that began in between.
#ifndef ACACIACHUTE_SRC_COORDINATION_STREAMS_BEGUN_IN_DOUBT_H_
#define ACACIACHUTE_SRC_COORDINATION_STREAMS_BEGUN_IN_DOUBT_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "messages.h"
#include "state/replica_directory.h"
#include "types.h"

namespace acaciachute {

class BegunInDoubt {
 public:
  // Streams older than this are not taken up; beyond the number the oldest are
  // dropped.
  static constexpr DurationUs kLifetime = 60 * kSecond;
  static constexpr std::size_t kMaxStreams = 1024;

  struct Stream {
    StreamOrigin origin;  // Without its version, until that is known.
    ReplicaId process;
    ExchangeId request = 0;
    TimeUs began_at = 0;
  };
  // The version of a process, if its row was read.
  using VersionFn =
      std::function<std::optional<std::string>(const ReplicaId& process)>;

  void Add(Stream stream) {
    streams_.push_back(std::move(stream));
    if (streams_.size() > kMaxStreams) {
      streams_.pop_front();
    }
  }
  // Removes and returns the streams whose version is known now.
  std::vector<Stream> TakeKnown(TimeUs now, const VersionFn& version_of) {
    std::vector<Stream> known;
    std::deque<Stream> left;
    for (Stream& it : streams_) {
      if (now - it.began_at > kLifetime) {
        continue;
      }
      if (auto version = version_of(it.process)) {
        it.origin.version = *std::move(version);
        it.origin.age = now - it.began_at;
        known.push_back(std::move(it));
      } else {
        left.push_back(std::move(it));
      }
    }
    streams_ = std::move(left);
    return known;
  }
  std::size_t size() const { return streams_.size(); }

 private:
  std::deque<Stream> streams_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STREAMS_BEGUN_IN_DOUBT_H_
