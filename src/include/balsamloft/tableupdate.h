/// \file
/// How an instance tells another one rows of the store's tables, and how long its
/// answer is waited for.

#pragma once

#include <balsamloft/calllimits.h>
#include <balsamloft/tablecopy.h>

#include <span>

namespace balsamloft {

/// How long an answer with rows is waited for. \a whole: all rows of a table are asked for;
/// \a wait: how long the other one may hold the question.
CallLimits answerLimits(bool whole, Duration wait);

/// Rows, deflated.
struct CompressedRows
{
    std::uint32_t from = 0; ///< bytes before they were packed
    std::string bytes;
};

/// Whether \a rows are to be packed when they are told.
bool shouldCompress(std::span<const StoreRow> rows);
CompressedRows compressRows(std::span<const StoreRow> rows);

/// \return the rows; nothing when \a packed is damaged.
std::optional<std::vector<StoreRow>> decompressRows(const CompressedRows &packed);

/// Bytes that an answer with \a rows takes.
std::size_t encodedSize(std::span<const StoreRow> rows);

} // namespace balsamloft
