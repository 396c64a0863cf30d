#include "review/stand_ins_3/record.h"

#include <fcntl.h>
#include <unistd.h>

namespace damaskglade::review {

// A single write in append mode, so that lines of several processes do not mix.
void Record::write(const std::string &Text) const {
  const std::string Line = std::to_string(SystemClock().monotonic().Value_) +
                           ' ' + Writer_ + ' ' + Text + '\n';
  constexpr int OwnerWritesAllRead = 0644;
  const int File =
      open(Path_.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
           OwnerWritesAllRead);
  if (File < 0)
    return;
  const ssize_t Written = ::write(File, Line.data(), Line.size());
  (void)Written;
  close(File);
}

} // namespace damaskglade::review
