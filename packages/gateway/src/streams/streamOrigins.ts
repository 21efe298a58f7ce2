import type { AccountId, RequestId, ServiceName } from "@ibislanding/core";
import type { StreamKnowledge } from "./streamKnowledge";
import type { StreamOrigin } from "./streamOrigin";

/** Origins of streams, which several hosts remember, so that a client can take a stream up at any host. */
export interface StreamOrigins {
    /** Resolves once another host knows the origin, or after a short time if none can be reached. */
    readonly record: (origin: StreamOrigin) => Promise<void>;
    /**
     * Asks the hosts that remember the stream of an account; `service` is the one whose versions they state. Without an id, only the
     * versions are asked for.
     */
    readonly find: (
        requestId: RequestId | undefined,
        accountId: AccountId | undefined,
        service: ServiceName,
    ) => Promise<StreamKnowledge>;
}
