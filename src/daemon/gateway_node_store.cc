// Processes the tables that a gateway reads from the platform's store: the
// operator's table and the list of replicas.
#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "address_text.h"
#include "daemon/gateway_node_impl.h"
#include "transport/loop.h"

namespace acaciachute {
namespace {

bool IsConfig(const TableRow& row) {
  return row.key == platform::kConfigKey;
}

}  // namespace

FollowedTable::FollowedTable(const std::string& table,
                             const FreshnessPlan& plan_in,
                             const GatewayPeers* peers,
                             StoreReader* store,
                             TableRelayOutput* output,
                             SplitRow* split_row,
                             TableListener* listener,
                             Random* random,
                             Metrics* metrics,
                             EventLog* log)
    : plan(plan_in),
      relay(table, output, split_row),
      source(table,
             &plan,
             peers,
             store,
             output,
             split_row,
             random,
             metrics,
             log,
             [this](TimeUs now, const TableAnswer& answer) {
               watch.OnAnswer(now, answer);
             }),
      watch(table, &plan, &source, listener, random, log) {}

FollowedTable* GatewayNode::Impl::FindFollowedTable(const std::string& table) {
  if (table == platform::kOperatorTable) {
    return &configuration;
  }
  if (table == platform::kReplicaTable) {
    return &replicas;
  }
  log.Write("table_unknown", {{"table", table}});
  return nullptr;
}

void GatewayNode::Impl::OnStoreAnswer(const std::string& table,
                                      std::uint64_t id,
                                      const TableAnswer& answer) {
  if (table == kGatewayTable) {
    join.OnRows(Now(), answer);
  } else if (table == kCrashTable) {
    OnCrashRows(answer);
  } else if (table == kVersionTable) {
    OnVersionRows(answer);
  } else if (table == kStreamTable) {
    OnStreamRows(answer);
  } else if (FollowedTable* it = FindFollowedTable(table)) {
    it->source.OnStoreAnswer(Now(), id, answer);
  }
}

void GatewayNode::Impl::OnTable(const std::string& table,
                                const std::vector<TableRow>& rows) {
  FollowedTable* followed = FindFollowedTable(table);
  if (table == platform::kOperatorTable) {
    std::vector<TableRow> orders;
    std::copy_if(rows.begin(), rows.end(), std::back_inserter(orders),
                 [](const TableRow& it) { return !IsConfig(it); });
    followed->relay.OnTable(orders, followed->watch.version());
    ApplyOperatorTable(rows, followed->watch.version());
    return;
  }
  followed->relay.OnTable(rows, followed->watch.version());
  std::vector<ReplicaEntry> entries;
  std::vector<std::string> unreadable;
  for (const TableRow& it : rows) {
    auto entry = ReadReplica(it);
    if (entry) {
      entries.push_back(*std::move(entry));
    } else {
      unreadable.push_back(it.key);
    }
  }
  directory.Replace(Now(), entries, unreadable);
}

void GatewayNode::Impl::OnRow(const std::string& table, const TableRow& row) {
  if (table == platform::kOperatorTable && IsConfig(row)) {
    SplitConfigRow(row);
    return;
  }
  FindFollowedTable(table)->relay.OnRow(row);
  if (table == platform::kOperatorTable) {
    ApplyOperatorRow(row);
    return;
  }
  if (row.removed) {
    directory.Remove(Now(), row.key);
    return;
  }
  if (const auto entry = ReadReplica(row)) {
    directory.Put(*entry);
  } else {
    directory.PutUnreadable(row.key);
  }
}

std::optional<ReplicaEntry> GatewayNode::Impl::ReadReplica(
    const TableRow& row) {
  auto entry = platform::ParseReplica(row.key, row.value, Now());
  if (entry.ok()) {
    refused_rows.erase(row.key);
    return *std::move(entry);
  }
  metrics.Count("acaciachute_gateway_replica_rows_refused_total");
  LogRefusedRow("replica_row_refused", row,
                std::string(entry.status().message()));
  return std::nullopt;
}

// Logs a refused row only if the reason differs from the one logged last for
// its key, because another writer may write the row many times per second.
void GatewayNode::Impl::LogRefusedRow(std::string_view event,
                                      const TableRow& row,
                                      const std::string& why) {
  std::string& logged_reason = refused_rows[row.key];
  if (logged_reason != why) {
    logged_reason = why;
    log.Write(event,
              {{"key", row.key}, {"row_version", row.version}, {"why", why}});
  }
  if (refused_rows.size() > kMaxRefusedRows) {
    refused_rows.clear();
  }
}

std::optional<EvacuationRow> GatewayNode::Impl::ReadEvacuation(
    const TableRow& row) {
  auto domain = platform::ParseEvacuation(row.key);
  if (!domain.ok()) {
    metrics.Count("acaciachute_gateway_operator_rows_refused_total");
    LogRefusedRow("evacuation_refused", row,
                  std::string(domain.status().message()));
    return std::nullopt;
  }
  if (!*domain) {
    return std::nullopt;
  }
  return EvacuationRow{**std::move(domain), row.version};
}

void GatewayNode::Impl::ApplyOperatorTable(const std::vector<TableRow>& rows,
                                           std::uint64_t version) {
  std::vector<EvacuationRow> orders;
  for (const TableRow& it : rows) {
    if (auto order = ReadEvacuation(it)) {
      orders.push_back(*std::move(order));
    }
  }
  if (evacuations.OnTable(Now(), orders, version)) {
    gateway->OnEvacuated();
  }
  for (const TableRow& it : rows) {
    if (IsConfig(it)) {
      SplitConfigRow(it);
    }
  }
}

void GatewayNode::Impl::ApplyOperatorRow(const TableRow& row) {
  if (const auto order = ReadEvacuation(row)) {
    if (row.removed) {
      evacuations.OnEvacuationEnded(Now(), *order);
    } else if (evacuations.OnOrder(*order)) {
      gateway->OnEvacuated();
    }
  }
}

void GatewayNode::Impl::SplitConfigRow(const TableRow& row) {
  if (row.removed) {
    return;
  }
  const TimeUs begun_at = Loop::Now();
  const auto parts = platform::SplitConfig(row.value);
  config_row_read = {row.value.size(), Loop::Now() - begun_at};
  seen_config = std::max(seen_config, row.version);
  if (parts.ok()) {
    config_row.Replace(row.version, *parts);
  } else {
    log.Write("config_refused",
              {{"row_version", row.version},
               {"why", std::string(parts.status().message())}});
  }
  config_row_read = {};
}

void GatewayNode::Impl::ApplyConfigParts(const std::vector<RowPart>& changes) {
  const TimeUs begun_at = Loop::Now();
  seen_config = std::max(seen_config, config_row.version());
  config_reader.Apply(changes);
  auto config = config_reader.Read();
  if (config.ok()) {
    clients.SetLimits(ClientLimitsOf((*config)->limits));
    batchers.SetServices(**config);
    gateway->OnConfig(*std::move(config));
  } else {
    log.Write("config_refused",
              {{"row_version", config_row.version()},
               {"why", std::string(config.status().message())}});
  }
  const DurationUs time = config_row_read.time + Loop::Now() - begun_at;
  metrics.Observe("acaciachute_gateway_config_parse_seconds", "", time);
  log.Write("config_read", {{"row_version", config_row.version()},
                            {"bytes", config_row_read.bytes},
                            {"changes", changes.size()},
                            {"parse_ms", time / kMillisecond}});
}

void GatewayNode::Impl::OnTableCurrent(const std::string& table,
                                       TimeUs known_at) {
  if (table == platform::kOperatorTable) {
    gateway->OnConfirmed(known_at);
  } else {
    directory.OnStoreRecovered(Now());
    directory.OnCurrent(known_at);
  }
  FollowedTable* followed = FindFollowedTable(table);
  followed->relay.OnCurrent(known_at, followed->watch.version());
}

void GatewayNode::Impl::OnTableLost(const std::string& table) {
  FollowedTable* followed = FindFollowedTable(table);
  followed->relay.OnLost();
  if (table == platform::kReplicaTable) {
    directory.OnStoreLost(followed->source.store_failed_at());
  }
}

void GatewayNode::Impl::OnReplica(const ReplicaEntry& replica,
                                  DirectoryChange change) {
  log.Write("replica", {{"replica", replica.id.name},
                        {"life", replica.id.incarnation},
                        {"service", replica.service},
                        {"version", replica.version},
                        {"change", Name(change)},
                        {"list_ms", directory.Age(Now()) / kMillisecond},
                        {"address", AddressText(replica.address)}});
  gateway->OnReplica(replica, change);
  const bool restarted = change == DirectoryChange::kRestarted;
  const bool leaving = change == DirectoryChange::kLeaving;
  if (restarted || leaving || change == DirectoryChange::kRemoved) {
    channels.DropIdle(replica.address);
  }
  if (leaving) {
    pieces.CancelUnsentAt(replica.id, "the replica leaves");
  }
  if (change == DirectoryChange::kRemoved) {
    batchers.OnReplicaRemoved(Now(), replica);
  } else if (restarted) {
    batchers.OnReplicaRestarted(Now(), replica);
    dispatcher.SendResults();
  }
}

}  // namespace acaciachute
