// Runs a function at the end of a scope, also when an exception leaves it.
//
//   ScopeGuard close([&] { ::close(descriptor); });
#pragma once

#include <utility>

namespace vanillahatch {

template<class Function>
class ScopeGuard
{
public:
  explicit ScopeGuard(Function aFunction)
    : function_(std::move(aFunction))
  {
  }
  ~ScopeGuard()
  {
    if (armed_) {
      function_();
    }
  }
  ScopeGuard(const ScopeGuard&) = delete;
  ScopeGuard& operator=(const ScopeGuard&) = delete;

  void Dismiss() { armed_ = false; }

private:
  Function function_;
  bool armed_ = true;
};

} // namespace vanillahatch
