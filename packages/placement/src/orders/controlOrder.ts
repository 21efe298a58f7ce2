import type { UpstreamId } from "@ibislanding/core";
import type { ReplicaChoice } from "../plan/replicaChoice";

/** An idempotent order derived from a stored plan; the sender adds its fencing number. */
export type ControlOrder =
    | {
        readonly type: "start-host";
        readonly service: string;
        readonly incarnation: number;
        readonly operationId: string;
        readonly choice: ReplicaChoice;
    }
    /** Announces to the entry hosts that the upstream accepts no new requests. */
    | { readonly type: "announce-leaving"; readonly upstreamId: UpstreamId; readonly deadlineMs: number | undefined; }
    | { readonly type: "drain"; readonly upstreamId: UpstreamId; readonly url: string; readonly generation: number; }
    | { readonly type: "stop-host"; readonly upstreamId: UpstreamId; }
    | {
        readonly type: "load-model";
        readonly upstreamId: UpstreamId;
        readonly url: string;
        readonly model: string;
        readonly version: string;
        readonly artifact: string;
        readonly generation: number;
    }
    | {
        readonly type: "load-adapter";
        readonly upstreamId: UpstreamId;
        readonly url: string;
        readonly adapter: string;
        readonly model: string;
        readonly artifact: string;
        readonly generation: number;
    }
    | {
        readonly type: "set-role";
        readonly upstreamId: UpstreamId;
        readonly url: string;
        readonly role: string;
        readonly generation: number;
    };
