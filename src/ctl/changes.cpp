#include "ctl/commands.h"
#include "ctl/exit_codes.h"
#include "ctl/text.h"
#include "vanillahatch/shell/system_clock.h"

#include <google/protobuf/util/json_util.h>
#include <random>

namespace vanillahatch::ctl {

namespace {

std::string NewChangeId()
{
  std::random_device source;
  std::string id = "vhctl";
  for (int i = 0; i < 4; ++i) {
    id += "-" + std::to_string(source());
  }
  return id;
}

int ExitCodeOf(v1::ChangeStatus aStatus)
{
  switch (aStatus) {
    case v1::CHANGE_ACCEPTED:
      return kOk;
    case v1::CHANGE_CONFLICT:
      return kConflict;
    case v1::CHANGE_INVALID:
      return kRefused;
    default:
      return kUnreachable;
  }
}

int Propose(CommandContext& aContext, v1::Change aChange)
{
  const CommandLine& line = aContext.line_;
  aChange.set_change_id(line.changeId_.empty() ? NewChangeId()
                                               : line.changeId_);
  aChange.set_author(line.author_.empty() ? "operator" : line.author_);
  aChange.set_proposed_at_unix_ms(SystemClock().UnixNow().Count());
  if (line.expectedRevision_) {
    aChange.set_expected_revision(*line.expectedRevision_);
  }
  const v1::ChangeReply reply = aContext.api_.Propose(aChange);
  const int code = ExitCodeOf(reply.status());
  if (line.json_) {
    std::string text;
    const auto status =
      google::protobuf::util::MessageToJsonString(reply, &text);
    aContext.out_ << (status.ok() ? text : "{}") << "\n";
    return code;
  }
  if (code == kOk) {
    aContext.out_ << "accepted as revision " << reply.revision() << "\n";
    return code;
  }
  aContext.err_ << "vhctl: " << v1::ChangeStatus_Name(reply.status()) << ": "
                << reply.detail() << "\n";
  if (code == kConflict) {
    aContext.err_ << "current value: " << reply.current() << "\n";
  }
  if (code == kUnreachable) {
    aContext.err_ << "the outcome is unknown; repeat the command with "
                     "--change-id "
                  << aChange.change_id() << "\n";
  }
  return code;
}

// The Unix time in ms that the option gives; prints a message and returns
// nothing if it is invalid.
std::optional<int64_t> ParseTimeOption(CommandContext& aContext,
                                       std::string_view aOption,
                                       const std::string& aText)
{
  const auto time = ParseTime(aText, SystemClock().UnixNow());
  if (!time) {
    aContext.err_ << "vhctl: --" << aOption << ": \"" << aText
                  << "\" is not a valid time\n"
                  << UsageText();
    return std::nullopt;
  }
  return time->Count();
}

int CreatePool(CommandContext& aContext)
{
  const CommandLine& line = aContext.line_;
  v1::Change change;
  v1::PoolContract& pool = *change.mutable_put_pool();
  pool.set_name(line.words_[2]);
  pool.set_service(line.service_);
  pool.set_floor(line.floor_);
  pool.set_ceiling(line.ceiling_);
  pool.set_max_unavailable(line.maxUnavailable_);
  pool.set_priority(line.priority_);
  pool.set_rack_spread(line.rackSpread_);
  pool.set_spare(line.spare_);
  return Propose(aContext, std::move(change));
}

int SetDefault(CommandContext& aContext)
{
  v1::Change change;
  change.mutable_set_default()->set_setting(aContext.line_.words_[2]);
  change.mutable_set_default()->set_value(aContext.line_.words_[3]);
  return Propose(aContext, std::move(change));
}

int AddException(CommandContext& aContext)
{
  const CommandLine& line = aContext.line_;
  const auto until = ParseTimeOption(aContext, "until", line.until_);
  if (!until) {
    return kUsage;
  }
  v1::Change change;
  v1::Exception& exception = *change.mutable_add_exception();
  exception.set_name(line.words_[2]);
  exception.set_reason(line.reason_);
  exception.set_ends_at_unix_ms(*until);
  exception.set_scope(line.scope_);
  exception.set_setting(line.setting_);
  exception.set_value(line.value_);
  return Propose(aContext, std::move(change));
}

int RemoveException(CommandContext& aContext)
{
  v1::Change change;
  change.mutable_remove_exception()->set_name(aContext.line_.words_[2]);
  return Propose(aContext, std::move(change));
}

int StartMaintenance(CommandContext& aContext)
{
  const CommandLine& line = aContext.line_;
  const auto until = ParseTimeOption(aContext, "until", line.until_);
  const auto starts = line.starts_.empty()
                        ? std::optional(SystemClock().UnixNow().Count())
                        : ParseTimeOption(aContext, "starts", line.starts_);
  if (!until || !starts) {
    return kUsage;
  }
  v1::Change change;
  v1::Maintenance& maintenance = *change.mutable_start_maintenance();
  maintenance.set_name(line.words_[2]);
  maintenance.set_scope(line.scope_);
  maintenance.set_reason(line.reason_);
  maintenance.set_author(line.author_.empty() ? "operator" : line.author_);
  maintenance.set_starts_at_unix_ms(*starts);
  maintenance.set_ends_at_unix_ms(*until);
  return Propose(aContext, std::move(change));
}

int EndMaintenance(CommandContext& aContext)
{
  v1::Change change;
  change.mutable_end_maintenance()->set_name(aContext.line_.words_[2]);
  return Propose(aContext, std::move(change));
}

struct ChangeCommand
{
  const char* group_;
  const char* verb_;
  size_t wordCount_; // including group and verb
  int (*run_)(CommandContext&);
};

constexpr ChangeCommand kCommands[] = {
  { "pool", "create", 3, CreatePool },
  { "default", "set", 4, SetDefault },
  { "exception", "add", 3, AddException },
  { "exception", "remove", 3, RemoveException },
  { "maintenance", "start", 3, StartMaintenance },
  { "maintenance", "end", 3, EndMaintenance },
};

} // namespace

std::optional<int> RunChange(CommandContext& aContext)
{
  const auto& words = aContext.line_.words_;
  for (const ChangeCommand& command : kCommands) {
    if (words.size() == command.wordCount_ && words[0] == command.group_ &&
        words[1] == command.verb_) {
      return command.run_(aContext);
    }
  }
  return std::nullopt;
}

} // namespace vanillahatch::ctl
