import type { PeerAddress, ProbeRequest, ProbeResponse, SyncRequest, SyncResponse } from "@ibislanding/protocol";

/** Side effect of a transition, executed by the task. */
export type MembershipEffect =
    | {
        /** Ends with `completionEvent`; `id` identifies the probe or, for `relayEnded`, the call to respond to. */
        readonly type: "sendProbe";
        readonly completionEvent: "probeEnded" | "helperEnded" | "relayEnded";
        readonly id: number;
        readonly address: PeerAddress;
        readonly request: ProbeRequest;
        readonly timeoutMs: number;
    }
    | {
        readonly type: "sendSync";
        readonly address: PeerAddress;
        readonly request: SyncRequest;
        readonly timeoutMs: number;
    }
    | { readonly type: "answerProbe"; readonly callId: number; readonly response: ProbeResponse; }
    | { readonly type: "answerSync"; readonly callId: number; readonly response: SyncResponse; }
    | { readonly type: "notifySubscribers"; };
