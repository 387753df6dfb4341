// What every command of acaciachutectl gets, and its exit codes.
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
  kFailed = 1,       // Answered, but with a refusal or nothing found.
  kUsage = 2,        // The command line or a file is wrong; nothing was sent.
  kLostRace = 3,     // Another change won; nothing was written.
  kUnavailable = 4,  // The platform or the entry does not answer.
  kUnknown = 5,      // The change may have been accepted.
  kNotOwner = 6,     // The branch belongs to another team.
};

struct Command {
  // Words after the command's name.
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
  SettingsVersion base = 0;  // Zero: the version found.
  bool dry_run = false;
  bool stream = false;
};

// Prints one line on standard error.
ExitCode Complain(ExitCode code, std::string_view text);

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
