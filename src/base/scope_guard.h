/** \file
 * Defines scope_guard, which runs an action when its scope ends.
 */
#pragma once

#include <utility>

namespace chervildyke {

/** Runs its action on destruction unless dismissed before. */
template <typename Action>
class [[nodiscard]] scope_guard {
  public:
    explicit scope_guard(Action action) : action_(std::move(action)) {}
    ~scope_guard()
    {
        if (armed_) {
            action_();
        }
    }
    scope_guard(const scope_guard&) = delete;
    scope_guard& operator=(const scope_guard&) = delete;

    /** Prevents the action from running. */
    void dismiss() { armed_ = false; }

  private:
    Action action_;
    bool armed_ = true;
};

} // namespace chervildyke
