import { ErrorCode } from "@ibislanding/core";

/** Codes of send failures that guarantee that the action did not run. */
export const notRunCodes: ReadonlySet<ErrorCode> = new Set([
    ErrorCode.UpstreamUnreachable,
    ErrorCode.UpstreamRefused,
    ErrorCode.UpstreamLeaving,
    ErrorCode.Overloaded,
]);
