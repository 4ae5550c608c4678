// Commits to a store that their caller does not wait for. Who needs one takes the interface; BackgroundWriter, on
// libuv's thread pool, is what the process runs with.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "store/store.hpp"

namespace cressledge::store {

/// Commits changes to one store, one commit at a time: changes that arrive meanwhile are merged, the later value of a key
/// winning, and follow it as one commit. Until the writer is destroyed nobody else may use the store.
class AsyncWriter {
public:
    virtual ~AsyncWriter() = default;

    /// Takes the changes over, and returns before they are durable.
    virtual void commit(Changes changes) = 0;

    /// Blocks until all changes are durable or have failed; for the end.
    virtual void flush() = 0;

    /// Finished commits, failed ones included.
    virtual std::uint64_t commits() const = 0;
};

/// Called after each commit, on the thread that asked for it, with no_error or the commit's errno.
using CommitHandler = std::function<void(ErrorNumber error)>;

/// Makes a writer for a store that is open; `store` must outlive it.
using AsyncWriterFactory = std::function<std::unique_ptr<AsyncWriter>(Store& store, CommitHandler on_commit)>;

}  // namespace cressledge::store
