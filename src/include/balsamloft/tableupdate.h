/// \file
/// Encoding of table rows that an instance sends to another instance, and the time limits
/// for the answer.

#pragma once

#include <balsamloft/calllimits.h>
#include <balsamloft/tablecopy.h>

#include <span>

namespace balsamloft {

/// Returns the time limits for an answer with rows. \a fullSnapshot: the query requests all
/// rows of a table; \a wait: how long the queried instance may delay its answer until there
/// are changes.
CallLimits answerLimits(bool fullSnapshot, Duration wait);

/// Serialised rows, compressed with zlib.
struct CompressedRows
{
    std::uint32_t uncompressedSize = 0; ///< in bytes
    std::string bytes;
};

/// Returns whether \a rows should be compressed for sending.
bool shouldCompress(std::span<const StoreRow> rows);
CompressedRows compressRows(std::span<const StoreRow> rows);

/// Returns the rows, or nullopt if \a compressed is corrupt or too large.
std::optional<std::vector<StoreRow>> decompressRows(const CompressedRows &compressed);

/// Returns the number of bytes that \a rows take in an answer.
std::size_t encodedSize(std::span<const StoreRow> rows);

} // namespace balsamloft
