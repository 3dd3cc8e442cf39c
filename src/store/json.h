#pragma once

#include "lib/jsontext.h"

namespace savorywick::store {

using internal::parseJsonText;
using internal::toJsonText;

} // namespace savorywick::store
