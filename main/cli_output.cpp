#include "main/cli_output.h"

#include "core/codec.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <iomanip>
#include <json/reader.h>

namespace damaskglade::cli {

namespace {

constexpr int FirstFailureStatus = 400;

// Nodes send objects, and lists for nodes, workers and history; parseJson
// takes objects only.
std::optional<Json::Value> parseAny(const std::string &Text) {
  const auto Wrapped = parseJson("{\"value\":" + Text + "}", "read reply");
  if (!Wrapped || Wrapped.value().size() != 1)
    return std::nullopt;
  return Wrapped.value()["value"];
}

bool isTable(const Json::Value &Value) {
  return Value.isArray() &&
         std::all_of(Value.begin(), Value.end(),
                     [](const Json::Value &Row) { return Row.isObject(); });
}

// Texts of several lines, such as a configuration, stand below their name.
bool isMultiLine(const Json::Value &Value) {
  return Value.isString() && Value.asString().ends_with('\n');
}

// Columns of all rows by name, but the identifying ones first.
std::vector<std::string> columnsOf(const Json::Value &Rows) {
  std::vector<std::string> Columns;
  for (const Json::Value &Row : Rows)
    for (const std::string &Name : Row.getMemberNames())
      if (std::find(Columns.begin(), Columns.end(), Name) == Columns.end())
        Columns.push_back(Name);
  std::sort(Columns.begin(), Columns.end());
  std::stable_partition(Columns.begin(), Columns.end(),
                        [](const std::string &Name) {
                          return Name == "id" || Name == "version";
                        });
  return Columns;
}

void printTable(std::ostream &Out, const Json::Value &Rows) {
  const std::vector<std::string> Columns = columnsOf(Rows);
  std::vector<std::vector<std::string>> Lines = {Columns};
  for (const Json::Value &Row : Rows) {
    std::vector<std::string> Line;
    Line.reserve(Columns.size());
    for (const std::string &Name : Columns)
      Line.push_back(Row.isMember(Name) ? textOf(Row[Name]) : "-");
    Lines.push_back(std::move(Line));
  }
  std::vector<std::size_t> Widths(Columns.size());
  for (const auto &Line : Lines)
    for (std::size_t Index = 0; Index < Line.size(); ++Index)
      Widths[Index] = std::max(Widths[Index], Line[Index].size());
  for (const auto &Line : Lines) {
    for (std::size_t Index = 0; Index < Line.size(); ++Index) {
      Out << (Index > 0 ? "  " : "") << Line[Index];
      if (Index + 1 < Line.size())
        Out << std::string(Widths[Index] - Line[Index].size(), ' ');
    }
    Out << "\n";
  }
}

void printObject(std::ostream &Out, const Json::Value &Value) {
  std::size_t Width = 0;
  for (const std::string &Name : Value.getMemberNames())
    Width = std::max(Width, Name.size());
  for (const std::string &Name : Value.getMemberNames()) {
    if (isMultiLine(Value[Name]) ||
        (isTable(Value[Name]) && !Value[Name].empty()))
      continue;
    Out << Name << std::string(Width + 2 - Name.size(), ' ')
        << textOf(Value[Name]) << "\n";
  }
  for (const std::string &Name : Value.getMemberNames())
    if (isMultiLine(Value[Name]))
      Out << Name << ":\n" << textOf(Value[Name]);
  for (const std::string &Name : Value.getMemberNames())
    if (isTable(Value[Name]) && !Value[Name].empty()) {
      Out << Name << ":\n";
      printTable(Out, Value[Name]);
    }
}

Error errorOf(const ApiReply &Reply) {
  const auto Value = parseAny(Reply.Body_);
  if (Value && Value->isObject() && (*Value)["error"].isObject()) {
    Error Failure = decodeError((*Value)["error"]);
    if (Failure.Peer_.empty())
      Failure.Peer_ = memberText((*Value)["error"], "field");
    return Failure;
  }
  // An answer that does not follow the API tells nothing about the work.
  return Error{Reason::Internal, Effect::Unknown, "call node", "",
               "HTTP status " + std::to_string(Reply.Status_) +
                   " without an error description"};
}

} // namespace

std::string textOf(const Json::Value &Value) {
  if (Value.isString())
    return Value.asString();
  return Value.isNull() ? "-" : writeJson(Value);
}

std::string memberText(const Json::Value &Value, const std::string &Name) {
  if (!Value.isObject() || !Value[Name].isString())
    return {};
  return Value[Name].asString();
}

void printValue(const Context &Ctx, const Json::Value &Value) {
  if (Ctx.Format_ == OutputFormat::Json)
    Ctx.Out_ << writeJson(Value) << "\n";
  else if (isTable(Value))
    printTable(Ctx.Out_, Value);
  else if (Value.isObject())
    printObject(Ctx.Out_, Value);
  else
    Ctx.Out_ << textOf(Value) << "\n";
}

ExitCode printError(const Context &Ctx, const Error &Failure) {
  const bool Unknown = Failure.Effect_ != Effect::None;
  if (Ctx.Format_ == OutputFormat::Json) {
    Json::Value Out;
    Out["error"] = encodeError(Failure);
    Ctx.Out_ << writeJson(Out) << "\n";
  }
  Ctx.Err_ << "damaskglade: " << reasonName(Failure.Reason_) << ": "
           << Failure.Message_
           << (Unknown ? "; outcome unknown" : "; no effect");
  if (Failure.RetryAfter_ > Millis{})
    Ctx.Err_ << "; retry after " << Failure.RetryAfter_.Value_ << " ms";
  Ctx.Err_ << "\n";
  if (Failure.Reason_ == Reason::ConnectFailed && !Unknown)
    return ExitCode::NoNode;
  return Unknown ? ExitCode::OutcomeUnknown : ExitCode::Failed;
}

std::optional<Json::Value>
readReply(const Context &Ctx, const Result<ApiReply> &Reply, ExitCode &Code) {
  if (!Reply) {
    Code = printError(Ctx, Reply.error());
    return std::nullopt;
  }
  if (Reply.value().Status_ >= FirstFailureStatus) {
    // A refusal for connect_failed on the node's side is no failure to reach
    // a node.
    const ExitCode Refused = printError(Ctx, errorOf(Reply.value()));
    Code = Refused == ExitCode::NoNode ? ExitCode::Failed : Refused;
    return std::nullopt;
  }
  auto Value = parseAny(Reply.value().Body_);
  if (!Value) {
    Code = printError(Ctx,
                      Error{Reason::AnswerTruncated, Effect::Unknown,
                            "read reply", "", "the node's answer is not JSON"});
    return std::nullopt;
  }
  Code = ExitCode::Ok;
  return Value;
}

ExitCode printReply(const Context &Ctx, const Result<ApiReply> &Reply) {
  ExitCode Code = ExitCode::Ok;
  const auto Value = readReply(Ctx, Reply, Code);
  if (Value)
    printValue(Ctx, *Value);
  return Code;
}

std::string encodePath(const std::string &Part) {
  std::string Out;
  for (const char Each : Part) {
    const auto Byte = static_cast<unsigned char>(Each);
    if (std::isalnum(Byte) != 0 || Each == '-' || Each == '.' || Each == '_' ||
        Each == '~') {
      Out += Each;
      continue;
    }
    std::array<char, 4> Hex{};
    std::snprintf(Hex.data(), Hex.size(), "%%%02X", Byte);
    Out += Hex.data();
  }
  return Out;
}

} // namespace damaskglade::cli
