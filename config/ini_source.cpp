#include "config/ini_source.h"

#include <algorithm>
#include <cstring>
#include <ini.h>
#include <map>
#include <utility>

namespace damaskglade::config {

namespace {

// The installed inih reads at most 200 bytes at once, with line end and
// terminator, and would take the rest of a longer line for the next line.
constexpr std::size_t MaxLineBytes = 197;
// Takes the entries that follow a section line that cannot be read, so that
// they are not reported once more as unknown keys of another section.
constexpr const char *UnreadableSection = "\x01";

struct Reader {
  const std::vector<std::string> &Lines_;
  const std::string &File_;
  std::vector<Entry> &Entries_;
  std::size_t Next_ = 0;
};

std::vector<std::string> splitLines(const std::string &Text) {
  std::vector<std::string> Lines;
  std::size_t Begin = 0;
  while (Begin < Text.size()) {
    const auto End = std::min(Text.find('\n', Begin), Text.size());
    std::string Line = Text.substr(Begin, End - Begin);
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    Lines.push_back(std::move(Line));
    Begin = End + 1;
  }
  return Lines;
}

// Passes inih one line a call, which tells the handler the line number; the
// installed inih has no such argument.
char *readLine(char *Buffer, int Size, void *Stream) {
  auto &Source = *static_cast<Reader *>(Stream);
  if (Source.Next_ >= Source.Lines_.size())
    return nullptr;
  const std::string Line = Source.Lines_[Source.Next_++] + "\n";
  const auto Length = std::min(Line.size(), static_cast<std::size_t>(Size) - 1);
  std::memcpy(Buffer, Line.data(), Length);
  Buffer[Length] = '\0';
  return Buffer;
}

bool isIndented(const std::string &Line) {
  return !Line.empty() && (Line.front() == ' ' || Line.front() == '\t');
}

int addEntry(void *User, const char *Section, const char *Name,
             const char *Value) {
  auto &Source = *static_cast<Reader *>(User);
  const bool Continues = isIndented(Source.Lines_[Source.Next_ - 1]) &&
                         !Source.Entries_.empty() &&
                         Source.Entries_.back().Section_ == Section &&
                         Source.Entries_.back().Key_ == Name;
  if (Continues) {
    std::string &Whole = Source.Entries_.back().Value_;
    if (!Whole.empty() && Whole.back() != ',')
      Whole += ",";
    Whole += Value;
    return 1;
  }
  Source.Entries_.push_back(
      {Section, Name, Value, Source.File_, static_cast<int>(Source.Next_)});
  return 1;
}

void dropLongLines(std::vector<std::string> &Lines, const std::string &File,
                   std::vector<Problem> &Problems) {
  for (std::size_t Index = 0; Index < Lines.size(); ++Index) {
    const bool HasZero = Lines[Index].find('\0') != std::string::npos;
    if (Lines[Index].size() <= MaxLineBytes && !HasZero)
      continue;
    Problems.push_back({File, static_cast<int>(Index) + 1,
                        HasZero ? "the line has a zero byte"
                                : "the line is longer than " +
                                      std::to_string(MaxLineBytes) +
                                      " bytes; continue a list on an indented "
                                      "line"});
    Lines[Index].clear();
  }
}

void reportDuplicates(const std::vector<Entry> &Entries,
                      std::vector<Problem> &Problems) {
  std::map<std::pair<std::string, std::string>, int> Seen;
  for (const Entry &Each : Entries) {
    const auto [First, Added] =
        Seen.try_emplace({Each.Section_, Each.Key_}, Each.Line_);
    if (!Added)
      Problems.push_back({Each.File_, Each.Line_,
                          "key \"" + Each.Key_ + "\" is already set in line " +
                              std::to_string(First->second)});
  }
}

} // namespace

std::vector<Entry> parseIni(const SourceFile &File,
                            std::vector<Problem> &Problems) {
  std::vector<std::string> Lines = splitLines(File.Text_);
  dropLongLines(Lines, File.Name_, Problems);
  std::vector<Entry> Entries;
  // inih reports only the first bad line, so each bad line is replaced and
  // the text parsed again until none is left.
  for (std::size_t Pass = 0; Pass <= Lines.size(); ++Pass) {
    Entries.clear();
    Reader Source{Lines, File.Name_, Entries};
    const int Bad = ini_parse_stream(readLine, &Source, addEntry, &Source);
    if (Bad <= 0 || static_cast<std::size_t>(Bad) > Lines.size())
      break;
    std::string &Line = Lines[static_cast<std::size_t>(Bad) - 1];
    const auto Start = Line.find_first_not_of(" \t");
    const bool IsSection = Start != std::string::npos && Line[Start] == '[';
    Problems.push_back({File.Name_, Bad,
                        IsSection ? "section line without \"]\""
                                  : "not a \"key = value\" line"});
    Line = IsSection ? std::string("[") + UnreadableSection + "]" : "";
  }
  std::erase_if(Entries, [](const Entry &Each) {
    return Each.Section_ == UnreadableSection;
  });
  reportDuplicates(Entries, Problems);
  return Entries;
}

} // namespace damaskglade::config
