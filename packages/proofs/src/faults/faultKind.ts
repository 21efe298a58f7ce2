/** Kinds of faults that a run can inject. */
export type FaultKind =
    | "kill-entry"
    | "stop-entry"
    | "freeze-entry"
    | "kill-engine"
    | "reclaim-engine"
    | "reclaim-zone"
    | "silence-engine"
    | "key-value-outage"
    | "key-value-lost-answers"
    | "service-lost-answers"
    | "freeze-control"
    | "kill-control";
