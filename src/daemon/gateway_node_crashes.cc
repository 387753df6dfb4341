// Causes under which replicas ended: reports for other gateways and for the
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
  Gateway::CrashNews news = gateway->TakeCrashNews();
  for (CrashReport& it : news.reports) {
    crash_exchange.OnNews(now, std::move(it));
  }
  for (const CrashCause& it : news.to_store) {
    crash_exchange.OnVerdict(it);
  }
  crash_exchange.OnTick(now);
}

void GatewayNode::Impl::SendCrashReport(const NodeId& peer,
                                        const CrashReport& report) {
  SendDatagram(peer, report);
}

void GatewayNode::Impl::WriteCrashRow(const std::string& key) {
  const TimeUs now = Now();
  std::vector<CrashCause> causes;
  for (CrashCause& it : gateway->crash_records()->All(now)) {
    if (CrashExchange::RowKey(it) == key &&
        gateway->crash_records()->IsStored(now, it)) {
      causes.push_back(std::move(it));
    }
  }
  const CrashReport report = gateway->crash_records()->Report(now, causes);
  store.WriteRow(
      kCrashTable, key, EncodeCrashRow(report, UnixMs()), false,
      [this, key, count = causes.size()](platform::WriteOutcome outcome) {
        const bool decided = outcome != platform::WriteOutcome::kUnknown;
        log.Write("crash_row",
                  {{"key", key}, {"causes", count}, {"written", decided}});
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
    const auto report = DecodeCrashRow(it.value, UnixMs());
    if (report.ok()) {
      gateway->OnCrashReport(*report, "store");
    } else {
      LogRefusedRow("crash_row_refused", it,
                    std::string(report.status().message()));
    }
  }
  if (ok) {
    log.Write("crash_rows", {{"rows", answer.rows.size()}});
  }
  crash_exchange.OnRead(Now(), ok);
}

void GatewayNode::Impl::ListCrashes(ExchangeId id) {
  const TimeUs now = Now();
  CrashRecords* records = gateway->crash_records();
  Json rows = Json::array();
  for (const CrashCause& it : records->All(now)) {
    const auto verdict = records->Of(now, it);
    if (verdict.ends == 0) {
      continue;
    }
    std::vector<std::string> replicas;
    for (const CrashEnd& end : records->Report(now, {it}).ends) {
      replicas.push_back(end.replica);
    }
    rows.push_back(
        {{"fingerprint", Text(it)},
         {"kind", Name(it.kind)},
         {"standing", Name(verdict.blocked ? QuarantineState::kConvicted
                                           : QuarantineState::kSuspect)},
         {"account", records->AccountOf(it)},
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
  const bool lifted = gateway->LiftBlock(ParseCause(fingerprint));
  readiness.Reply(id, lifted ? kHttpOk : kHttpNotFound,
                  {{"Content-Type", "application/json"}},
                  Json({{"lifted", fingerprint}})
                      .dump(-1, ' ', true, Json::error_handler_t::replace));
}

}  // namespace acaciachute
