import type { PeerAddress, ProbeRequest, ProbeResponse, SyncRequest, SyncResponse } from "@ibislanding/protocol";

/** What the task does after a transition. */
export type MembershipEffect =
    | {
        /** Ends with the event `probeEnded`, `helperEnded` or `relayEnded`; `id` is the probe or the call. */
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
