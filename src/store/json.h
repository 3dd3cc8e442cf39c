#pragma once

#include "lib/jsontext.h"

namespace savorywick::store {

using internal::fromText;
using internal::toText;

} // namespace savorywick::store
