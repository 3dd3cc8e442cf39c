#pragma once

namespace savorywick {

// The exit codes of the subcommands, which are documented in docs/CLI.md.
enum class ExitCode {
    Ok = 0,
    Failed = 1, // The request was refused, failed, or named something that was not found.
    InvalidInput = 2, // The arguments, a settings file or a document are invalid.
    NotRun = 3, // The request had no effect and can be retried.
    Conflict = 4, // A concurrent edit won, or the idempotency key was reused for another request.
    Unknown = 5, // The request may or may not have taken effect.
    Pending = 6, // Stored, but not in force on every entry or not finished within the wait.
};

} // namespace savorywick
