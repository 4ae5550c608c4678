// Interface for asynchronous commits to a store. The process uses BackgroundWriter, which commits on libuv's thread
// pool.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "store/store.hpp"

namespace cressledge::store {

/// Commits changes to one store, one commit at a time. Changes that are passed during a commit are merged and committed
/// together after it; for a key that was changed twice the later value is used. No other code may use the store until
/// the writer is destroyed.
class AsyncWriter {
public:
    virtual ~AsyncWriter() = default;

    /// Queues the changes and returns before they are durable.
    virtual void commit(Changes changes) = 0;

    /// Blocks until all changes are durable or their commit has failed. For use at shutdown.
    virtual void flush() = 0;

    /// The number of finished commits, including those that failed.
    virtual std::uint64_t commits() const = 0;
};

/// Called after each commit, on the thread that called AsyncWriter::commit(), with no_error or the errno value of the
/// failure.
using CommitHandler = std::function<void(ErrorNumber error)>;

/// Creates a writer for an open store, which must outlive the writer.
using AsyncWriterFactory = std::function<std::unique_ptr<AsyncWriter>(Store& store, CommitHandler on_commit)>;

}  // namespace cressledge::store
