import { ErrorCode, type Failure } from "@ibislanding/core";
import { ExitCode } from "./exitCode";

const exitCodes: Partial<Readonly<Record<ErrorCode, ExitCode>>> = {
    [ErrorCode.InvalidSettings]: ExitCode.Usage,
    [ErrorCode.VersionConflict]: ExitCode.Conflict,
    [ErrorCode.KeyReused]: ExitCode.Conflict,
    [ErrorCode.KeyValueConflict]: ExitCode.Conflict,
    [ErrorCode.InvalidResource]: ExitCode.Invalid,
    [ErrorCode.BadRequest]: ExitCode.Invalid,
    [ErrorCode.BodyTooLarge]: ExitCode.Invalid,
    [ErrorCode.KeyValueTooLarge]: ExitCode.Invalid,
    [ErrorCode.UnknownResource]: ExitCode.NotFound,
    [ErrorCode.UnknownRoute]: ExitCode.NotFound,
    [ErrorCode.PeerUnavailable]: ExitCode.Unreachable,
    [ErrorCode.NotReady]: ExitCode.Unreachable,
    [ErrorCode.Overloaded]: ExitCode.Unreachable,
    [ErrorCode.KeyValueUnavailable]: ExitCode.Unreachable,
    [ErrorCode.OutcomeUnknown]: ExitCode.OutcomeUnknown,
    [ErrorCode.KeyValueOutcomeUnknown]: ExitCode.OutcomeUnknown,
    [ErrorCode.DeadlinePassed]: ExitCode.Timeout,
};

/** Maps a failure to its exit code; `ExitCode.Failure` for codes without one. */
export const exitCodeOf = (failure: Failure): ExitCode => exitCodes[failure.code] ?? ExitCode.Failure;
