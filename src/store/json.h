#pragma once

#include "lib/jsontext.h"

namespace savorywick::store {

// JSON conversion for the packages outside the library, which do not use its internal namespace.
using internal::fromText;
using internal::toText;

} // namespace savorywick::store
