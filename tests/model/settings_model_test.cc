// Model check of settings writes: every interleaving of two operators who
// change one branch and one node that reads it. Operators and node use the
// production `SettingsWrite` and `Settings::With`; the table and lost or late
// messages are modelled.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/settings/settings_write.h"
#include "state/settings.h"
#include "tests/model/explore.h"
#include "text.h"

namespace acaciachute {
namespace {

// Safeguards that a mutation disables.
enum class Mutation {
  kNone,
  kVersionUncompared,      // The table accepts a write at any version.
  kNonceUncompared,        // An operator accepts every history row as its own.
  kNodeVersionUncompared,  // A node applies whatever it reads.
};

constexpr int kOperators = 2;
constexpr int kNodes = 1;
constexpr int kMaxFaults = 2;
constexpr int kMaxReads = 2;
constexpr std::size_t kMaxStates = 400'000;
constexpr char kBranch[] = "depot";

std::string BodyOf(int n) {
  return StrCat(R"({"owner":"team","events":{"by-)", n, R"(":{}}})");
}

class SettingsWorld {
 public:
  explicit SettingsWorld(Mutation mutation) : mutation_(mutation) {
    for (int n = 0; n < kOperators; ++n) {
      SettingsChange change;
      change.branch = kBranch;
      change.team = "team";
      change.json = BodyOf(n);
      operators_.emplace_back(change, 100 + n);
    }
    trees_.fill(std::make_shared<Settings>());
  }

  std::vector<Step> Steps();

  std::string Violation() const {
    std::map<SettingsVersion, int> accepted;
    for (int n = 0; n < kOperators; ++n) {
      const auto& result = operators_[n].result();
      if (!result) {
        continue;
      }
      const bool is_written = IsWritten(n);
      if (result->outcome == WriteOutcome::kAccepted &&
          (!is_written || ++accepted[result->version] > 1)) {
        return StrCat("operator ", n,
                      " received accepted, but the change is not in force");
      }
      if (result->outcome != WriteOutcome::kAccepted &&
          result->outcome != WriteOutcome::kUnknown && is_written) {
        return StrCat("operator ", n, " received ", Name(result->outcome),
                      ", but the change is in force");
      }
    }
    return version_decreased_ ? "a node's version decreased" : "";
  }

  std::string Signature() const {
    std::string out =
        StrCat(faults_, " ", reads_, version_decreased_ ? "!" : "", ";");
    for (const auto& it : histories_) {
      out += it + ";";
    }
    for (const auto& [key, row] : rows_) {
      out += StrCat(key, "=", row.version, row.value, ";");
    }
    for (const auto& tree : trees_) {
      out += StrCat("n", VersionOf(tree));
    }
    std::vector<std::string> in_flight;
    for (const auto& it : calls_) {
      in_flight.push_back(
          StrCat("c", it.op, "/", it.number, it.late ? "L" : ""));
    }
    for (const auto& it : deliveries_) {
      in_flight.push_back(StrCat("d", it.node, "/", it.row.version));
    }
    std::sort(in_flight.begin(), in_flight.end());
    for (const auto& it : in_flight) {
      out += it + ";";
    }
    return out;
  }

 private:
  struct Call {
    int op = 0;
    int number = 0;
    std::vector<StoreOp> ops;
    // The operator received no answer; the write may be applied later.
    bool late = false;
  };
  struct Delivery {
    int node = 0;
    StoreRow row;
  };

  static SettingsVersion VersionOf(const SettingsPtr& tree) {
    const Branch* branch = tree->FindBranch(kBranch);
    return branch == nullptr ? 0 : branch->version;
  }

  // Whether the change of operator `n` is a version of the branch.
  bool IsWritten(int n) const {
    for (const auto& [key, row] : rows_) {
      const auto entry = DecodeHistory(row);
      if (key.starts_with(kHistoryPrefix) && entry.ok() &&
          entry->json == BodyOf(n)) {
        return true;
      }
    }
    return false;
  }

  StoreAnswer ApplyStore(const Call& call) {
    StoreAnswer answer;
    for (const auto& op : call.ops) {
      const StoreRow row = Row(op.key);
      const bool writes =
          op.kind == StoreOpKind::kInsert || op.kind == StoreOpKind::kUpdate;
      const bool holds =
          !writes ||
          (op.kind == StoreOpKind::kInsert ? row.version == 0
                                           : row.version == op.version) ||
          mutation_ == Mutation::kVersionUncompared;
      if (!holds) {
        answer.rows.push_back(RowSeenBy(call.op, row));
      }
    }
    answer.status =
        answer.rows.empty() ? StoreStatus::kOk : StoreStatus::kConflict;
    if (answer.status == StoreStatus::kOk) {
      for (const auto& op : call.ops) {
        Apply(op, &answer.rows);
      }
    }
    return answer;
  }

  StoreRow Row(const std::string& key) const {
    const auto it = rows_.find(key);
    return it == rows_.end() ? StoreRow{key, "", 0} : it->second;
  }

  // The conflicting row as operator `n` receives it.
  StoreRow RowSeenBy(int n, StoreRow row) const {
    auto entry = DecodeHistory(row);
    if (mutation_ == Mutation::kNonceUncompared && entry.ok()) {
      entry->nonce = 100 + n;
      row.value = EncodeHistory(*entry);
    }
    return row;
  }

  void Apply(const StoreOp& op, std::vector<StoreRow>* rows) {
    if (op.kind == StoreOpKind::kScan) {
      for (const auto& [key, row] : rows_) {
        if (key.starts_with(op.key)) {
          rows->push_back(row);
        }
      }
      return;
    }
    if (op.kind != StoreOpKind::kRead) {
      StoreRow& row = rows_[op.key];
      row.key = op.key;
      row.value = op.value;
      ++row.version;
    }
    rows->push_back(Row(op.key));
  }

  Call Take(std::size_t n) {
    Call call = calls_[n];
    calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(n));
    return call;
  }

  void DeliverAnswer(const Call& call,
                     const std::string& name,
                     const StoreAnswer& answer) {
    histories_[call.op] += name;
    for (const auto& row : answer.rows) {
      histories_[call.op] += StrCat("/", row.key, row.version, row.value);
    }
    operators_[call.op].OnAnswer(answer);
  }

  void AddCallSteps(std::size_t n, std::vector<Step>* steps) {
    const std::string name =
        StrCat("call ", calls_[n].number, " of operator ", calls_[n].op, ": ");
    if (calls_[n].late) {
      steps->push_back(
          {name + "is applied late", [this, n] { ApplyStore(Take(n)); }});
      return;
    }
    steps->push_back({name + "answered", [this, n] {
                        const Call call = Take(n);
                        DeliverAnswer(call, "ok", ApplyStore(call));
                      }});
    if (faults_ == kMaxFaults) {
      return;
    }
    steps->push_back({name + "takes effect, answer lost", [this, n] {
                        ++faults_;
                        const Call call = Take(n);
                        ApplyStore(call);
                        DeliverAnswer(call, "lost", {});
                      }});
    steps->push_back({name + "no answer, may be applied later", [this, n] {
                        ++faults_;
                        Call call = Take(n);
                        call.late = true;
                        calls_.push_back(call);
                        DeliverAnswer(call, "lost", {});
                      }});
    steps->push_back(
        {name + "refused", [this, n] {
           ++faults_;
           DeliverAnswer(Take(n), "down", {StoreStatus::kUnavailable, {}});
         }});
  }

  void Deliver(std::size_t n) {
    const Delivery it = deliveries_[n];
    deliveries_.erase(deliveries_.begin() + static_cast<std::ptrdiff_t>(n));
    SettingsPtr& tree = trees_[it.node];
    const SettingsVersion before = VersionOf(tree);
    Branch branch = *ParseBranch(kBranch, it.row.version, it.row.value);
    const Settings empty;
    const Settings& base =
        mutation_ == Mutation::kNodeVersionUncompared ? empty : *tree;
    if (auto next = base.With(std::move(branch))) {
      tree = std::move(next);
    }
    version_decreased_ = version_decreased_ || VersionOf(tree) < before;
  }

  const Mutation mutation_;
  std::vector<SettingsWrite> operators_;
  std::array<std::string, kOperators> histories_;
  std::array<int, kOperators> numbers_{};
  std::array<SettingsPtr, kNodes> trees_;
  std::map<std::string, StoreRow> rows_;
  std::vector<Call> calls_;
  std::vector<Delivery> deliveries_;
  int faults_ = 0;
  int reads_ = 0;
  bool version_decreased_ = false;
};

std::vector<Step> SettingsWorld::Steps() {
  std::vector<Step> steps;
  for (int n = 0; n < kOperators; ++n) {
    const bool waits =
        std::any_of(calls_.begin(), calls_.end(),
                    [n](const Call& it) { return it.op == n && !it.late; });
    if (!operators_[n].result() && !waits) {
      steps.push_back(
          {StrCat("operator ", n, " calls the table"), [this, n] {
             calls_.push_back({n, ++numbers_[n], operators_[n].Next()});
           }});
    }
  }
  const StoreRow row = Row(SettingsRowKey(kBranch));
  for (int n = 0; n < kNodes && reads_ < kMaxReads && row.version > 0; ++n) {
    steps.push_back(
        {StrCat("node ", n, " reads version ", row.version), [this, n, row] {
           ++reads_;
           deliveries_.push_back({n, row});
         }});
  }
  for (std::size_t n = 0; n < calls_.size(); ++n) {
    AddCallSteps(n, &steps);
  }
  for (std::size_t n = 0; n < deliveries_.size(); ++n) {
    steps.push_back({StrCat("node ", deliveries_[n].node, " takes version ",
                            deliveries_[n].row.version),
                     [this, n] { Deliver(n); }});
  }
  return steps;
}

Exploration ExploreSettings(Mutation mutation) {
  auto out =
      Explore([mutation] { return std::make_unique<SettingsWorld>(mutation); },
              kMaxStates);
  std::cout << "states " << out.states << ", steps " << out.steps
            << (out.complete ? "" : ", not complete") << "\n"
            << TraceText(out) << (out.violation.empty() ? "" : "\n");
  return out;
}

// One operator wins and the other's result says so, whatever answers are lost
// or writes are applied late; no node returns to an older version.
TEST(SettingsModelTest, OneOperatorWinsInAnyInterleaving) {
  const auto out = ExploreSettings(Mutation::kNone);
  EXPECT_EQ(out.violation, "") << TraceText(out);
  EXPECT_TRUE(out.complete);
}

// Without the version condition of the write, the second change overwrites the
// first one.
TEST(SettingsModelTest, FindsTheUncomparedVersion) {
  EXPECT_NE(ExploreSettings(Mutation::kVersionUncompared).violation, "");
}

// Without the nonce, an operator takes the winner's change for its own.
TEST(SettingsModelTest, FindsTheUncomparedNonce) {
  EXPECT_NE(ExploreSettings(Mutation::kNonceUncompared).violation, "");
}

// Without its own comparison, a node applies an answer that is older than its
// settings.
TEST(SettingsModelTest, FindsTheNodeThatGoesBack) {
  EXPECT_NE(ExploreSettings(Mutation::kNodeVersionUncompared).violation, "");
}

}  // namespace
}  // namespace acaciachute
