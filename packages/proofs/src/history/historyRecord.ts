/** Common fields of all records. */
interface RecordHeader {
    /** Monotonic time of the recording process. */
    readonly atMs: number;
    /** Name of the caller, operator or observer; each performs one operation at a time. */
    readonly process: string;
}

/** A record of a history: the start or the end of an operation, a fault, or an observation. */
export type HistoryRecord =
    | RecordHeader & {
        readonly type: "invoke";
        readonly operation: "chat";
        readonly id: string;
        /** The complete answer of the model to this request. */
        readonly expected: string;
        /** Whether all faults of the run are announced, so that the complete answer must arrive. */
        readonly mustSucceed: boolean;
    }
    | RecordHeader & { readonly type: "ok"; readonly operation: "chat"; readonly id: string; readonly text: string; }
    | RecordHeader & {
        readonly type: "fail" | "info";
        readonly operation: "chat";
        readonly id: string;
        readonly code: string;
        /** The part of the answer that was received. */
        readonly text: string;
    }
    | RecordHeader & {
        readonly type: "invoke";
        readonly operation: "action";
        readonly id: string;
        readonly service: string;
        readonly key: string;
    }
    | RecordHeader & {
        readonly type: "ok";
        readonly operation: "action";
        readonly id: string;
        readonly answer: string;
    }
    /** `fail` means that the action was not executed, `info` that it may have been. */
    | RecordHeader & {
        readonly type: "fail" | "info";
        readonly operation: "action";
        readonly id: string;
        readonly code: string;
    }
    | RecordHeader & {
        readonly type: "invoke";
        readonly operation: "apply";
        readonly id: string;
        readonly resource: string;
    }
    | RecordHeader & {
        readonly type: "ok";
        readonly operation: "apply";
        readonly id: string;
        readonly revision: number;
    }
    /** `fail` means that the change was rejected with a version conflict, `info` that it may have been applied. */
    | RecordHeader & {
        readonly type: "fail" | "info";
        readonly operation: "apply";
        readonly id: string;
        readonly code: string;
    }
    /** Configuration revision in force at a process of the system. */
    | RecordHeader & {
        readonly type: "observe";
        readonly subject: "revision";
        readonly target: string;
        readonly revision: number;
    }
    /** Number of effects that a service counted for an idempotency key by the end of the run. */
    | RecordHeader & {
        readonly type: "observe";
        readonly subject: "effects";
        readonly service: string;
        readonly key: string;
        readonly count: number;
    }
    /** Start of a request at an upstream, as reported by the upstream. */
    | RecordHeader & { readonly type: "observe"; readonly subject: "accepted"; readonly upstreamId: string; }
    /** Last new request that was offered to a draining upstream, as reported by the upstream. */
    | RecordHeader & {
        readonly type: "observe";
        readonly subject: "last-offer";
        readonly upstreamId: string;
        readonly afterLeavingMs: number;
    }
    | RecordHeader & { readonly type: "fault"; readonly kind: string; readonly target: string; };
