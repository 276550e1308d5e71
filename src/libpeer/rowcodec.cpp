#include "rowcodec.h"

namespace balsamloft {

void encodeRow(const StoreRow &row, wire::NewsRow &message)
{
    message.set_key(row.key);
    message.set_value(row.value);
    message.set_version(row.version);
    message.set_dropped(row.dropped);
    message.set_written_at(row.writtenAt);
}

StoreRow decodeRow(const wire::NewsRow &message)
{
    return {message.key(), message.value(), message.version(), message.dropped(),
            message.written_at()};
}

} // namespace balsamloft
