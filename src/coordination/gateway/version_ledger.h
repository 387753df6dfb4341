// Knows at which software versions streams can have begun, at any gateway.
//
// A stream goes on only at the version that began it. Where nobody remembers
// the stream, its version is certain only if there has never been another one.
// The list of replicas cannot show that: replicas serve on after their rows are
// gone, routes move, and other gateways have lists of their own. So a version
// is recorded in the store before the first stream begins there, and its record
// is not removed. A reading that the store was asked for after a client came to
// take its stream up therefore contains the version that began it.
//
// Several versions, once known, stay several, so the store is read only while
// one version is known. Gateways tell each other which versions they need and
// which are recorded, so that hundreds of them do not all write the same row.
//
// An outage of the store does not keep replicas of a new version out of use for
// long: after `kMaxRecordWait` streams begin there if they can begin at no
// version with a record. While the store is away nobody concludes anything from
// it; if it only turns this gateway away, the others have been told of the
// version.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_VERSION_LEDGER_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_VERSION_LEDGER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "messages.h"
#include "state/event_log.h"
#include "state/random.h"
#include "state/service_version.h"
#include "types.h"

namespace acaciachute {

class VersionLedgerOutput {
 public:
  virtual ~VersionLedgerOutput() = default;
  // Writes the record of a version to the store, unless it is there;
  // `VersionLedger::OnRecorded` follows.
  virtual void RecordVersion(const ServiceVersion& version) = 0;
  // Reads all records; `VersionLedger::OnRead` follows.
  virtual void ReadVersions() = 0;
  // The other live gateways.
  virtual std::vector<NodeId> LivePeers() = 0;
  // Sends a message that may be lost.
  virtual void SendDatagram(const NodeId& peer, const Message& message) = 0;
};

class VersionLedger {
 public:
  // Time for which streams wait for the record of their version.
  static constexpr DurationUs kMaxRecordWait = 2 * kSecond;
  // Gateways that learn of a version at once write its record at random times
  // within this one, until one of them tells that it is there.
  static constexpr DurationUs kMaxWriteDelay = 200 * kMillisecond;
  // Until a failed write is repeated, and news of a version without a record.
  static constexpr DurationUs kRetryDelay = 300 * kMillisecond;
  // Shortest interval between readings.
  static constexpr DurationUs kReadInterval = 100 * kMillisecond;

  VersionLedger(VersionLedgerOutput* output, Random* random, EventLog* log)
      : output_(output), random_(random), log_(log) {}

  // Replicas of the version are listed, and streams may be sent there.
  void Need(TimeUs now, const ServiceVersion& version);
  // A stream is to begin at the version now.
  void NeedAtOnce(TimeUs now, const ServiceVersion& version);
  bool IsRecorded(const ServiceVersion& version) const;
  // Whether streams may begin at the version.
  bool MayBegin(TimeUs now, const ServiceVersion& version) const;
  // Whether they may at all versions that are needed.
  bool MayBeginAtAll(TimeUs now) const;

  // Whether more than one version is known.
  bool Several() const { return entries_.size() > 1; }
  // The one version that is known, if it has a record.
  std::optional<ServiceVersion> Only() const;
  // Reads the records, unless a reading that begins now or later is due.
  void Read(TimeUs now);
  // When the last reading that succeeded began, and the last that failed.
  std::optional<TimeUs> read_at() const { return read_at_; }
  std::optional<TimeUs> failed_read_at() const { return failed_read_at_; }

  // Call it every 10 ms.
  void OnTick(TimeUs now);
  // `done`: the record is in the store; otherwise that is not known.
  void OnRecorded(TimeUs now, const ServiceVersion& version, bool done);
  // Empty if the reading failed.
  void OnRead(TimeUs now,
              const std::optional<std::vector<ServiceVersion>>& versions);
  // What a gateway that the store turns away tells is recorded here.
  void OnReport(TimeUs now,
                const NodeId& from,
                const ServiceVersionReport& report);
  void OnNewPeer(const NodeId& peer);

 private:
  struct Entry {
    bool recorded = false;
    bool writing = false;
    bool written = false;             // At least once, with whatever outcome.
    std::optional<TimeUs> needed_at;  // Here, at first.
    TimeUs write_at = 0;
    TimeUs tell_at = 0;  // The next time, if it has no record.
  };
  using Entries = std::map<ServiceVersion, Entry>;

  void Write(Entries::value_type* entry);
  void SetRecorded(Entries::value_type* entry, std::string_view source);
  void Tell(const Entries::value_type& entry);
  void BeginRead(TimeUs now);

  VersionLedgerOutput* const output_;
  Random* const random_;
  EventLog* const log_;
  Entries entries_;
  bool read_due_ = false;
  TimeUs next_read_at_ = 0;
  std::optional<TimeUs> reading_since_;
  std::optional<TimeUs> read_at_;
  std::optional<TimeUs> failed_read_at_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_VERSION_LEDGER_H_
