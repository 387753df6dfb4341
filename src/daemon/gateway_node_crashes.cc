// Requests under which replicas ended: records for other gateways and for the
// store, and the operators' pages.
#include <glib.h>

#include <nlohmann/json.hpp>

#include "daemon/gateway_node_impl.h"
#include "protocol/crash_codec.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;

std::int64_t UnixMs() {
  return g_get_real_time() / kMillisecond;
}

}  // namespace

void GatewayNode::Impl::TickCrashes(TimeUs now) {
  for (const Gateway::CrashChange& it : gateway->TakeCrashChanges()) {
    crash_exchange.OnChanged(now, it.record, it.blocked);
  }
  crash_exchange.OnTick(now, peers.LivePeers());
}

void GatewayNode::Impl::SendCrashRecords(const NodeId& peer,
                                         const CrashRecordUpdate& update) {
  if (mesh != nullptr) {
    mesh->SendDatagram(peer, update);
  }
}

void GatewayNode::Impl::WriteCrashRow(const std::string& key,
                                      const CrashRecord& record) {
  store.WriteRow(
      kCrashTable, key, EncodeCrashRow(record, UnixMs()), false,
      [this, fingerprint = record.fingerprint](platform::WriteOutcome outcome) {
        const bool decided = outcome != platform::WriteOutcome::kUnknown;
        log.Write("crash_row",
                  {{"fingerprint", fingerprint}, {"written", decided}});
        crash_exchange.OnWritten(Now(), decided);
      });
}

void GatewayNode::Impl::ReadCrashRows() {
  store.SendRequest({kCrashTable,
                     0,
                     {true, "", 0, 0},
                     GatewayJoin::kReadTimeout,
                     GatewayJoin::kReadTimeout});
}

void GatewayNode::Impl::OnCrashRows(const TableAnswer& answer) {
  const bool ok = answer.kind == TableAnswer::Kind::kRows;
  if (!ok) {
    log.Write("crash_rows_failed", {{"why", answer.why}});
  }
  for (const TableRow& it : answer.rows) {
    const auto record = DecodeCrashRow(it.value, UnixMs());
    if (record.ok()) {
      gateway->OnCrashRecord(*record, "store");
    } else {
      LogRefusedRow("crash_row_refused", it,
                    std::string(record.status().message()));
    }
  }
  if (ok) {
    log.Write("crash_rows", {{"rows", answer.rows.size()}});
  }
  crash_exchange.OnRead(Now(), ok);
}

void GatewayNode::Impl::ListCrashes(ExchangeId id) {
  Json rows = Json::array();
  for (const CrashRecord& it : gateway->crash_records().All(Now())) {
    const auto verdict = gateway->crash_records().Of(Now(), it.fingerprint);
    if (verdict.ends == 0) {
      continue;
    }
    std::vector<std::string> replicas;
    for (const CrashEnd& end : it.ends) {
      replicas.push_back(end.replica);
    }
    rows.push_back(
        {{"fingerprint", it.fingerprint},
         {"standing", Name(verdict.blocked ? QuarantineState::kConvicted
                                           : QuarantineState::kSuspect)},
         {"account", it.account},
         {"crashed_at", replicas},
         {"age_ms", verdict.last_end_age / kMillisecond}});
  }
  readiness.Reply(id, kHttpOk, {{"Content-Type", "application/json"}},
                  Json({{"quarantine", rows}})
                      .dump(-1, ' ', true, Json::error_handler_t::replace));
}

void GatewayNode::Impl::LiftCrashes(ExchangeId id, const std::string& body) {
  const Json in = Json::parse(body, nullptr, false);
  if (!in.is_object() || !in.contains("fingerprint") ||
      !in["fingerprint"].is_string()) {
    readiness.Reply(id, kHttpBadRequest, {}, "");
    return;
  }
  const auto fingerprint = in["fingerprint"].get<std::string>();
  const bool lifted = gateway->LiftBlock(fingerprint);
  readiness.Reply(id, lifted ? kHttpOk : kHttpNotFound,
                  {{"Content-Type", "application/json"}},
                  Json({{"lifted", fingerprint}}).dump());
}

}  // namespace acaciachute
