import { ErrorCode } from "@ibislanding/core";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { EvacuationOptions } from "./evacuationOptions";
import type { EvacuationResult } from "./evacuationResult";

/** Failures after which the run is known not to have been stopped. */
const NOT_STOPPED_CODES: ReadonlySet<ErrorCode> = new Set([ErrorCode.UpstreamRefused, ErrorCode.UpstreamUnreachable]);

/**
 * Stops a run and copies its memory to another engine. `mayGoOnAtSource` tells whether a run that was stopped and could not be
 * copied may go on where it was.
 */
export const moveRun = async (
    { engines, upstream, requestId, onMove }: EvacuationOptions,
    target: UpstreamRecord,
    mayGoOnAtSource: () => boolean,
): Promise<EvacuationResult> => {
    const moved = await engines.moveRun(upstream.address, requestId, target.address);
    onMove(target, moved.ok ? moved.val.isCopied ? "copied" : "stopped" : moved.val.code);
    if (moved.err) {
        return { kind: NOT_STOPPED_CODES.has(moved.val.code) ? "not-moved" : "unknown" };
    }
    const { handle, isCopied } = moved.val;
    if (!isCopied && !mayGoOnAtSource()) {
        return { kind: "stopped" };
    }
    return { kind: "moved", continuation: { upstream: isCopied ? target : upstream, handle } };
};
