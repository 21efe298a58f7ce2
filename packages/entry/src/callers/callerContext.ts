import type { RequestId } from "@ibislanding/core";
import type { ConfigurationDocument, ResourceOf } from "@ibislanding/resources";

/** Context of one caller request, fixed for the lifetime of the request. */
export interface CallerContext {
    /** Internal request id; generated here, never taken from the caller. */
    readonly requestId: RequestId;
    /** Id returned to the caller in `X-Request-Id`: the caller's own if it is valid, otherwise the internal one. */
    readonly callerRequestId: string;
    /** Configuration snapshot taken when the request arrived. */
    readonly configuration: ConfigurationDocument;
    readonly account: ResourceOf<"ClientAccount">;
    /** Monotonic time at which the request times out. */
    readonly deadlineMs: number;
}
