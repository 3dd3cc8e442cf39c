#pragma once

#include "savorywick/job.h"

#include <json/json.h>
#include <string>

namespace savorywick::internal {

// The JSON of journal records and snapshots. Members with default values are left out to keep it
// short, and reading a missing member gives the default.

// Sets a member unless `text` is empty.
void setTextUnlessEmpty(Json::Value &json, const char *name, const std::string &text);
// Sets a member unless `n` is 0.
void setNumberUnlessZero(Json::Value &json, const char *name, std::int64_t n);

// Returns the JSON object in `text`. Throws Error(InvalidInput) if `text` is no JSON object.
Json::Value parseObject(const std::string &text);

// Returns the specification as records and snapshots hold it.
Json::Value toJson(const JobSpec &spec);
// Returns the specification that toJson() wrote.
JobSpec jobSpecFromJson(const Json::Value &json);
// Returns the job as snapshots hold it.
Json::Value toJson(const Job &job);
// Returns the job that toJson() wrote.
Job jobFromJson(const Json::Value &json);

} // namespace savorywick::internal
