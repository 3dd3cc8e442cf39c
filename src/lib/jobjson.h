#pragma once

#include "savorywick/job.h"

#include <json/json.h>
#include <string>

namespace savorywick::internal {

// Sets a member unless it has its default, to keep records short.
void setText(Json::Value &json, const char *name, const std::string &text);
void setNumber(Json::Value &json, const char *name, std::int64_t n);

// Returns the value as text without line ends, with members in a fixed order.
std::string toLine(const Json::Value &json);
// Returns the object that `text` holds. Throws Error(InvalidInput) if it holds none.
Json::Value objectFrom(const std::string &text);

Json::Value toJson(const JobSpec &spec);
JobSpec specOf(const Json::Value &json);
Json::Value toJson(const Job &job);
Job jobOf(const Json::Value &json);

} // namespace savorywick::internal
