/** Time and origin of a record. */
interface RecordHeader {
    /** Monotonic time of the recording process. */
    readonly atMs: number;
    /** Sequential caller, operator or observer; each has one operation at a time. */
    readonly process: string;
}

/** One line of a history: the start or the end of an operation, a fault, or an observation. */
export type HistoryRecord =
    | RecordHeader & {
        readonly type: "invoke";
        readonly operation: "chat";
        readonly id: string;
        /** Answer that the model gives to this request. */
        readonly expected: string;
        /** Whether the faults of the run are announced, so that the answer must arrive whole. */
        readonly mustSucceed: boolean;
    }
    | RecordHeader & { readonly type: "ok"; readonly operation: "chat"; readonly id: string; readonly text: string; }
    | RecordHeader & {
        readonly type: "fail" | "info";
        readonly operation: "chat";
        readonly id: string;
        readonly code: string;
        /** Part of the answer that arrived. */
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
    /** `fail` says that the action did not run, `info` that it may have run. */
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
    | RecordHeader & {
        readonly type: "fail" | "info";
        readonly operation: "apply";
        readonly id: string;
        readonly code: string;
    }
    /** Revision in force at one process of the system. */
    | RecordHeader & {
        readonly type: "observe";
        readonly subject: "revision";
        readonly target: string;
        readonly revision: number;
    }
    /** Effects that a service counted for one key at the end. */
    | RecordHeader & {
        readonly type: "observe";
        readonly subject: "effects";
        readonly service: string;
        readonly key: string;
        readonly count: number;
    }
    /** Start of a request at an upstream, by the upstream's own account. */
    | RecordHeader & { readonly type: "observe"; readonly subject: "accepted"; readonly upstreamId: string; }
    /** Last new request that was offered to a leaving upstream, by the upstream's own account. */
    | RecordHeader & {
        readonly type: "observe";
        readonly subject: "last-offer";
        readonly upstreamId: string;
        readonly afterLeavingMs: number;
    }
    | RecordHeader & { readonly type: "fault"; readonly kind: string; readonly target: string; };
