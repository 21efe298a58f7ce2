/** Exit codes of `ibisctl`. */
export enum ExitCode {
    Ok = 0,
    /** Any failure without a specific code; also returned by `diff` when there are differences. */
    Failure = 1,
    Usage = 2,
    Conflict = 3,
    Invalid = 4,
    NotFound = 5,
    Unreachable = 6,
    OutcomeUnknown = 7,
    Timeout = 8,
}
