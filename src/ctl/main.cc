// acaciachutectl: the command-line program for operators.
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "ctl/command.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr char kVersion[] = "acaciachutectl 0.1.0";

constexpr char kExitCodes[] =
    "Exit codes: 0 success, 1 refused or not found, 2 invalid command line "
    "or file,\n"
    "3 a concurrent change won, 4 platform or entry does not answer, 5 not "
    "known\n"
    "whether the change was accepted, 6 the branch belongs to another team.\n";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("acaciachutectl", "Operates acaciachute.");
  const auto text = [] { return cxxopts::value<std::string>(); };
  options.add_options()("platform", "Base URL of the platform", text(), "URL")(
      "entry", "Base URLs of entries, or of any process for traces",
      cxxopts::value<std::vector<std::string>>(),
      "URL,...")("team", "Team that makes the change", text())(
      "file", "JSON file", text(), "FILE")("body", "Body of a request", text(),
                                           "JSON")(
      "token", "Bearer token", text())("class", "urgent or patient",
                                       text()->default_value("patient"))(
      "deadline-ms", "Deadline of a request in ms",
      cxxopts::value<std::int64_t>()->default_value("0"),
      "MS")("key", "Idempotency key; makes the request non-idempotent", text())(
      "note", "Why the change is made", text())(
      "base", "Version that the change must replace",
      cxxopts::value<SettingsVersion>(),
      "VERSION")("output", "table or json", text()->default_value("table"))(
      "dry-run", "Show what a change would do")("stream", "Stream the answer")(
      "version", "Print the version")("help", "Print this help")(
      "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  options.positional_help("COMMAND ...");
  return options;
}

std::string TextOf(const cxxopts::ParseResult& args, const char* name) {
  return args.count(name) > 0 || args[name].has_default()
             ? args[name].as<std::string>()
             : "";
}

Command MakeCommand(const cxxopts::ParseResult& args) {
  Command command;
  command.platform_url = TextOf(args, "platform");
  command.team = TextOf(args, "team");
  command.file = TextOf(args, "file");
  command.body = TextOf(args, "body");
  command.token = TextOf(args, "token");
  command.caller_class = TextOf(args, "class");
  command.key = TextOf(args, "key");
  command.note = TextOf(args, "note");
  command.deadline_ms = args["deadline-ms"].as<std::int64_t>();
  command.dry_run = args.count("dry-run") > 0;
  command.stream = args.count("stream") > 0;
  if (args.count("base") > 0) {
    command.base = args["base"].as<SettingsVersion>();
  }
  if (args.count("entry") > 0) {
    command.entry_urls = args["entry"].as<std::vector<std::string>>();
  }
  return command;
}

ExitCode RunCommand(const CommandTable& table,
                    const cxxopts::ParseResult& args) {
  const auto words = args["words"].as<std::vector<std::string>>();
  Command command = MakeCommand(args);
  const auto format =
      detail::ValueIn<OutputFormat>(kOutputFormatNames, TextOf(args, "output"));
  if (!format) {
    return PrintError(ExitCode::kUsage, "--output must be table or json");
  }
  command.format = *format;
  // Prefers names of two words: "trace show" is tried before "trace".
  for (std::size_t n = std::min<std::size_t>(2, words.size()); n > 0; --n) {
    const auto it = table.find(n == 2 ? words[0] + " " + words[1] : words[0]);
    if (it == table.end()) {
      continue;
    }
    command.words.assign(words.begin() + static_cast<std::ptrdiff_t>(n),
                         words.end());
    const CommandInfo& info = it->second;
    if (command.words.size() < info.min_words ||
        command.words.size() > info.max_words) {
      return PrintError(ExitCode::kUsage, StrCat("usage: ", info.usage));
    }
    return info.run(command);
  }
  return PrintError(ExitCode::kUsage,
                    StrCat("no command \"", words[0], "\"; see --help"));
}

int Main(int argc, char** argv) {
  CommandTable table;
  AddSettingsCommands(&table);
  AddEventCommands(&table);
  AddRequestCommands(&table);
  AddViewCommands(&table);
  AddQuarantineCommands(&table);
  AddGatewayCommands(&table);
  AddLoadCommands(&table);
  cxxopts::Options options = MakeOptions();
  try {
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0) {
      std::cout << options.help() << "\nCommands:\n";
      for (const auto& [unused, info] : table) {
        std::cout << "  " << info.usage << "\n";
      }
      std::cout << "\n" << kExitCodes;
      return 0;
    }
    if (args.count("version") > 0) {
      std::cout << kVersion << "\n";
      return 0;
    }
    if (args.count("words") == 0) {
      return static_cast<int>(
          PrintError(ExitCode::kUsage, "a command is required; see --help"));
    }
    return static_cast<int>(RunCommand(table, args));
  } catch (const cxxopts::exceptions::exception& e) {
    return static_cast<int>(PrintError(ExitCode::kUsage, e.what()));
  }
}

}  // namespace
}  // namespace acaciachute

int main(int argc, char** argv) {
  return acaciachute::Main(argc, argv);
}
