#ifndef DAMASKGLADE_CONFIG_FOLDER_H
#define DAMASKGLADE_CONFIG_FOLDER_H

#include "config/ini_source.h"
#include "config/problem.h"
#include "config/settings.h"
#include "core/error.h"

#include <string>
#include <vector>

namespace damaskglade::config {

/// Cell settings that have been merged and checked as a whole.
struct CheckedCell {
  Result<CellSettings> Settings_; ///< invalid_field if there are problems.
  std::vector<Problem> Problems_; ///< All, in order of file and line.
  /// The merged values that are set, one text for one meaning.
  std::string Canonical_;
  std::string Hash_; ///< XXH3-128 of Canonical_ in hex.
};

struct CheckedProcess {
  Result<ProcessSettings> Settings_;
  std::vector<Problem> Problems_;
};

/// XXH3-128 in hex.
std::string contentHash(const std::string &Text);

/// The ".ini" files of a folder in order of file name. Errors: not_found.
Result<std::vector<SourceFile>> readFolder(const std::string &Path);

/// Merges the files in the given order, a later one overriding an earlier one,
/// and checks the whole.
CheckedCell checkCell(const std::vector<SourceFile> &Files);

/// As checkCell, for the ".ini" files of a folder.
CheckedCell checkFolder(const std::string &Path);

/// Checks the body of a pushed version.
CheckedCell checkCanonical(const std::string &Text);

CheckedProcess checkProcess(const SourceFile &File);

/// Reads and checks a node's own file.
CheckedProcess loadProcess(const std::string &Path);

} // namespace damaskglade::config

#endif
