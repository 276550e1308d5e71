#include <balsamloft/tableupdate.h>

#include "rowcodec.h"

#include <zlib.h>

namespace balsamloft {

namespace {

/// Beyond the time that was asked to wait, a call whose answer has not begun has failed.
constexpr Duration ChangesWithin {200'000};
constexpr Duration WholeWithin {600'000}; ///< the same for a whole table, which is made first
/// An answer under way is not given up for its length: asked for elsewhere, its bytes would
/// fill one more small link, and those who wait there would turn away in their turn.
constexpr Duration SilenceWithin {600'000};
constexpr Duration MostWithin {10'000'000};

/// Rows and bytes that are not worth packing.
constexpr std::size_t FewRows = 6;
constexpr std::size_t FewBytes = 4096;

/// Longest list of rows that is taken from another instance, in bytes.
constexpr std::uint32_t MostUnpacked = 64U << 20U;

wire::RowList listOf(std::span<const StoreRow> rows)
{
    wire::RowList list;
    for (const StoreRow &row : rows)
        encodeRow(row, *list.add_rows());
    return list;
}

std::string deflated(const std::string &bytes)
{
    uLongf length = compressBound(bytes.size());
    std::string packed(length, '\0');
    compress2(reinterpret_cast<Bytef *>(packed.data()), &length,
              reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    packed.resize(length);
    return packed;
}

} // namespace

CallLimits answerLimits(bool whole, Duration wait)
{
    return {wait + (whole ? WholeWithin : ChangesWithin), SilenceWithin, wait + MostWithin};
}

bool shouldCompress(std::span<const StoreRow> rows)
{
    std::size_t bytes = 0;
    for (const StoreRow &row : rows)
        bytes += row.key.size() + row.value.size();
    return rows.size() >= FewRows || bytes > FewBytes;
}

CompressedRows compressRows(std::span<const StoreRow> rows)
{
    const std::string bytes = listOf(rows).SerializeAsString();
    return {static_cast<std::uint32_t>(bytes.size()), deflated(bytes)};
}

std::optional<std::vector<StoreRow>> decompressRows(const CompressedRows &packed)
{
    if (packed.from > MostUnpacked)
        return std::nullopt;
    std::string bytes(packed.from, '\0');
    uLongf length = bytes.size();
    const int result =
        uncompress(reinterpret_cast<Bytef *>(bytes.data()), &length,
                   reinterpret_cast<const Bytef *>(packed.bytes.data()), packed.bytes.size());
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
    return shouldCompress(rows) ? compressRows(rows).bytes.size() : listOf(rows).ByteSizeLong();
}

} // namespace balsamloft
