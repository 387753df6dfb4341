// The store's records of versions at which streams can have begun, and of
// streams.
#include <glib.h>

#include <nlohmann/json.hpp>

#include "daemon/gateway_node_impl.h"
#include "protocol/stream_row_codec.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr char kServiceField[] = "service";
constexpr char kVersionField[] = "version";

std::string RowText(const ServiceVersion& version) {
  return Json({{kServiceField, version.service},
               {kVersionField, version.version}})
      .dump(-1, ' ', true, Json::error_handler_t::replace);
}

// Names may be longer than keys, and have any bytes.
std::string RowKey(const ServiceVersion& version) {
  const std::string text = RowText(version);
  const std::unique_ptr<gchar, decltype(&g_free)> hash(
      g_compute_checksum_for_data(G_CHECKSUM_SHA256,
                                  reinterpret_cast<const guchar*>(text.data()),
                                  text.size()),
      &g_free);
  return hash.get();
}

std::int64_t UnixMs() {
  return g_get_real_time() / kMillisecond;
}

std::optional<ServiceVersion> ReadRow(const std::string& text) {
  const Json row = Json::parse(text, nullptr, false);
  if (!row.is_object() || !row.contains(kServiceField) ||
      !row.contains(kVersionField) || !row[kServiceField].is_string() ||
      !row[kVersionField].is_string()) {
    return std::nullopt;
  }
  return ServiceVersion{row[kServiceField], row[kVersionField]};
}

}  // namespace

void GatewayNode::Impl::RecordVersion(const ServiceVersion& version) {
  store.WriteRow(kVersionTable, RowKey(version), RowText(version), true,
                 [this, version](platform::WriteOutcome outcome) {
                   gateway->OnVersionRecorded(
                       version, outcome != platform::WriteOutcome::kUnknown);
                 });
}

void GatewayNode::Impl::ReadVersions() {
  store.SendRequest({kVersionTable,
                     0,
                     {true, "", 0, 0},
                     GatewayJoin::kReadTimeout,
                     GatewayJoin::kReadTimeout});
}

void GatewayNode::Impl::OnVersionRows(const TableAnswer& answer) {
  if (answer.kind != TableAnswer::Kind::kRows) {
    log.Write("stream_versions_failed", {{"why", answer.why}});
    gateway->OnVersionsRead(std::nullopt);
    return;
  }
  std::vector<ServiceVersion> versions;
  for (const TableRow& it : answer.rows) {
    auto version = ReadRow(it.value);
    if (!version) {
      // It may name a version that nothing else names.
      LogRefusedRow("stream_version_refused", it, "no service and version");
      gateway->OnVersionsRead(std::nullopt);
      return;
    }
    versions.push_back(*std::move(version));
  }
  log.Write("stream_versions", {{"rows", versions.size()}});
  gateway->OnVersionsRead(versions);
}

void GatewayNode::Impl::WriteStreamRows(const std::vector<StreamRow>& rows) {
  std::vector<platform::StoreClient::RowWrite> writes;
  writes.reserve(rows.size());
  for (const StreamRow& it : rows) {
    writes.push_back({StreamRowKey(it), EncodeStreamRow(it, UnixMs())});
  }
  store.WriteRows(kStreamTable, writes, [this](platform::WriteOutcome outcome) {
    gateway->OnStreamRowsWritten(outcome == platform::WriteOutcome::kDone);
  });
}

void GatewayNode::Impl::ReadStreamRows(const std::string& after) {
  store.SendRequest({kStreamTable,
                     0,
                     {true, after.empty() ? "" : after + '\0', 0, 0},
                     GatewayJoin::kReadTimeout,
                     GatewayJoin::kReadTimeout});
}

void GatewayNode::Impl::OnStreamRows(const TableAnswer& answer) {
  if (answer.kind != TableAnswer::Kind::kRows) {
    log.Write("stream_rows_failed", {{"why", answer.why}});
    gateway->OnStreamRows(std::nullopt);
    return;
  }
  StreamRowsPage page;
  page.truncated = answer.truncated && !answer.rows.empty();
  for (const TableRow& it : answer.rows) {
    page.bytes += it.value.size();
    page.last_key = it.key;
    auto row = DecodeStreamRow(it.key, it.value, UnixMs());
    if (row.ok()) {
      page.rows.push_back(*std::move(row));
    } else {
      LogRefusedRow("stream_row_refused", it,
                    std::string(row.status().message()));
    }
  }
  gateway->OnStreamRows(page);
}

}  // namespace acaciachute
