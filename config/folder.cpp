#include "config/folder.h"

#include "config/checks.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <xxhash.h>

namespace damaskglade::config {

namespace {

std::optional<std::string> readFile(const std::filesystem::path &Path) {
  std::error_code Ignored;
  if (!std::filesystem::is_regular_file(Path, Ignored))
    return std::nullopt;
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(In), {});
}

Error fileError(const std::string &Path, const std::string &Message) {
  return Error{Reason::NotFound, Effect::None, "read settings", Path, Message};
}

std::string canonicalText(const EntryMap &Merged) {
  std::string Text;
  std::string Section;
  for (const auto &[Key, Value] : Merged) {
    if (Key.first != Section) {
      Section = Key.first;
      Text += (Text.empty() ? "[" : "\n[") + Section + "]\n";
    }
    Text += Key.second + " = " + normalNumber(Value.Value_) + "\n";
  }
  return Text;
}

} // namespace

std::string contentHash(const std::string &Text) {
  const XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  std::array<char, 33> Hex{};
  std::snprintf(Hex.data(), Hex.size(), "%016" PRIx64 "%016" PRIx64,
                Hash.high64, Hash.low64);
  return Hex.data();
}

Result<std::vector<SourceFile>> readFolder(const std::string &Path) {
  std::error_code Failure;
  std::filesystem::directory_iterator Each(Path, Failure);
  if (Failure)
    return fileError(Path, "cannot read the folder: " + Failure.message());
  std::vector<std::filesystem::path> Names;
  const std::filesystem::directory_iterator End;
  while (Each != End) {
    if (Each->path().extension() == ".ini")
      Names.push_back(Each->path());
    Each.increment(Failure);
    if (Failure)
      return fileError(Path, "cannot read the folder: " + Failure.message());
  }
  std::sort(Names.begin(), Names.end());
  std::vector<SourceFile> Files;
  for (const std::filesystem::path &Name : Names) {
    std::optional<std::string> Text = readFile(Name);
    if (!Text)
      return fileError(Name.string(), "cannot read the file");
    Files.push_back({Name.filename().string(), std::move(*Text)});
  }
  return Files;
}

CheckedCell checkCell(const std::vector<SourceFile> &Files) {
  std::vector<Problem> Problems;
  EntryMap Merged;
  for (const SourceFile &File : Files)
    for (Entry &Each : parseIni(File, Problems)) {
      // An overridden entry is checked as well, since it would come into
      // force when the later file is removed.
      checkCellEntry(Each, Problems);
      Merged[{Each.Section_, Each.Key_}] = std::move(Each);
    }
  const CellSettings Settings = applyCell(Merged);
  if (Problems.empty())
    checkRelations(Settings, Merged, Problems);
  std::stable_sort(Problems.begin(), Problems.end());
  if (!Problems.empty())
    return {problemError(Problems), Problems, "", ""};
  std::string Canonical = canonicalText(Merged);
  std::string Hash = contentHash(Canonical);
  return {Settings, {}, std::move(Canonical), std::move(Hash)};
}

CheckedCell checkFolder(const std::string &Path) {
  const auto Files = readFolder(Path);
  if (Files && !Files.value().empty())
    return checkCell(Files.value());
  const Error Failure =
      Files ? fileError(Path, "the folder has no .ini file") : Files.error();
  return {Failure, {{Failure.Peer_, 0, Failure.Message_}}, "", ""};
}

CheckedCell checkCanonical(const std::string &Text) {
  return checkCell({{"configuration", Text}});
}

CheckedProcess checkProcess(const SourceFile &File) {
  std::vector<Problem> Problems;
  EntryMap Merged;
  for (Entry &Each : parseIni(File, Problems)) {
    checkProcessEntry(Each, Problems);
    Merged[{Each.Section_, Each.Key_}] = std::move(Each);
  }
  const ProcessSettings Settings = applyProcess(Merged, File.Name_, Problems);
  std::stable_sort(Problems.begin(), Problems.end());
  if (!Problems.empty())
    return {problemError(Problems), Problems};
  return {Settings, {}};
}

CheckedProcess loadProcess(const std::string &Path) {
  std::optional<std::string> Text = readFile(Path);
  if (Text)
    return checkProcess({Path, std::move(*Text)});
  const Error Failure = fileError(Path, "cannot read the file");
  return {Failure, {{Path, 0, Failure.Message_}}};
}

} // namespace damaskglade::config
