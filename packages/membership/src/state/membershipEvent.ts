import type { Revision } from "@ibislanding/core";
import type { PeerAddress, ProbeRequest, ProbeResponse, SyncRequest, SyncResponse } from "@ibislanding/protocol";
import type { UpstreamNotice } from "../model/upstreamNotice";
import type { UsageReport } from "../model/usageReport";

/**
 * Input event of the state machine. `probeEnded` ends a direct probe, `helperEnded` an indirect probe by a helper, and
 * `relayEnded` a probe that this process sent as a helper.
 */
export type MembershipEvent =
    | { readonly type: "tick"; }
    | { readonly type: "seedsChanged"; readonly seeds: readonly PeerAddress[]; }
    | { readonly type: "probeReceived"; readonly callId: number; readonly request: ProbeRequest; }
    /** In events that end a call, `response` is undefined if the call failed. */
    | { readonly type: "probeEnded"; readonly probeId: number; readonly response: ProbeResponse | undefined; }
    | { readonly type: "helperEnded"; readonly probeId: number; readonly response: ProbeResponse | undefined; }
    | { readonly type: "relayEnded"; readonly callId: number; readonly response: ProbeResponse | undefined; }
    | { readonly type: "syncReceived"; readonly callId: number; readonly request: SyncRequest; }
    | { readonly type: "syncEnded"; readonly response: SyncResponse | undefined; }
    | { readonly type: "noticePublished"; readonly notice: UpstreamNotice; }
    | { readonly type: "usagesPublished"; readonly report: UsageReport; }
    | { readonly type: "configurationAdvanced"; readonly revision: Revision; }
    | { readonly type: "leaveRequested"; };
