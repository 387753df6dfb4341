// Arguments and exit codes of the commands of acaciachutectl.
#ifndef ACACIACHUTE_SRC_CTL_COMMAND_H_
#define ACACIACHUTE_SRC_CTL_COMMAND_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/output.h"
#include "types.h"

namespace acaciachute {

enum class ExitCode {
  kOk = 0,
  kFailed = 1,       // The request was refused, or nothing was found.
  kUsage = 2,        // Invalid command line or file; nothing was sent.
  kLostRace = 3,     // A concurrent change won; nothing was written.
  kUnavailable = 4,  // The platform or the entry does not answer.
  kUnknown = 5,      // It is not known whether the change was accepted.
  kNotOwner = 6,     // The branch belongs to another team.
};

struct Command {
  // Positional arguments after the command's name.
  std::vector<std::string> words;
  OutputFormat format = OutputFormat::kTable;
  std::string platform_url;
  std::vector<std::string> entry_urls;
  std::string team;
  std::string file;
  std::string body;
  std::string token;
  std::string caller_class;
  std::string key;
  std::string note;
  std::int64_t deadline_ms = 0;
  // Version that the change must replace; zero: the current one.
  SettingsVersion base = 0;
  bool dry_run = false;
  bool stream = false;
};

// Prints an error message on standard error and returns `code`.
ExitCode PrintError(ExitCode code, std::string_view text);

struct CommandInfo {
  std::size_t min_words;
  std::size_t max_words;
  std::string_view usage;
  ExitCode (*run)(const Command&);
};

using CommandTable = std::map<std::string, CommandInfo, std::less<>>;

void AddSettingsCommands(CommandTable* table);
void AddEventCommands(CommandTable* table);
void AddRequestCommands(CommandTable* table);
void AddViewCommands(CommandTable* table);
void AddQuarantineCommands(CommandTable* table);
void AddGatewayCommands(CommandTable* table);
void AddLoadCommands(CommandTable* table);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_CTL_COMMAND_H_
