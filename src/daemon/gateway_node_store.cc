// What a gateway process learns from the platform's store: the configuration
// and the replicas.
#include <optional>
#include <utility>

#include "address_text.h"
#include "daemon/gateway_node_impl.h"

namespace acaciachute {

void GatewayNode::Impl::OnTable(const std::string& table,
                                const std::vector<TableRow>& rows) {
  if (table == platform::kOperatorTable) {
    for (const TableRow& it : rows) {
      TakeConfig(it);
    }
    return;
  }
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
  if (table == platform::kOperatorTable) {
    TakeConfig(row);
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
  auto entry = platform::ParseReplica(row.key, row.value);
  if (entry.ok()) {
    refused_rows.erase(row.key);
    return *std::move(entry);
  }
  metrics.Count("acaciachute_gateway_replica_rows_refused_total");
  // One line a key and reason: another writer may write it many times a second.
  const std::string why(entry.status().message());
  std::string& told = refused_rows[row.key];
  if (told != why) {
    told = why;
    log.Write("replica_row_refused",
              {{"key", row.key}, {"row_version", row.version}, {"why", why}});
  }
  if (refused_rows.size() > kMostRefusedRows) {
    refused_rows.clear();
  }
  return std::nullopt;
}

void GatewayNode::Impl::TakeConfig(const TableRow& row) {
  if (row.key != platform::kConfigKey || row.removed) {
    return;
  }
  auto config = platform::ParseConfig(row.value);
  if (!config.ok()) {
    log.Write("config_refused",
              {{"row_version", row.version},
               {"why", std::string(config.status().message())}});
    return;
  }
  clients.SetLimits(ClientLimitsOf((*config)->limits));
  batchers.SetServices(**config);
  gateway->OnConfig(*std::move(config));
}

void GatewayNode::Impl::OnTableCurrent(const std::string& table,
                                       TimeUs asked_at) {
  if (table == platform::kOperatorTable) {
    gateway->OnConfirmed(asked_at);
  } else {
    directory.OnStoreBack(Now());
  }
}

void GatewayNode::Impl::OnTableLost(const std::string& table) {
  if (table == platform::kReplicaTable) {
    directory.OnStoreLost();
  }
}

void GatewayNode::Impl::OnReplica(const ReplicaEntry& replica,
                                  DirectoryChange change) {
  log.Write("replica", {{"replica", replica.id.name},
                        {"life", replica.id.life},
                        {"service", replica.service},
                        {"change", Name(change)},
                        {"address", AddressText(replica.address)}});
  gateway->OnReplica(replica, change);
  const bool restarted = change == DirectoryChange::kRestarted;
  if (restarted || change == DirectoryChange::kGone) {
    channels.DropIdle(replica.address);
  }
  if (change == DirectoryChange::kGone) {
    batchers.OnReplicaGone(Now(), replica);
  } else if (restarted) {
    batchers.OnReplicaRestarted(Now(), replica);
    desk.SendResults();
  }
}

}  // namespace acaciachute
