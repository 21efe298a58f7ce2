import type { ActionRecord } from "../model/actionRecord";
import type { ShardView } from "../model/shardView";

/** Returns the record with the given id; that of a sealed action has no answer. */
export const findRecord = (view: ShardView, recordId: string): ActionRecord | undefined =>
    view.head.records[recordId] ?? view.sealed.find(recordId)?.record;
