#include "coordination/gateway/version_ledger.h"

#include <algorithm>
#include <utility>

namespace acaciachute {

void VersionLedger::Need(TimeUs now, const ServiceVersion& version) {
  auto& entry = *entries_.try_emplace(version).first;
  if (entry.second.needed_at) {
    return;
  }
  entry.second.needed_at = now;
  if (!entry.second.recorded) {
    entry.second.write_at =
        now + static_cast<DurationUs>(
                  random_->Below(static_cast<std::uint64_t>(kMaxWriteDelay)));
    entry.second.tell_at = now + kRetryDelay;
    Tell(entry);
  }
}

void VersionLedger::NeedAtOnce(TimeUs now, const ServiceVersion& version) {
  Need(now, version);
  auto& entry = *entries_.find(version);
  if (!entry.second.recorded && !entry.second.written) {
    Write(&entry);
  }
}

bool VersionLedger::IsRecorded(const ServiceVersion& version) const {
  const auto it = entries_.find(version);
  return it != entries_.end() && it->second.recorded;
}

bool VersionLedger::MayBegin(TimeUs now, const ServiceVersion& version) const {
  const auto it = entries_.find(version);
  return it != entries_.end() &&
         (it->second.recorded ||
          (it->second.needed_at &&
           now - *it->second.needed_at >= kMaxRecordWait));
}

bool VersionLedger::MayBeginAtAll(TimeUs now) const {
  return std::all_of(entries_.begin(), entries_.end(), [&](const auto& it) {
    return !it.second.needed_at || MayBegin(now, it.first);
  });
}

std::optional<ServiceVersion> VersionLedger::Only() const {
  if (entries_.size() != 1 || !entries_.begin()->second.recorded) {
    return std::nullopt;
  }
  return entries_.begin()->first;
}

void VersionLedger::Read(TimeUs now) {
  read_due_ = true;
  BeginRead(now);
}

void VersionLedger::BeginRead(TimeUs now) {
  if (!read_due_ || reading_since_ || now < next_read_at_) {
    return;
  }
  read_due_ = false;
  reading_since_ = now;
  next_read_at_ = now + kReadInterval;
  output_->ReadVersions();
}

void VersionLedger::OnTick(TimeUs now) {
  BeginRead(now);
  for (auto& it : entries_) {
    Entry& entry = it.second;
    if (entry.recorded) {
      continue;
    }
    if (entry.needed_at && now >= entry.tell_at) {
      entry.tell_at = now + kRetryDelay;
      Tell(it);
    }
    if (now >= entry.write_at && !entry.writing) {
      Write(&it);
    }
  }
}

void VersionLedger::Write(Entries::value_type* entry) {
  entry->second.writing = true;
  entry->second.written = true;
  output_->RecordVersion(entry->first);
}

void VersionLedger::OnRecorded(TimeUs now,
                               const ServiceVersion& version,
                               bool done) {
  auto& entry = *entries_.try_emplace(version).first;
  entry.second.writing = false;
  if (!done) {
    entry.second.write_at = now + kRetryDelay;
    log_->Write("stream_version", {{"service", version.service},
                                   {"version", version.version},
                                   {"recorded", false},
                                   {"source", "store"}});
    return;
  }
  SetRecorded(&entry, "store");
  Tell(entry);
}

void VersionLedger::SetRecorded(Entries::value_type* entry,
                                std::string_view source) {
  if (std::exchange(entry->second.recorded, true)) {
    return;
  }
  log_->Write("stream_version", {{"service", entry->first.service},
                                 {"version", entry->first.version},
                                 {"recorded", true},
                                 {"source", source},
                                 {"known", entries_.size()}});
}

void VersionLedger::OnRead(
    TimeUs now,
    const std::optional<std::vector<ServiceVersion>>& versions) {
  const TimeUs began_at =
      std::exchange(reading_since_, std::nullopt).value_or(now);
  if (!versions) {
    failed_read_at_ = began_at;
    return;
  }
  read_at_ = began_at;
  for (const ServiceVersion& it : *versions) {
    // Two versions show all that a reading can show.
    if (!Several() || entries_.contains(it)) {
      SetRecorded(&*entries_.try_emplace(it).first, "read");
    }
  }
}

void VersionLedger::OnReport(TimeUs now,
                             const NodeId& from,
                             const ServiceVersionReport& report) {
  for (const auto& it : report.versions) {
    const auto [place, is_new] = entries_.try_emplace(it.version);
    auto& entry = *place;
    if (is_new) {
      entry.second.write_at = now + kRetryDelay;
    }
    if (it.recorded) {
      SetRecorded(&entry, from);
    }
  }
}

void VersionLedger::OnNewPeer(const NodeId& peer) {
  // The datagram is not split: more than a few versions prove no more.
  constexpr std::size_t kMaxTold = 8;
  ServiceVersionReport report;
  for (const auto& [version, entry] : entries_) {
    if (report.versions.size() < kMaxTold) {
      report.versions.push_back({version, entry.recorded});
    }
  }
  if (!report.versions.empty()) {
    output_->SendDatagram(peer, report);
  }
}

void VersionLedger::Tell(const Entries::value_type& entry) {
  const ServiceVersionReport report = {{{entry.first, entry.second.recorded}}};
  for (const NodeId& it : output_->LivePeers()) {
    output_->SendDatagram(it, report);
  }
}

}  // namespace acaciachute
