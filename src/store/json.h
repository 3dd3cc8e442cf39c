#pragma once

#include "lib/jsontext.h"

namespace savorywick::store {

// JSON conversion for the packages outside the library, which do not use its internal namespace.
using internal::parseJsonText;
using internal::toJsonText;

} // namespace savorywick::store
