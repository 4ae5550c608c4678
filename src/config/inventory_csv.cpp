#include "config/inventory_csv.hpp"

#include <csv.h>

#include <algorithm>
#include <map>
#include <utility>

#include "config/inventory_builder.hpp"

namespace cressledge::config {
namespace {

/// The C parser, with the cells of the row that it is reading.
class CsvRowParser {
public:
    CsvRowParser() {
        if (csv_init(&parser_, CSV_STRICT | CSV_STRICT_FINI | CSV_APPEND_NULL) != 0)
            throw ConfigError("no CSV parser");
    }
    ~CsvRowParser() { csv_free(&parser_); }
    CsvRowParser(const CsvRowParser&) = delete;
    CsvRowParser& operator=(const CsvRowParser&) = delete;

    /// Reads a piece of the file with at most one row end. Returns false where it is no CSV.
    bool parse(const char* data, std::size_t size) {
        return csv_parse(&parser_, data, size, on_cell, on_row, this) == size;
    }
    /// Ends the file. Returns false where it ends within a cell in quotes.
    bool finish() { return csv_fini(&parser_, on_cell, on_row, this) == 0; }
    std::string error() { return csv_strerror(csv_error(&parser_)); }

    bool has_row() const { return is_complete_; }
    std::vector<std::string> take_row() {
        is_complete_ = false;
        return std::exchange(cells_, {});
    }

private:
    static void on_cell(void* data, std::size_t size, void* self) {
        static_cast<CsvRowParser*>(self)->cells_.emplace_back(static_cast<const char*>(data), size);
    }
    static void on_row(int, void* self) { static_cast<CsvRowParser*>(self)->is_complete_ = true; }

    csv_parser parser_{};
    std::vector<std::string> cells_;
    bool is_complete_ = false;
};

class CsvInventoryParser {
public:
    explicit CsvInventoryParser(const std::string& path) : builder_(path) {}

    std::vector<Upstream> parse(const std::string& text) {
        std::size_t line = 0;
        // A line at a time, so that errors can name it.
        for (std::size_t begin = 0; begin < text.size();) {
            ++line;
            const std::size_t end = std::min(text.find('\n', begin), text.size() - 1) + 1;
            if (!rows_.parse(text.data() + begin, end - begin))
                builder_.fail(line, "row", rows_.error());
            take_row(line);
            // Without a header row nothing can be said of the others.
            if (columns_.empty() && builder_.has_errors())
                return builder_.finish();
            begin = end;
        }
        if (!rows_.finish())
            builder_.fail(line, "row", rows_.error());
        take_row(line);
        if (columns_.empty())
            builder_.fail(1, "row", "no header row");
        return builder_.finish();
    }

private:
    void take_row(std::size_t line) {
        if (!rows_.has_row())
            return;
        const std::vector<std::string> cells = rows_.take_row();
        builder_.try_row([&] {
            if (columns_.empty())
                read_header(cells, line);
            else
                read_server(cells, line);
        });
    }

    void read_header(const std::vector<std::string>& cells, std::size_t line) {
        for (std::size_t i = 0; i < cells.size(); ++i)
            if (!columns_.emplace(cells[i], i).second)
                builder_.fail(line, cells[i], "a duplicate column", cells[i]);
        for (const char* name : {"name", "address", "protocol", "group"})
            if (columns_.count(name) == 0)
                builder_.fail(line, name, "no such column in the header row");
    }

    void read_server(const std::vector<std::string>& cells, std::size_t line) {
        if (cells.size() != columns_.size())
            builder_.fail(line, "row",
                          std::to_string(cells.size()) + " fields, not " + std::to_string(columns_.size()));
        InventoryFields fields;
        for (const auto& [name, index] : columns_)
            fields[name] = cells[index];
        Upstream upstream;
        upstream.name = fields["name"];
        upstream.address = fields["address"];
        upstream.protocol = fields["protocol"];
        upstream.group = fields["group"];
        builder_.add(std::move(upstream), fields, line);
    }

    InventoryBuilder builder_;
    CsvRowParser rows_;
    /// Columns by name, once the header row has been read.
    std::map<std::string, std::size_t> columns_;
};

}  // namespace

std::vector<Upstream> parse_csv_inventory(const std::string& path, const std::string& text) {
    return CsvInventoryParser(path).parse(text);
}

}  // namespace cressledge::config
