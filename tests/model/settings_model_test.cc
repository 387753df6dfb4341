// Every interleaving of two operators who change one branch and two nodes that
// read it. Operators and nodes decide by the real `SettingsWrite` and
// `Settings::With`; the table and what is lost or late are the model's.
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

// Safeguards that a mutation takes away.
enum class Mutation {
  kNone,
  kVersionUncompared,      // The table takes a write at any version.
  kNonceUncompared,        // An operator takes every history row for its own.
  kNodeVersionUncompared,  // A node applies whatever it reads.
};

constexpr int kOperators = 2;
constexpr int kNodes = 1;
constexpr int kMostFaults = 2;
constexpr int kMostReads = 2;
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
      const bool stands = Stands(n);
      if (result->outcome == WriteOutcome::kAccepted &&
          (!stands || ++accepted[result->version] > 1)) {
        return StrCat("operator ", n, " told accepted, but is not in force");
      }
      if (result->outcome != WriteOutcome::kAccepted &&
          result->outcome != WriteOutcome::kUnknown && stands) {
        return StrCat("operator ", n, " told ", Name(result->outcome),
                      ", but the change is in force");
      }
    }
    return went_down_ ? "a node's version went down" : "";
  }

  std::string Signature() const {
    std::string out = StrCat(faults_, " ", reads_, went_down_ ? "!" : "", ";");
    for (const auto& it : histories_) {
      out += it + ";";
    }
    for (const auto& [key, row] : rows_) {
      out += StrCat(key, "=", row.version, row.value, ";");
    }
    for (const auto& tree : trees_) {
      out += StrCat("n", VersionOf(tree));
    }
    std::vector<std::string> moving;
    for (const auto& it : calls_) {
      moving.push_back(StrCat("c", it.op, "/", it.number, it.late ? "L" : ""));
    }
    for (const auto& it : deliveries_) {
      moving.push_back(StrCat("d", it.node, "/", it.row.version));
    }
    std::sort(moving.begin(), moving.end());
    for (const auto& it : moving) {
      out += it + ";";
    }
    return out;
  }

 private:
  struct Call {
    int op = 0;
    int number = 0;
    std::vector<StoreOp> ops;
    bool late = false;  // Its operator was told nothing; it lands some day.
  };
  struct Delivery {
    int node = 0;
    StoreRow row;
  };

  static SettingsVersion VersionOf(const SettingsPtr& tree) {
    const Branch* branch = tree->FindBranch(kBranch);
    return branch == nullptr ? 0 : branch->version;
  }

  // Whether the change of operator `n` is some version of the branch.
  bool Stands(int n) const {
    for (const auto& [key, row] : rows_) {
      const auto entry = DecodeHistory(row);
      if (key.starts_with(kHistoryPrefix) && entry.ok() &&
          entry->json == BodyOf(n)) {
        return true;
      }
    }
    return false;
  }

  StoreAnswer Effect(const Call& call) {
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
        answer.rows.push_back(Seen(call.op, row));
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

  // A conflicting row as operator `n` compares it.
  StoreRow Seen(int n, StoreRow row) const {
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

  void Tell(const Call& call,
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
      steps->push_back({name + "lands late", [this, n] { Effect(Take(n)); }});
      return;
    }
    steps->push_back({name + "answered", [this, n] {
                        const Call call = Take(n);
                        Tell(call, "ok", Effect(call));
                      }});
    if (faults_ == kMostFaults) {
      return;
    }
    steps->push_back({name + "takes effect, answer lost", [this, n] {
                        ++faults_;
                        const Call call = Take(n);
                        Effect(call);
                        Tell(call, "lost", {});
                      }});
    steps->push_back({name + "no answer, may land later", [this, n] {
                        ++faults_;
                        Call call = Take(n);
                        call.late = true;
                        calls_.push_back(call);
                        Tell(call, "lost", {});
                      }});
    steps->push_back({name + "refused", [this, n] {
                        ++faults_;
                        Tell(Take(n), "down", {StoreStatus::kUnavailable, {}});
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
    went_down_ = went_down_ || VersionOf(tree) < before;
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
  bool went_down_ = false;
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
  for (int n = 0; n < kNodes && reads_ < kMostReads && row.version > 0; ++n) {
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
            << (out.whole ? "" : ", not whole") << "\n"
            << TraceText(out) << (out.violation.empty() ? "" : "\n");
  return out;
}

// One operator wins and the other is told so, whatever answers are lost or
// writes land late; no node goes back to an older version.
TEST(SettingsModelTest, OneOperatorWinsInAnyInterleaving) {
  const auto out = ExploreSettings(Mutation::kNone);
  EXPECT_EQ(out.violation, "") << TraceText(out);
  EXPECT_TRUE(out.whole);
}

// Without the version on the write, the second change is accepted unseen.
TEST(SettingsModelTest, FindsTheUncomparedVersion) {
  EXPECT_NE(ExploreSettings(Mutation::kVersionUncompared).violation, "");
}

// Without the nonce, an operator takes the winner's change for its own.
TEST(SettingsModelTest, FindsTheUncomparedNonce) {
  EXPECT_NE(ExploreSettings(Mutation::kNonceUncompared).violation, "");
}

// Without its own comparison, a node applies an answer that was overtaken.
TEST(SettingsModelTest, FindsTheNodeThatGoesBack) {
  EXPECT_NE(ExploreSettings(Mutation::kNodeVersionUncompared).violation, "");
}

}  // namespace
}  // namespace acaciachute
