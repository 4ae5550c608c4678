// The formats of a store's files. These headers do no I/O.
#pragma once

#include "store/entries.hpp"
#include "store/format_error.hpp"
#include "store/log_format.hpp"
#include "store/snapshot_format.hpp"
