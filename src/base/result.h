/** \file
 * Defines result, an optional value that keeps the last reason why there is none.
 */
#pragma once

#include <optional>
#include <string>
#include <utility>

namespace chervildyke {

/** What a layer says when it fails: its own code, and a text for people.
 * Each layer has its own code enum and turns the failures of the layer below into its own.
 */
template <typename Code>
struct failure {
    Code code{};
    std::string reason;

    bool operator==(const failure&) const = default;
};

/** An optional value beside the last reason; kept in one object, so that concurrent tasks
 * can't overwrite each other's reason.
 */
template <typename Value, typename Code>
class [[nodiscard]] result {
  public:
    using value_type = Value;
    using failure_type = failure<Code>;

    result(Value value) : value_(std::move(value)) {} // NOLINT(google-explicit-constructor)
    result(failure_type reason)
        : reason_(std::move(reason)) {} // NOLINT(google-explicit-constructor)

    explicit operator bool() const { return value_.has_value(); }
    bool has_value() const { return value_.has_value(); }
    Value& operator*() { return *value_; }
    const Value& operator*() const { return *value_; }
    Value* operator->() { return &*value_; }
    const Value* operator->() const { return &*value_; }
    const std::optional<Value>& value() const { return value_; }

    /** Why there is no value; only meaningful when there is none. */
    const failure_type& last_reason() const { return reason_; }

  private:
    std::optional<Value> value_;
    failure_type reason_;
};

/** The value of a call that has nothing to return. */
struct done {
    bool operator==(const done&) const = default;
};

} // namespace chervildyke
