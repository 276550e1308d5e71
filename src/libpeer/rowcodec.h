/// \file
/// Conversion between store rows and their protobuf form in table updates.

#pragma once

#include "entrynews.pb.h"

#include <balsamloft/tablecopy.h>

namespace balsamloft {

void encodeRow(const StoreRow &row, wire::NewsRow &message);
StoreRow decodeRow(const wire::NewsRow &message);

} // namespace balsamloft
