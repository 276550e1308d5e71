#include "rowcodec.h"

namespace balsamloft {

void encodeRow(const StoreRow &row, wire::NewsRow &told)
{
    told.set_key(row.key);
    told.set_value(row.value);
    told.set_version(row.version);
    told.set_dropped(row.dropped);
}

StoreRow decodeRow(const wire::NewsRow &told)
{
    return {told.key(), told.value(), told.version(), told.dropped()};
}

} // namespace balsamloft
