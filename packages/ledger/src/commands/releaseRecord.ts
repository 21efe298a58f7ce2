import type { ClaimId } from "../model/claimId";
import type { ShardView } from "../model/shardView";
import type { Transition } from "../operations/transition";
import { findRecord } from "../queries/findRecord";

/** Removes the record of a claim whose action did not run; a sealed record is left unchanged. */
export const releaseRecord = (view: ShardView, recordId: string, claimId: ClaimId): Transition => {
    const { head } = view;
    const record = findRecord(view, recordId);
    if (record === undefined) {
        return { head, result: { kind: "absent" } };
    }
    if (record.claimId !== claimId || record.state === "done" || view.sealed.find(recordId) !== undefined) {
        return { head, result: { kind: "recorded", record } };
    }
    const records = Object.fromEntries(Object.entries(head.records).filter(([id]) => id !== recordId));
    return { head: { ...head, records }, result: { kind: "absent" } };
};
