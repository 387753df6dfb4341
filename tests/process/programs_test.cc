// Process tests of the command lines of acaciachuted and acaciachutectl: output
// and exit codes.
#include <glib/gstdio.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

#include "tests/process/harness.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

// A temporary file; the destructor removes it.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    gchar* path = nullptr;
    const int fd = g_file_open_tmp("acaciachute-XXXXXX", &path, nullptr);
    close(fd);
    path_ = path;
    g_free(path);
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { g_remove(path_.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

ProgramResult Daemon(const std::vector<std::string>& args) {
  return RunProgram(ACACIACHUTE_BIN_DIR "/acaciachuted", args);
}

TEST(DaemonProgramTest, WrongSettingsAreAllNamedAtOnce) {
  const TemporaryFile file(
      R"({"role":"cook","node":"","frame_key":"short","extra":1,
          "listen":{"ip":"localhost","port":70000}})");
  const auto result = Daemon({"--settings", file.path()});
  EXPECT_EQ(result.exit_code, 2);
  for (const char* it : {"/role: found \"cook\"", "/node: found \"\"",
                         "/frame_key: found \"short\"", "/listen/ip: found",
                         "/listen/port: found 70000", "extra"}) {
    EXPECT_TRUE(Contains(result.errors, it)) << it << "\n" << result.errors;
  }
}

TEST(DaemonProgramTest, RolesNeedTheirMembers) {
  const TemporaryFile file(R"({"role":"sidecar","node":"s",
      "frame_key":"0123456789abcdef0123456789abcdef",
      "listen":{"ip":"127.0.0.1","port":0}})");
  const auto result = Daemon({"--settings", file.path(), "--check-settings"});
  EXPECT_EQ(result.exit_code, 2);
  EXPECT_TRUE(Contains(result.errors, "/upstream: found nothing"))
      << result.errors;
}

TEST(DaemonProgramTest, CheckSettingsOnlyChecks) {
  const TemporaryFile file(R"({"role":"sidecar","node":"s",
      "frame_key":"0123456789abcdef0123456789abcdef",
      "listen":{"ip":"127.0.0.1","port":0},
      "upstream":{"url":"http://127.0.0.1:1"}})");
  const auto result = Daemon({"--settings", file.path(), "--check-settings"});
  EXPECT_EQ(result.exit_code, 0) << result.errors;
  EXPECT_TRUE(Contains(result.output, ": ok"));
}

TEST(DaemonProgramTest, CommandLineMistakesExitWithTwo) {
  EXPECT_EQ(Daemon({}).exit_code, 2);
  EXPECT_EQ(Daemon({"--no-such-option"}).exit_code, 2);
  EXPECT_EQ(Daemon({"--settings", "/no/such/file"}).exit_code, 2);
  EXPECT_EQ(Daemon({"--help"}).exit_code, 0);
  EXPECT_EQ(Daemon({"--version"}).exit_code, 0);
}

class CtlTest : public testing::Test {
 protected:
  CtlTest()
      : deployment_(ACACIACHUTE_BIN_DIR,
                    {{"orders", "service"}, {"generators", "generate"}},
                    1) {}

  ProgramResult Ctl(std::vector<std::string> args) {
    args.insert(args.begin(),
                {"--platform", deployment_.platform->url(), "--entry",
                 deployment_.entries[0]->url(), "--output", "json"});
    return RunProgram(ACACIACHUTE_BIN_DIR "/acaciachutectl", args);
  }

  Json CtlJson(const std::vector<std::string>& args) {
    const auto result = Ctl(args);
    EXPECT_EQ(result.exit_code, 0) << result.errors << result.output;
    return Json::parse(result.output, nullptr, false);
  }

  Deployment deployment_;
};

TEST_F(CtlTest, MistakesAreOneLineAndExitWithTwo) {
  for (const auto& args : std::vector<std::vector<std::string>>{
           {"evnt", "list"},
           {"settings", "get"},
           {"settings", "diff", "a", "x", "2"},
           {"event", "create", "b", "e", "--file", "/no/such/file"},
           {"event", "list", "--output", "xml"}}) {
    const auto result = Ctl(args);
    EXPECT_EQ(result.exit_code, 2) << args[0];
    EXPECT_EQ(std::count(result.errors.begin(), result.errors.end(), '\n'), 1)
        << result.errors;
  }
}

TEST_F(CtlTest, EventGoesFromCreationToItsFirstAnswer) {
  ASSERT_TRUE(deployment_.WaitReady());
  const TemporaryFile event(R"({"max_deadline_ms":4000,"accounts":["office"],
      "stages":[{"pool":"orders"},{"pool":"generators"}]})");
  const auto created = CtlJson({"event", "create", "office", "round-0600",
                                "--file", event.path(), "--team", "office"});
  EXPECT_EQ(created["outcome"], "accepted");
  EXPECT_EQ(created["version"], 1);
  EXPECT_EQ(CtlJson({"event", "show", "round-0600"})["branch"], "office");
  ASSERT_TRUE(deployment_.WaitFor(
      [&] {
        const auto status =
            deployment_.Get(deployment_.entries[0]->url() + "/status");
        return Contains(status.body, "\"office\"");
      },
      20 * kSecond));
  const auto answer =
      CtlJson({"request", "send", "round-0600", "--body", R"({"a":1})",
               "--token", Deployment::kToken, "--class", "urgent"});
  EXPECT_EQ(answer["body"]["stage"], "generate");
  const auto cost = CtlJson({"cost"});
  ASSERT_EQ(cost.size(), 2U);
  EXPECT_EQ(cost[0]["event"], "round-0600");
  EXPECT_EQ(cost[0]["requests"], 1);
  const std::string trace =
      answer["traceparent"].get<std::string>().substr(3, 32);
  EXPECT_GE(CtlJson({"trace", "show", trace}).size(), 3U);
  for (const auto& it : CtlJson({"explain", "round-0600"})) {
    EXPECT_EQ(it["verdict"], "would run");
  }
}

// Two operators edit version 1. The second write is refused with the version
// that was written first. A rollback then creates a new version with the old
// content and never reuses the old version number.
TEST_F(CtlTest, RacingChangeIsRefusedAndRollbackIsANewVersion) {
  const TemporaryFile first(R"({"owner":"office","events":{}})");
  const TemporaryFile second(R"({"owner":"office","events":{},"accounts":{}})");
  const auto set = [&](const TemporaryFile& file, const std::string& base) {
    return Ctl({"settings", "set", "office", "--team", "office", "--file",
                file.path(), "--base", base});
  };
  CtlJson({"settings", "set", "office", "--team", "office", "--file",
           first.path()});
  EXPECT_EQ(set(second, "1").exit_code, 0);
  const auto lost = set(first, "1");
  EXPECT_EQ(lost.exit_code, 3);
  EXPECT_EQ(Json::parse(lost.output)["version"], 2);
  EXPECT_EQ(CtlJson({"settings", "rollback", "office", "1", "--team",
                     "office"})["version"],
            3);
  EXPECT_EQ(CtlJson({"settings", "diff", "office", "1", "3"}).size(), 0U);
  EXPECT_EQ(CtlJson({"settings", "diff", "office", "1", "2"}).size(), 1U);
  EXPECT_EQ(CtlJson({"settings", "history", "office"}).size(), 3U);
  EXPECT_EQ(
      Ctl({"settings", "rollback", "office", "1", "--team", "depot"}).exit_code,
      6);
}

TEST_F(CtlTest, DryRunWritesNothing) {
  const TemporaryFile file(R"({"owner":"office","events":{}})");
  const auto shown = CtlJson({"settings", "set", "office", "--team", "office",
                              "--file", file.path(), "--dry-run"});
  EXPECT_EQ(shown["written"], false);
  EXPECT_EQ(Ctl({"settings", "get", "office"}).exit_code, 1);
}

// The platform applies a change but its answer is lost. The tool reads the
// branch back and reports that the change was accepted as one version.
TEST_F(CtlTest, LostAnswerToAChangeIsSettled) {
  const TemporaryFile file(R"({"owner":"office","events":{}})");
  deployment_.Post(deployment_.platform->url() + "/faults",
                   R"({"lose_answers":1})");
  const auto set = CtlJson(
      {"settings", "set", "office", "--team", "office", "--file", file.path()});
  EXPECT_EQ(set["outcome"], "accepted");
  EXPECT_EQ(set["version"], 1);
}

TEST_F(CtlTest, QuarantineIsListedAndAnUnknownOneIsNotLifted) {
  EXPECT_EQ(CtlJson({"quarantine", "list"}).size(), 0U);
  EXPECT_EQ(Ctl({"quarantine", "lift", "1f"}).exit_code, 1);
}

TEST_F(CtlTest, PlatformDownIsSaid) {
  deployment_.Post(deployment_.platform->url() + "/faults", R"({"down":true})");
  EXPECT_EQ(Ctl({"event", "list"}).exit_code, 4);
}

}  // namespace
}  // namespace acaciachute
