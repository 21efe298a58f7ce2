import type { RequestId } from "@ibislanding/core";
import type { ConfigurationDocument, ResourceOf } from "@ibislanding/resources";

/** What holds for one request from start to end. */
export interface CallerContext {
    /** Id by which the system knows the request; never taken from the caller. */
    readonly requestId: RequestId;
    /** Id that is sent back to the caller. */
    readonly callerRequestId: string;
    /** Configuration at the start of the request. */
    readonly configuration: ConfigurationDocument;
    readonly account: ResourceOf<"ClientAccount">;
    /** Monotonic time at which the request is given up. */
    readonly deadlineMs: number;
}
