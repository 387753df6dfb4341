// acaciachutectl: the operators' command line.
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/platform_table.h"
#include "state/settings.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitConflict = 3;
constexpr int kExitUnavailable = 4;

using Args = cxxopts::ParseResult;

std::string Option(const Args& args, const char* name) {
  return args.count(name) > 0 ? args[name].as<std::string>() : "";
}

int Usage(std::string_view text) {
  std::cerr << "acaciachutectl: " << text << "\n";
  return kExitUsage;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

int SettingsGet(const Args& args, const std::vector<std::string>& words) {
  PlatformTable table(Option(args, "platform"));
  const auto answer =
      table.Transact({{StoreOpKind::kRead, "settings/" + words[2], "", 0}});
  if (answer.status != StoreStatus::kOk || answer.rows.empty()) {
    std::cerr << "acaciachutectl: the platform's table does not answer\n";
    return kExitUnavailable;
  }
  std::cout << answer.rows[0].value << "\n";
  std::cerr << "version " << answer.rows[0].version << "\n";
  return answer.rows[0].version == 0 ? kExitFailed : 0;
}

int SettingsSet(const Args& args, const std::vector<std::string>& words) {
  const std::string json = ReadFile(Option(args, "file"));
  const auto branch = ParseBranch(words[2], 1, json);
  if (!branch.ok()) {
    std::cerr << "acaciachutectl: " << branch.status().message() << "\n";
    return kExitUsage;
  }
  PlatformTable table(Option(args, "platform"));
  const std::string key = "settings/" + words[2];
  const auto read = table.Transact({{StoreOpKind::kRead, key, "", 0}});
  if (read.status != StoreStatus::kOk || read.rows.empty()) {
    std::cerr << "acaciachutectl: the platform's table does not answer\n";
    return kExitUnavailable;
  }
  const auto version = read.rows[0].version;
  const auto kind = version == 0 ? StoreOpKind::kInsert : StoreOpKind::kUpdate;
  const auto written = table.Transact({{kind, key, json, version}});
  if (written.status == StoreStatus::kConflict) {
    std::cerr << "acaciachutectl: another change won, version "
              << written.rows[0].version << "\n";
    return kExitConflict;
  }
  if (written.status != StoreStatus::kOk) {
    std::cerr << "acaciachutectl: not known whether the change was accepted\n";
    return kExitUnavailable;
  }
  std::cout << "version " << written.rows[0].version << "\n";
  return 0;
}

int RequestSend(const Args& args, const std::vector<std::string>& words) {
  HttpRequest request;
  request.method = "POST";
  request.url =
      StrCat(Option(args, "entry"), "/v1/events/", words[2], "/requests");
  request.body = Option(args, "body");
  request.headers = {{"Authorization", "Bearer " + Option(args, "token")},
                     {"Acaciachute-Class", Option(args, "class")}};
  if (args.count("key") > 0) {
    request.headers.emplace_back("Idempotency-Key", Option(args, "key"));
    request.headers.emplace_back("Acaciachute-Idempotent", "false");
  }
  if (args.count("stream") > 0) {
    request.headers.emplace_back("Accept", "text/event-stream");
  }
  const HttpResult result = CallAndWait(request);
  std::cout << "HTTP " << result.status << "\n";
  for (const auto& [name, value] : result.headers) {
    std::cout << name << ": " << value << "\n";
  }
  std::cout << "\n" << result.body << "\n";
  return result.status == 200 && result.whole ? 0 : kExitFailed;
}

int Status(const Args& args, const std::vector<std::string>&) {
  HttpRequest request;
  request.url = StrCat(Option(args, "entry"), "/status");
  const HttpResult result = CallAndWait(request);
  std::cout << result.body << "\n";
  return result.status == 200 ? 0 : kExitUnavailable;
}

struct Command {
  std::size_t words;
  int (*run)(const Args&, const std::vector<std::string>&);
};

const std::map<std::string, Command>& Commands() {
  static const auto* const kCommands = new std::map<std::string, Command>{
      {"settings get", {3, SettingsGet}},
      {"settings set", {3, SettingsSet}},
      {"request send", {3, RequestSend}},
      {"status", {1, Status}},
  };
  return *kCommands;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("acaciachutectl", "Operates acaciachute.");
  options.add_options()("platform", "Base URL of the platform",
                        cxxopts::value<std::string>())(
      "entry", "Base URL of an entry", cxxopts::value<std::string>())(
      "file", "JSON file", cxxopts::value<std::string>())(
      "body", "Request body", cxxopts::value<std::string>())(
      "token", "Bearer token", cxxopts::value<std::string>())(
      "class", "urgent or patient",
      cxxopts::value<std::string>()->default_value("patient"))(
      "key", "Idempotency key", cxxopts::value<std::string>())(
      "stream", "Stream the answer")("help", "Print this help")(
      "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  options.positional_help("COMMAND ...");
  try {
    const Args args = options.parse(argc, argv);
    if (args.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (args.count("words") == 0) {
      return Usage("a command is required, see --help");
    }
    const auto words = args["words"].as<std::vector<std::string>>();
    for (const auto& [name, command] : Commands()) {
      const bool one = words[0] == name;
      const bool two = words.size() > 1 && words[0] + " " + words[1] == name;
      if (one || two) {
        return words.size() == command.words
                   ? command.run(args, words)
                   : Usage("wrong number of words for " + name);
      }
    }
    return Usage("no such command: " + words[0]);
  } catch (const cxxopts::exceptions::exception& e) {
    return Usage(e.what());
  }
}

}  // namespace
}  // namespace acaciachute

int main(int argc, char** argv) {
  return acaciachute::Main(argc, argv);
}
