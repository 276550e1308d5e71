/// \file
/// Answers of an endpoint in trouble that are none in HTTP, although they look complete.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace balsamloft::fakes {

/// An answer that must reach no caller.
struct BrokenAnswer
{
    std::string name;
    std::string bytes; ///< each `%` stands for the id of the request
    bool endsWithConnection = false; ///< the body has neither a length nor chunks

    /// The bytes of the answer to the request with \a id.
    std::string to(std::string_view id) const;
};

/// Answers whose status is none of HTTP.
std::vector<BrokenAnswer> answersWithBrokenStatus();

/// Answers whose head has a line that is no field.
std::vector<BrokenAnswer> answersWithBrokenField();

/// Answers whose body was coded for the transfer in a way that a reader does not undo.
std::vector<BrokenAnswer> answersWithUnknownCoding();

/// Answers whose content was coded, although nobody asked for that.
std::vector<BrokenAnswer> answersWithCodedContent();

/// A head with a status line, or field lines, of the test's choice, and a body of two bytes.
std::string answerWith(std::string_view statusLine, std::string_view fieldLines = {});

/// \a status as it stands in a status line.
std::string statusText(unsigned status);

/// Whether \a byte may be part of a field's name (RFC 9110, section 5.6.2).
bool isNameByte(unsigned char byte);

} // namespace balsamloft::fakes
