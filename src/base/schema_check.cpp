/** \file
 * Implements the schema check, which compares the document with protobuf's descriptors.
 */
#include "base/schema_check.h"

#include <limits>
#include <sstream>

#include "options.pb.h"

namespace chervildyke {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using nlohmann::json;

constexpr std::size_t max_found_bytes = 60; // Of a found value, in the text of a fault.

const schema::field_rule& rule_of(const FieldDescriptor& field)
{
    return field.options().GetExtension(schema::rule);
}

std::string number_text(double number)
{
    std::ostringstream text;
    text.precision(std::numeric_limits<double>::digits10);
    text << number;
    return text.str();
}

std::string type_text(const FieldDescriptor& field)
{
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
        return "true or false";
    case FieldDescriptor::CPPTYPE_STRING:
        return "a string";
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return "an object";
    case FieldDescriptor::CPPTYPE_ENUM:
        return "one of the names of " + field.enum_type()->name();
    case FieldDescriptor::CPPTYPE_FLOAT:
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return "a number";
    default:
        return "an integer";
    }
}

/** \return what the field should contain, for a fault. */
std::string expectation(const FieldDescriptor& field)
{
    const schema::field_rule& rule = rule_of(field);
    std::string text = type_text(field);
    if (rule.at_most() > 0) {
        text += " from " + number_text(rule.at_least()) + " to " + number_text(rule.at_most());
    }
    else if (rule.at_least() > 0) {
        text += " of at least " + number_text(rule.at_least());
    }
    return rule.expected().empty() ? text : text + ": " + rule.expected();
}

/** \return whether the byte is one of a UTF-8 character, but not its first. */
bool is_continuation_byte(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
}

/** Cuts a long text to max_found_bytes and marks the cut. The text must be UTF-8. */
std::string shortened(std::string text)
{
    if (text.size() <= max_found_bytes) {
        return text;
    }
    std::size_t end = max_found_bytes;
    while (is_continuation_byte(text[end])) {
        --end;
    }
    text.resize(end);
    return text + " ...";
}

/** \return what the document contains instead, for a fault: the value, or the type of an array or
 * object. A long value is cut, so that the fault is one readable line.
 */
std::string found_text(const json& value)
{
    return ", found " + (value.is_structured() ? "an " + std::string(value.type_name())
                                               : shortened(value.dump()));
}

bool is_unsigned(const FieldDescriptor& field)
{
    return field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32 ||
           field.cpp_type() == FieldDescriptor::CPPTYPE_UINT64;
}

bool is_32_bits(const FieldDescriptor& field)
{
    return field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32 ||
           field.cpp_type() == FieldDescriptor::CPPTYPE_INT32;
}

bool fits_integer_type(const FieldDescriptor& field, const json& value)
{
    if (is_unsigned(field) && !value.is_number_unsigned()) {
        return false;
    }
    if (!is_32_bits(field)) {
        return true;
    }
    const double number = value.get<double>();
    return is_unsigned(field) ? number <= std::numeric_limits<std::uint32_t>::max()
                              : number >= std::numeric_limits<std::int32_t>::min() &&
                                    number <= std::numeric_limits<std::int32_t>::max();
}

bool has_type(const FieldDescriptor& field, const json& value)
{
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
        return value.is_boolean();
    case FieldDescriptor::CPPTYPE_STRING:
        return value.is_string();
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return value.is_object();
    case FieldDescriptor::CPPTYPE_ENUM:
        return value.is_string() &&
               field.enum_type()->FindValueByName(value.get<std::string>()) != nullptr;
    case FieldDescriptor::CPPTYPE_FLOAT:
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return value.is_number();
    default:
        return value.is_number_integer() && fits_integer_type(field, value);
    }
}

bool is_within_bounds(const FieldDescriptor& field, const json& value)
{
    const schema::field_rule& rule = rule_of(field);
    if (!value.is_number()) {
        return true;
    }
    const double number = value.get<double>();
    return number >= rule.at_least() && (rule.at_most() <= 0 || number <= rule.at_most());
}

/** Checks one document recursively and collects its faults. */
class checker {
  public:
    checker(const located_json& located, const std::string& file) : located_(located), file_(file)
    {
    }

    void check_object(const json& object, const Descriptor& type, const std::string& pointer)
    {
        for (const auto& [name, value] : object.items()) {
            const std::string child = child_pointer(pointer, name);
            const FieldDescriptor* field = find_field(type, name);
            if (field == nullptr) {
                add(child, "a known key: one of " + known_keys(type));
                continue;
            }
            check_field(value, *field, child);
        }
        for (int i = 0; i < type.field_count(); ++i) {
            const FieldDescriptor& field = *type.field(i);
            if (rule_of(field).required() && !has_value(object, field)) {
                add(child_pointer(pointer, field.name()), expectation(field) + " (missing)");
            }
        }
    }

    void add(const std::string& pointer, std::string expected)
    {
        faults_.push_back({file_, located_.line_of(pointer), pointer, std::move(expected)});
    }

    std::vector<settings_fault> take_faults() { return std::move(faults_); }

  private:
    static const FieldDescriptor* find_field(const Descriptor& type, const std::string& name)
    {
        const FieldDescriptor* field = type.FindFieldByName(name);
        return field != nullptr ? field : type.FindFieldByCamelcaseName(name);
    }

    static bool has_value(const json& object, const FieldDescriptor& field)
    {
        const auto by_name = object.find(field.name());
        const auto found = by_name != object.end() ? by_name : object.find(field.camelcase_name());
        if (found == object.end()) {
            return false;
        }
        return !((found->is_string() || found->is_array()) && found->empty());
    }

    static std::string known_keys(const Descriptor& type)
    {
        std::string text;
        for (int i = 0; i < type.field_count(); ++i) {
            text += (i == 0 ? "" : ", ") + type.field(i)->name();
        }
        return text;
    }

    void check_field(const json& value, const FieldDescriptor& field, const std::string& pointer)
    {
        if (!field.is_repeated()) {
            check_value(value, field, pointer);
            return;
        }
        if (!value.is_array()) {
            add(pointer, "an array, each item " + expectation(field) + found_text(value));
            return;
        }
        for (std::size_t i = 0; i < value.size(); ++i) {
            check_value(value[i], field, child_pointer(pointer, std::to_string(i)));
        }
    }

    void check_value(const json& value, const FieldDescriptor& field, const std::string& pointer)
    {
        if (!has_type(field, value) || !is_within_bounds(field, value)) {
            add(pointer, expectation(field) + found_text(value));
            return;
        }
        if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
            check_object(value, *field.message_type(), pointer);
        }
    }

    const located_json& located_;
    const std::string& file_;
    std::vector<settings_fault> faults_;
};

} // namespace

std::vector<settings_fault> check_against_schema(const located_json& located,
                                                 const Descriptor& type, const std::string& file)
{
    checker check(located, file);
    if (!located.document.is_object()) {
        check.add("", "an object" + found_text(located.document));
        return check.take_faults();
    }
    for (const std::string& pointer : located.repeated_keys) {
        check.add(pointer, "this key only once in its object, found it more than once");
    }
    check.check_object(located.document, type, "");
    return check.take_faults();
}

} // namespace chervildyke
