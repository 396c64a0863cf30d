#ifndef DAMASKGLADE_REVIEW_STAND_INS_3_RECORD_H
#define DAMASKGLADE_REVIEW_STAND_INS_3_RECORD_H

#include "core/clock.h"

#include <string>

namespace damaskglade::review {

/// A file to which all processes of a case append what they send, answer and
/// run. The times are those of the machine's steady clock, in milliseconds.
class Record {
public:
  Record(std::string Path, std::string Writer)
      : Path_(std::move(Path)), Writer_(std::move(Writer)) {}

  void write(const std::string &Text) const;

private:
  const std::string Path_;
  const std::string Writer_;
};

} // namespace damaskglade::review

#endif
