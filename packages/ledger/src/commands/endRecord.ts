import type { ActionRecord } from "../model/actionRecord";
import type { ClaimId } from "../model/claimId";
import type { ShardView } from "../model/shardView";
import type { Transition } from "../operations/transition";
import { findRecord } from "../queries/findRecord";
import { putRecord } from "./putRecord";

/** Ends the record of a claim; a record that is already done or belongs to another claim is left unchanged. */
export const endRecord = (
    view: ShardView,
    recordId: string,
    claimId: ClaimId,
    end: (record: ActionRecord) => ActionRecord,
): Transition => {
    const record = findRecord(view, recordId);
    if (record === undefined) {
        return { head: view.head, result: { kind: "absent" } };
    }
    if (record.claimId !== claimId || record.state === "done") {
        return { head: view.head, result: { kind: "recorded", record } };
    }
    const ended = end(record);
    return {
        head: ended === record ? view.head : putRecord(view.head, ended),
        result: { kind: "recorded", record: ended },
    };
};
