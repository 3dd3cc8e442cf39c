#pragma once

namespace savorywick {

// How a command ends; docs/CLI.md has a line for each.
enum class ExitCode {
    Ok = 0,
    Failed = 1, // Refused, failed or not found.
    InvalidInput = 2, // The arguments, a settings file or a document are wrong.
    NotRun = 3, // Surely not run; it can be tried again later.
    Conflict = 4, // Somebody else came first, or the idempotency key was used for something else.
    Unknown = 5, // It may or may not have taken effect.
    Pending = 6, // Kept, but not in force everywhere, or not finished, when the wait was over.
};

} // namespace savorywick
