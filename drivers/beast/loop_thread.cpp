#include "drivers/beast/loop_thread.h"

namespace damaskglade::drivers {

void LoopThread::start() {
  Loop_.keepRunning();
  Thread_ = Thread([this] { Loop_.run(); });
}

void LoopThread::stop() {
  Loop_.stop();
  Thread_.join();
}

} // namespace damaskglade::drivers
