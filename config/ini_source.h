#ifndef DAMASKGLADE_CONFIG_INI_SOURCE_H
#define DAMASKGLADE_CONFIG_INI_SOURCE_H

#include "config/problem.h"

#include <string>
#include <vector>

namespace damaskglade::config {

struct SourceFile {
  std::string Name_;
  std::string Text_;

  friend bool operator==(const SourceFile &, const SourceFile &) = default;
};

/// One "key = value" line. An indented line continues the value before it;
/// the parts are joined by commas.
struct Entry {
  std::string Section_;
  std::string Key_;
  std::string Value_;
  std::string File_;
  int Line_ = 0;

  friend bool operator==(const Entry &, const Entry &) = default;
};

/// Entries of a file in order. Adds each line that cannot be read, and each
/// key that is set twice, to Problems.
std::vector<Entry> parseIni(const SourceFile &File,
                            std::vector<Problem> &Problems);

} // namespace damaskglade::config

#endif
