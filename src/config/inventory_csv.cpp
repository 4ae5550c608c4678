#include "config/inventory_csv.hpp"

#include <csv.h>

#include <algorithm>
#include <map>
#include <utility>

#include "config/inventory_builder.hpp"

namespace cressledge::config {
namespace {

/// Wraps the parser of libcsv and collects the cells of the current row.
class CsvRowParser {
public:
    CsvRowParser() {
        if (csv_init(&parser_, CSV_STRICT | CSV_STRICT_FINI | CSV_APPEND_NULL) != 0)
            throw ConfigError("cannot initialise the CSV parser");
    }
    ~CsvRowParser() { csv_free(&parser_); }
    CsvRowParser(const CsvRowParser&) = delete;
    CsvRowParser& operator=(const CsvRowParser&) = delete;

    /// Parses a piece of the file with at most one end of a row. Returns false if it is not valid CSV.
    bool parse(const char* data, std::size_t size) {
        return csv_parse(&parser_, data, size, on_cell, on_row, this) == size;
    }
    /// Ends the input. Returns false if it ends inside a quoted cell.
    bool finish() { return csv_fini(&parser_, on_cell, on_row, this) == 0; }
    std::string error() { return csv_strerror(csv_error(&parser_)); }

    bool has_row() const { return is_row_complete_; }
    std::vector<std::string> take_row() {
        is_row_complete_ = false;
        return std::exchange(cells_, {});
    }

private:
    static void on_cell(void* data, std::size_t size, void* self) {
        static_cast<CsvRowParser*>(self)->cells_.emplace_back(static_cast<const char*>(data), size);
    }
    static void on_row(int, void* self) { static_cast<CsvRowParser*>(self)->is_row_complete_ = true; }

    csv_parser parser_{};
    std::vector<std::string> cells_;
    bool is_row_complete_ = false;
};

class CsvInventoryParser {
public:
    explicit CsvInventoryParser(const std::string& path) : builder_(path) {}

    std::vector<Upstream> parse(const std::string& text) {
        std::size_t line = 0;
        // Parses one line at a time so that errors can name it.
        for (std::size_t begin = 0; begin < text.size();) {
            ++line;
            const std::size_t end = std::min(text.find('\n', begin), text.size() - 1) + 1;
            if (!row_parser_.parse(text.data() + begin, end - begin))
                builder_.fail(line, "row", row_parser_.error());
            add_row(line);
            // Without a valid header row the other rows cannot be checked.
            if (columns_.empty() && builder_.has_errors())
                return builder_.finish();
            begin = end;
        }
        if (!row_parser_.finish())
            builder_.fail(line, "row", row_parser_.error());
        add_row(line);
        if (columns_.empty())
            builder_.fail(1, "row", "no header row");
        return builder_.finish();
    }

private:
    void add_row(std::size_t line) {
        if (!row_parser_.has_row())
            return;
        const std::vector<std::string> cells = row_parser_.take_row();
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
                builder_.fail(line, cells[i], "duplicate column", cells[i]);
        for (const char* name : {"name", "address", "protocol", "group"})
            if (columns_.count(name) == 0)
                builder_.fail(line, name, "missing in the header row");
    }

    void read_server(const std::vector<std::string>& cells, std::size_t line) {
        if (cells.size() != columns_.size())
            builder_.fail(line, "row",
                          std::to_string(cells.size()) + " fields, but the header row has " +
                              std::to_string(columns_.size()));
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
    CsvRowParser row_parser_;
    /// Index of each column by name; empty until the header row has been read.
    std::map<std::string, std::size_t> columns_;
};

}  // namespace

std::vector<Upstream> parse_csv_inventory(const std::string& path, const std::string& text) {
    return CsvInventoryParser(path).parse(text);
}

}  // namespace cressledge::config
