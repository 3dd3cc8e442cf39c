#pragma once

#include "lib/jsontext.h"

namespace savorywick::platform {

using internal::fromText;
using internal::toText;

} // namespace savorywick::platform
