/// \file
/// Rows as entry instances tell them.

#pragma once

#include "entrynews.pb.h"

#include <balsamloft/tablecopy.h>

namespace balsamloft {

void encodeRow(const StoreRow &row, wire::NewsRow &told);
StoreRow decodeRow(const wire::NewsRow &told);

} // namespace balsamloft
