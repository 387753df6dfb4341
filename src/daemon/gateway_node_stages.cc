// What this gateway asks the replicas of stages, and what it tells of them.
#include <algorithm>

#include "daemon/gateway_node_impl.h"

namespace acaciachute {
namespace {

// Period of the gauges.
constexpr DurationUs kGaugePeriod = kSecond;

}  // namespace

bool GatewayNode::Impl::AskReport(const ReplicaEntry& replica) {
  metrics.Count("acaciachute_gateway_stage_reports_total", "asked");
  replica_reports.Ask(replica.address,
                      [this, id = replica.id, service = replica.service](
                          const std::optional<ReplicaReport>& report) {
                        batchers.OnReport(Now(), service, id, report);
                        dispatcher.SendResults();
                      });
  return true;
}

void GatewayNode::Impl::OnMemoryBelief(const MemoryBelief& belief) {
  metrics.Count("acaciachute_gateway_stage_reports_total", Name(belief.news));
  log.Write(
      "stage_memory",
      {{"service", belief.service},
       {"replica", belief.replica.name},
       {"why", Name(belief.news)},
       {"capacity_kb", belief.capacity >> 10U},
       {"own_kb", belief.own >> 10U},
       {"foreign_kb", belief.foreign >> 10U},
       {"free_kb", (belief.capacity -
                    std::min(belief.capacity, belief.own + belief.foreign)) >>
                       10U},
       {"age_ms", belief.age / kMillisecond},
       {"stated", belief.stated}});
}

void GatewayNode::Impl::ReportStageMemory(TimeUs now) {
  if (now < next_stage_memory_at) {
    return;
  }
  next_stage_memory_at = now + kGaugePeriod;
  for (const auto& [service, batcher] : batchers.batchers()) {
    metrics.SetGauge("acaciachute_gateway_stage_foreign_bytes", service,
                     static_cast<double>(batcher->ForeignBytes()));
    metrics.SetGauge("acaciachute_gateway_stage_postponed_pieces", service,
                     static_cast<double>(batcher->postponed()));
    metrics.SetGauge("acaciachute_gateway_stage_memory_waits", service,
                     static_cast<double>(batcher->without_memory()));
  }
}

}  // namespace acaciachute
