/** Exit codes of `ibisctl`. */
export enum ExitCode {
    Ok = 0,
    /** A failure without a code of its own; also: `diff` found differences. */
    Failure = 1,
    Usage = 2,
    Conflict = 3,
    Invalid = 4,
    NotFound = 5,
    Unreachable = 6,
    OutcomeUnknown = 7,
    Timeout = 8,
}
