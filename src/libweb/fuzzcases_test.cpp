// Runs the fuzz targets on their corpora.

#include "fuzzcases.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace balsamloft;

TEST_CASE("every fuzz target passes on its corpus", "[fuzz]")
{
    const struct
    {
        const char *folder;
        void (*run)(std::string_view);
    } cases[] = {{"testsuite/corpora/callerRequest", fuzz::callerRequest},
                 {"testsuite/corpora/answer", fuzz::answer},
                 {"testsuite/corpora/document", fuzz::document},
                 {"platform/corpora/engineEntry", fuzz::engineEntry},
                 {"testsuite/corpora/messages", fuzz::messages},
                 {"testsuite/corpora/resources", fuzz::resources}};
    for (const auto &item : cases) {
        std::size_t count = 0;
        const std::filesystem::path folder = std::filesystem::path(BALSAMLOFT_SOURCE) / item.folder;
        for (const auto &file : std::filesystem::directory_iterator(folder)) {
            std::ifstream stream(file.path(), std::ios::binary);
            std::ostringstream bytes;
            bytes << stream.rdbuf();
            item.run(bytes.str());
            ++count;
        }
        CHECK(count > 0);
    }
}
