#include <balsamloft/tableupdate.h>

#include "rowcodec.h"

#include <zlib.h>

namespace balsamloft {

namespace {

/// Time until the start of an answer, in addition to the requested hold time.
constexpr Duration ChangesTimeout {200'000};
/// Time until the start of an answer with a full snapshot, which takes time to encode, in addition
/// to the requested hold time.
constexpr Duration SnapshotTimeout {600'000};
/// Maximum pause within an answer. An answer that is still making progress is not aborted after
/// this time: a retry at another instance would load a second slow link, and the followers of that
/// instance would time out in turn.
constexpr Duration StallTimeout {600'000};
constexpr Duration TotalTimeout {10'000'000};

/// Answers with fewer than MinRowsToCompress rows and at most MaxUncompressedBytes bytes are not
/// compressed.
constexpr std::size_t MinRowsToCompress = 6;
constexpr std::size_t MaxUncompressedBytes = 4096;

/// Maximum decompressed size of an answer from another instance, in bytes.
constexpr std::uint32_t MaxDecompressedBytes = 64U << 20U;

wire::RowList toRowList(std::span<const StoreRow> rows)
{
    wire::RowList list;
    for (const StoreRow &row : rows)
        encodeRow(row, *list.add_rows());
    return list;
}

std::string compressBytes(const std::string &bytes)
{
    uLongf length = compressBound(bytes.size());
    std::string compressed(length, '\0');
    compress2(reinterpret_cast<Bytef *>(compressed.data()), &length,
              reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    compressed.resize(length);
    return compressed;
}

} // namespace

CallLimits answerLimits(bool fullSnapshot, Duration wait)
{
    return {wait + (fullSnapshot ? SnapshotTimeout : ChangesTimeout), StallTimeout,
            wait + TotalTimeout};
}

bool shouldCompress(std::span<const StoreRow> rows)
{
    std::size_t bytes = 0;
    for (const StoreRow &row : rows)
        bytes += row.key.size() + row.value.size();
    return rows.size() >= MinRowsToCompress || bytes > MaxUncompressedBytes;
}

CompressedRows compressRows(std::span<const StoreRow> rows)
{
    const std::string bytes = toRowList(rows).SerializeAsString();
    return {static_cast<std::uint32_t>(bytes.size()), compressBytes(bytes)};
}

std::optional<std::vector<StoreRow>> decompressRows(const CompressedRows &compressed)
{
    if (compressed.uncompressedSize > MaxDecompressedBytes)
        return std::nullopt;
    std::string bytes(compressed.uncompressedSize, '\0');
    uLongf length = bytes.size();
    const int result = uncompress(reinterpret_cast<Bytef *>(bytes.data()), &length,
                                  reinterpret_cast<const Bytef *>(compressed.bytes.data()),
                                  compressed.bytes.size());
    wire::RowList list;
    if (result != Z_OK || length != bytes.size() || !list.ParseFromString(bytes))
        return std::nullopt;
    std::vector<StoreRow> rows;
    for (const wire::NewsRow &row : list.rows())
        rows.push_back(decodeRow(row));
    return rows;
}

std::size_t encodedSize(std::span<const StoreRow> rows)
{
    return shouldCompress(rows) ? compressRows(rows).bytes.size() : toRowList(rows).ByteSizeLong();
}

} // namespace balsamloft
