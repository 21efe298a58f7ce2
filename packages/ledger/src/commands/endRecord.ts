import type { ActionRecord } from "../model/actionRecord";
import type { ClaimId } from "../model/claimId";
import type { ShardView } from "../model/shardView";
import type { Transition } from "../operations/transition";
import { findRecord } from "../queries/findRecord";
import { putRecord } from "./putRecord";

/** Replaces the record of a claim by its ended form; a record that is done or of another claim stays as it is. */
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
