/** \file
 * Defines result, which holds either a value or the failure that prevented it.
 */
#pragma once

#include <optional>
#include <string>
#include <utility>

namespace chervildyke {

/** An error code and a text for operators. Each layer has its own enum of codes and converts the
 * failures of the layer below into them.
 */
template <typename Code>
struct failure {
    Code code{};
    std::string reason; // What was expected and what was found, or the text of the layer below.

    bool operator==(const failure&) const = default;
};

/** Either a value or a failure. The failure is returned rather than stored in the called object, so
 * that concurrent tasks can't overwrite each other's failures.
 */
template <typename Value, typename Code>
class [[nodiscard]] result {
  public:
    using value_type = Value;
    using failure_type = chervildyke::failure<Code>;

    result(Value value) : value_(std::move(value)) {} // NOLINT(google-explicit-constructor)
    result(failure_type cause)
        : failure_(std::move(cause)) {} // NOLINT(google-explicit-constructor)

    explicit operator bool() const { return value_.has_value(); }
    bool has_value() const { return value_.has_value(); }
    Value& operator*() { return *value_; }
    const Value& operator*() const { return *value_; }
    Value* operator->() { return &*value_; }
    const Value* operator->() const { return &*value_; }
    const std::optional<Value>& value() const { return value_; }

    /** \return the failure; meaningful only if there is no value. */
    const failure_type& failure() const { return failure_; }

  private:
    std::optional<Value> value_;
    failure_type failure_;
};

/** The value of a successful call that has nothing to return. */
struct done {
    bool operator==(const done&) const = default;
};

} // namespace chervildyke
