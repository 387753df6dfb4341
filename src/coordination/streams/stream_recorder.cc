#include "coordination/streams/stream_recorder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace acaciachute {

void StreamRecorder::OnBegun(TimeUs now, const StreamOrigin& origin) {
  remembered_.push_back({origin, now - origin.age});
  if (remembered_.size() > kMaxRemembered) {
    remembered_.pop_front();
    metrics_->Count("acaciachute_gateway_stream_rows_total", "forgotten");
  }
}

void StreamRecorder::RemoveOld(TimeUs now) {
  while (!remembered_.empty() &&
         now - remembered_.front().began_at > kLifetime) {
    remembered_.pop_front();
  }
}

void StreamRecorder::OnTick(TimeUs now, std::size_t gateways) {
  RemoveOld(now);
  if (writing_ || now < next_write_at_) {
    return;
  }
  const DurationUs interval =
      std::max(kMinWriteInterval,
               kFleetWriteInterval * static_cast<DurationUs>(gateways));
  if ((remembered_.empty() || !several_()) && written_ == next_number_) {
    next_write_at_ = now + kCheckInterval;
    return;
  }
  if (!placed_) {
    BeginRead(now);
    return;
  }
  Place(kMaxStreamsPerSecond * static_cast<std::uint64_t>(interval) /
        static_cast<std::uint64_t>(kSecond));
  next_write_at_ = now + interval;
  Write(now);
}

void StreamRecorder::Place(std::uint64_t most) {
  if (several_()) {
    // The older ones are more likely to have ended.
    const std::uint64_t count =
        std::min<std::uint64_t>(most, remembered_.size());
    const auto first = remembered_.end() - static_cast<std::ptrdiff_t>(count);
    recorded_.insert(recorded_.end(), std::make_move_iterator(first),
                     std::make_move_iterator(remembered_.end()));
    remembered_.erase(first, remembered_.end());
    next_number_ += count;
  }
  if (recorded_.empty()) {
    return;
  }
  // The last row takes the place of the oldest one.
  const std::uint64_t last_row = (next_number_ - 1) / kRowStreams;
  const std::uint64_t first_row = std::max(last_row, kRows - 1) - (kRows - 1);
  while (next_number_ - recorded_.size() < first_row * kRowStreams) {
    recorded_.pop_front();
  }
  written_ = std::max(written_, next_number_ - recorded_.size());
}

void StreamRecorder::Write(TimeUs now) {
  const std::uint64_t first = next_number_ - recorded_.size();
  std::vector<StreamRow> rows;
  for (std::uint64_t n = written_ / kRowStreams * kRowStreams; n < next_number_;
       ++n) {
    if (n < first) {
      continue;
    }
    const auto slot = static_cast<std::uint32_t>(n / kRowStreams % kRows);
    if (rows.empty() || rows.back().slot != slot) {
      rows.push_back({node_, slot, {}});
    }
    const Stream& it = recorded_[n - first];
    rows.back().streams.push_back(it.origin);
    rows.back().streams.back().age = now - it.began_at;
  }
  writing_ = true;
  being_written_ = next_number_;
  output_->WriteStreamRows(rows);
}

void StreamRecorder::OnWritten(TimeUs now, bool done) {
  writing_ = false;
  metrics_->Count("acaciachute_gateway_stream_rows_total",
                  done ? "written" : "not_written");
  if (done) {
    metrics_->Count("acaciachute_gateway_streams_recorded_total", "",
                    being_written_ - std::min(written_, being_written_));
    written_ = std::max(written_, being_written_);
  } else {
    next_write_at_ = std::max(next_write_at_, now + kRetryDelay);
  }
  if (std::exchange(write_succeeded_, done) != done) {
    log_->Write("stream_rows", {{"written", done},
                                {"streams", next_number_ - written_},
                                {"remembered", remembered_.size()}});
  }
}

StreamRowsState StreamRecorder::Ask(TimeUs now, TimeUs since) {
  if (read_at_ && *read_at_ >= since - kReadAge) {
    return StreamRowsState::kRead;
  }
  if (reading_since_) {
    return StreamRowsState::kAwaited;
  }
  if ((failed_read_at_ && *failed_read_at_ >= since) || now < next_read_at_) {
    return StreamRowsState::kNotKnown;
  }
  BeginRead(now);
  return StreamRowsState::kAwaited;
}

void StreamRecorder::BeginRead(TimeUs now) {
  if (reading_since_ || now < next_read_at_) {
    return;
  }
  reading_since_ = now;
  pages_ = 0;
  read_bytes_ = 0;
  read_streams_ = 0;
  newest_own_.reset();
  ReadPage("");
}

void StreamRecorder::ReadPage(const std::string& after) {
  ++pages_;
  output_->ReadStreamRows(after);
}

std::vector<StreamOrigin> StreamRecorder::OnRead(
    TimeUs now,
    const std::optional<StreamRowsPage>& page) {
  std::vector<StreamOrigin> found;
  if (!reading_since_) {
    return found;
  }
  metrics_->Count("acaciachute_gateway_stream_rows_total",
                  page ? "read" : "not_read");
  if (!page) {
    failed_read_at_ = std::exchange(reading_since_, std::nullopt);
    next_read_at_ = now + kRetryDelay;
    return found;
  }
  read_bytes_ += page->bytes;
  for (const StreamRow& row : page->rows) {
    for (const StreamOrigin& it : row.streams) {
      if (row.node == node_ && row.slot < kRows &&
          (!newest_own_ || it.age < newest_own_->first)) {
        newest_own_.emplace(it.age, row.slot);
      }
      if (it.age <= kLifetime) {
        found.push_back(it);
      }
    }
  }
  read_streams_ += found.size();
  if (page->truncated && pages_ < kMaxPages) {
    ReadPage(page->last_key);
  } else {
    OnAllRead(now);
  }
  return found;
}

void StreamRecorder::OnAllRead(TimeUs now) {
  read_at_ = std::exchange(reading_since_, std::nullopt);
  next_read_at_ =
      now + std::max(kReadAge, static_cast<DurationUs>(read_bytes_) * kSecond /
                                   kReadBytesPerSecond);
  if (!std::exchange(placed_, true) && newest_own_) {
    next_number_ = (newest_own_->second + 1) * kRowStreams;
    written_ = next_number_;
  }
  log_->Write("stream_rows",
              {{"read", true},
               {"pages", pages_},
               {"bytes", read_bytes_},
               {"streams", read_streams_},
               {"next_ms", (next_read_at_ - now) / kMillisecond},
               {"next_row", next_number_ / kRowStreams % kRows}});
}

}  // namespace acaciachute
